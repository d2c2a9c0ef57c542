"""Port to the platform's key-value service and its HTTP implementation."""

"""The platform: a narrow port, and its HTTP implementation."""

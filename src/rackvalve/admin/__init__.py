"""The administration API: HTTP and JSON over the steward."""

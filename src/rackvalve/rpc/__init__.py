"""Messages and services between the system's own processes."""

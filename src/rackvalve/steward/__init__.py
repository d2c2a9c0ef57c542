"""The steward: the one process of a VM that talks to the platform."""

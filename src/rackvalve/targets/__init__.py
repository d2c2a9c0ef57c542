"""Targets of a pool as one entry sees them: use, health and choice."""

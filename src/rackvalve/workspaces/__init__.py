"""Workspaces: their keys, guaranteed rates, bounds and current usage."""

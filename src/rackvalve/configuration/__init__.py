"""The operators' configuration: pools, workspaces, and its rules."""

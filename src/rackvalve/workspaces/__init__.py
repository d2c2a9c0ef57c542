"""Workspaces: who may call as one, what it may run, what share it has paid."""

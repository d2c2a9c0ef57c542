"""Explains from log lines why a job was refused, late, failed or lost."""

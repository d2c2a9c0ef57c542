"""Answers callers about their jobs, from the store."""

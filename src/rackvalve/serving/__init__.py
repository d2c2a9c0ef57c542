"""Limits on what the clients of an HTTP server make its process hold."""

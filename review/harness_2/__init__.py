"""Starts a small site on loopback for the review's scripts."""

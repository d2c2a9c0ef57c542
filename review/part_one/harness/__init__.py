"""Runs a small deployment of real processes for the scripts of this review."""

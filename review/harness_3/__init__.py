"""Harness of the third review: one small site of real manager processes."""

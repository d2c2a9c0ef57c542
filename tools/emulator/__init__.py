"""Emulates a fleet in virtual time with the product's decision functions."""

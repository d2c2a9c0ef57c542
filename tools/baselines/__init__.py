"""Deliberately naive versions: the other side of differential tests."""

"""Naive implementations as baselines of measurements and tests."""

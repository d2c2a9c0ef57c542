"""Experiments of ``make measure``, a module each."""

"""Operators' configuration: document, validation rules and operators."""

"""Which manager owns the scheduling."""

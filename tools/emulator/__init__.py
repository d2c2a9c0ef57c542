"""Days of a fleet in virtual time, decided by the product's own functions."""

"""What managers know of each other and tell each other."""

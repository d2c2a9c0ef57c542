"""Small stand-ins for what lies outside the product: tests and demo only."""

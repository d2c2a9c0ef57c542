"""Stand-ins for systems outside the product, for tests and the demo only."""

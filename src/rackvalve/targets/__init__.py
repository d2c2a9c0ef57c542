"""Load balancing over a pool's targets at one entry, and retry budgets."""

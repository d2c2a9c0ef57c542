"""Which task runs on which worker, what waits, and what is proved over."""

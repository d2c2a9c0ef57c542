"""A randomized fault soak of the managers as separate processes.

``make soak SEED=7 MINUTES=1`` starts a small site on loopback, harms it from
outside as the seed draws, lets callers work meanwhile, heals all, and checks
what callers and workers have seen.  Seeds that ever failed stand in
``regressions.py``, each with its cause.
"""

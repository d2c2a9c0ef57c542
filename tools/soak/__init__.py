"""A randomized fault soak of the managers as separate processes.

``make soak SEED=7 MINUTES=1`` starts a small site on loopback and injects
faults that the seed draws while callers use the site.  Then it ends all faults
and checks the records of callers and workers.  Seeds that have failed are
listed in ``regressions.py``, each with its cause.
"""

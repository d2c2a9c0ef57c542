"""A randomized fault soak of the managers as separate processes.

``python -m tools.soak --seed 7 --seconds 60`` starts a small site on
loopback, harms it from outside as the seed draws, lets callers work
meanwhile, heals all, and checks what callers and workers have seen.
"""

"""Plays misbehaving clients against real processes, beside ordinary callers.

``kinds`` has the clients, ``__main__`` plays one kind in a process of its own,
``trial`` runs a site under a crowd and checks it, ``memory`` watches how much
memory the processes use.
"""

"""The fleet of one data hall: its VMs, entries, and their transitions."""

"""Record of one data hall: its VMs, entries and waves, and their changes."""

"""The owner: loads the jobs, schedules them, and orders workers and VMs."""

"""Fleet capacity and maintenance manager for a shared fleet of VMs."""

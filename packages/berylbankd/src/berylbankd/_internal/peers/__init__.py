"""Messages between VMs."""

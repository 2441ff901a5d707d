"""The authenticated connections between VMs."""

"""Messages between VMs and their Cap'n Proto codec."""

"""Messages between VMs, their encoding and their transport."""

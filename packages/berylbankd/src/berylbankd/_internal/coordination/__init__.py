"""Coordination of the entry VMs: leases, acknowledgements of heads, changes of seats."""

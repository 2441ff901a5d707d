"""Who may act on what it knows: leases, acceptance of heads, seats."""

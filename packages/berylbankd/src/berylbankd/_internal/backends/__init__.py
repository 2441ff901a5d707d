"""Backend servers: connections, slots and choice."""

"""Backend servers: connections, health, slots and selection."""

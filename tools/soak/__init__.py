"""Fault soak: random faults against a fleet of daemon processes, and checks of its guarantees."""

"""Interfaces of the platform services that the daemon uses, and their HTTP clients."""

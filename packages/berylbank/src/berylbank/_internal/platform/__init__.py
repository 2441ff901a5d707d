"""Interfaces of the platform and their HTTP adapters."""

"""Routing decisions without I/O: server selection, quotas, membership and release rollouts."""

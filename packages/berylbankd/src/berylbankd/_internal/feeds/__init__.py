"""Rows from the store and from other VMs."""

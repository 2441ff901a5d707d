"""Loans of countable rights between VMs."""

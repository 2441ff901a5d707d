"""Loans of countable units, such as slots or shares of a rate, between VMs."""

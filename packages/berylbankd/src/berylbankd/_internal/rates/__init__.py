"""Rates and bursts that hold over all VMs together."""

"""Token buckets whose rates and bursts hold for the sum over all VMs."""

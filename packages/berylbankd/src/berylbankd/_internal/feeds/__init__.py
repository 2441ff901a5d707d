"""Background tasks that exchange data with the store and other VMs for the steering decisions."""

"""Claims of idempotency keys, so that requests with the same key run at most once on all VMs."""

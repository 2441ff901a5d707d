"""Stand-ins of the review: the platform's store, instances, clients and the started processes."""

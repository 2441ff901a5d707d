"""Hashes that are the same on all VMs, by which they agree without exchanging messages."""

import xxhash

HASH_RANGE = float(2**64)


def hash_to_fraction(*parts: str) -> float:
    """Return a hash from 0 to 1 that is the same on all VMs."""
    return float(xxhash.xxh64_intdigest("\0".join(parts).encode()) / HASH_RANGE)

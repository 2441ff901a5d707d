"""Keys of callers: how they are made, found and hashed."""

import hashlib
import secrets

KEY_PREFIX = "bb_"
KEY_BYTES = 32


def generate_key() -> str:
    """Return a new random key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the hexadecimal SHA-256 of a key; keys are random, so no salt is needed."""
    return hashlib.sha256(key.encode()).hexdigest()

"""Generating and hashing of the API keys of callers."""

import hashlib
import secrets

API_KEY_PREFIX = "bb_"
KEY_BYTES = 32


def generate_key() -> str:
    """Return a new random API key."""
    return API_KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the hexadecimal SHA-256 of an API key; keys are random, so no salt is needed."""
    return hashlib.sha256(key.encode()).hexdigest()

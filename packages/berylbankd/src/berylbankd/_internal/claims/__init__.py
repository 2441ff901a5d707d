"""Claims of idempotency keys: a booking runs at most once, whoever asks again."""

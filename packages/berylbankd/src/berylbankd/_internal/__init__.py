"""Private to the daemon."""

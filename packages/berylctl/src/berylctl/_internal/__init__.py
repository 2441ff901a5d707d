"""Private to the client."""

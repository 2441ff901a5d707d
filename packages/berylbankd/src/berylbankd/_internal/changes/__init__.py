"""Writing of heads and tracking of changes."""

"""Private to the workspace."""

"""Private to the workspace: the four packages are released together."""

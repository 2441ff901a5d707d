"""Internal API of the command line."""

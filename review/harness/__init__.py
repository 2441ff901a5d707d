"""Stand-ins for the scripts of the second review; they need the standard library alone."""

"""Small fakes at the interfaces of the daemon."""

"""Stand-ins for the platform, backend servers and callers; for tests and demos only."""

__version__ = "0.1.0"

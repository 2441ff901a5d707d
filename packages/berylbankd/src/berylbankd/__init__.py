"""The berylbank daemon: one process per entry VM, every role in it."""

__version__ = "0.1.0"

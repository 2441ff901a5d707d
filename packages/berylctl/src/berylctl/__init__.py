"""The operators' command line of berylbank."""

__version__ = "0.1.0"

"""Implementations of the daemon's subcommands, without argument parsing."""

"""Argument parsing and output."""

"""Helpers that import nothing above them."""

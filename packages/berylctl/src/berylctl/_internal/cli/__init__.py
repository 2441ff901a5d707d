"""Parsing and reporting."""

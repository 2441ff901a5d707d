"""Helpers that import no other subpackage."""

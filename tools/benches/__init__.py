"""Benches; each module has a main function."""

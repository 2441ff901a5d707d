"""Immutable models of the configuration, its changes and the head row."""

"""Immutable models of the configuration and of the head row."""

"""Writes changes to the head row, and the states that are reported to operators."""

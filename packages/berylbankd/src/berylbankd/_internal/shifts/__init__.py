"""Shifts of traffic: shares, evidence, and the decision to step or to undo."""

"""Connections of callers: what each may send and hold, and the sum over all of them."""

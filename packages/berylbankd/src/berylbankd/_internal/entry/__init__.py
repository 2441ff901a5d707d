"""Serves callers: checks, admits and dispatches each request."""

"""Callers over HTTP: a request's way to a backend server and back."""

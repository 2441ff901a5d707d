"""Serves callers over HTTP and forwards their requests to backend servers."""

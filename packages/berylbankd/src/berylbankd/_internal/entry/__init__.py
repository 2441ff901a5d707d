"""The way of a request, filter by filter."""

"""Adapter to the users' platform: decodes and encodes its data, and makes no decisions."""

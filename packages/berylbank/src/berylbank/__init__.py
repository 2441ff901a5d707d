"""Shared parts of berylbank: models, settings, messages and platform interfaces."""

__version__ = "0.1.0"

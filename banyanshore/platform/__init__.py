"""Translate the names, formats and HTTP calls of the users' platform."""

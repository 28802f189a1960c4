"""Processes of the project and stand-ins for what is outside it, on loopback."""

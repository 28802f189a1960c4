"""Demonstrate a deployment of today's size on loopback."""

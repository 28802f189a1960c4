"""Serve callers and operators, and call targets, over HTTP."""

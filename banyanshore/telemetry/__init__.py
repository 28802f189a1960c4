"""Metrics and tracing."""

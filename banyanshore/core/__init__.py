"""Shared helpers: exceptions, JSON logging, clocks, durable files, task groups."""

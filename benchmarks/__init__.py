"""Benchmarks with bounds; run them by ``python -m benchmarks [NAME ...]``."""

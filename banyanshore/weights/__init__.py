"""Weights: manifests, chunk stores, placement and transfer planning."""

"""The daemon ``banyanshored``."""

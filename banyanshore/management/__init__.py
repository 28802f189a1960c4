"""The operators' command line ``banyanshore``."""

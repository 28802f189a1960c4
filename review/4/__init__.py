"""Case 4."""

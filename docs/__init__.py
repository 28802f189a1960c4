"""Documentation, and the scripts that make parts of it."""

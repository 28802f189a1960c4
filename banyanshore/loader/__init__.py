"""The loader role: transfers weights to one target and orders it to load them."""

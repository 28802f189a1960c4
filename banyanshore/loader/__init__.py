"""The loader role: brings weights to one target and orders it to load them."""

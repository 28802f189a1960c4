"""A model of targets under load, to ask what a burst or a fault would do."""

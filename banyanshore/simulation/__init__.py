"""Simulate targets under load to predict the effect of bursts and faults."""

"""Randomized soak tests: real gateway processes under injected faults."""

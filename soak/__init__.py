"""Randomized soak test of manager processes under injected faults."""

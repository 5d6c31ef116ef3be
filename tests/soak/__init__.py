"""Randomized soak test of gateway processes with injected faults."""

"""Randomized soak of gateway processes with faults from outside."""

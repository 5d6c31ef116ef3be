"""Authenticated links between the system's own processes."""

"""Authenticated messaging between the processes of the system."""

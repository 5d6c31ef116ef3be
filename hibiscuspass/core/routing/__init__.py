"""Routing policies that choose a backend server from delayed information."""

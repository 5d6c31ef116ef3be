"""Prepaid tokens of workspaces, shared by all routers of a fleet."""

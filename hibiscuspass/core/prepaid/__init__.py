"""Prepaid token budgets of workspaces, shared by the routers of a fleet."""

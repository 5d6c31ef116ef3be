"""Workspace configuration and its distribution."""

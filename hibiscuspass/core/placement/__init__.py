"""Placement of models, adapters and roles on the engines."""

"""Desired placement of models, adapters and roles."""

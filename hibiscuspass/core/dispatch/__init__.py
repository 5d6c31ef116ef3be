"""Decisions of the request path: validation, cost, retry and resume."""

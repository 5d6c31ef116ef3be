"""Decisions on forwarding plain HTTP requests to backend servers."""

"""Logs, metrics and the timeline buffer."""

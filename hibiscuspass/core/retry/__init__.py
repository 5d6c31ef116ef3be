"""Retry budget, backoff and ejection of failing backends."""

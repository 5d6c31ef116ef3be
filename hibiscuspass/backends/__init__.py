"""Adapters to outside systems, one abstract base class each."""

"""Measures the cost of each unit of load; the input of docs/CAPACITY.md."""

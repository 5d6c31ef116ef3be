"""Measures the cost per unit of load, the input of docs/CAPACITY.md."""

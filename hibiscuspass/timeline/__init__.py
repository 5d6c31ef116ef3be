"""The program that merges the events of all processes."""

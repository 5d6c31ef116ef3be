"""Coordinator program, which plans placement and sends orders to engines."""

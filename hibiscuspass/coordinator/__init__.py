"""The coordinator program: orders to engines."""

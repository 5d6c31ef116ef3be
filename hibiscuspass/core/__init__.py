"""Decision logic without I/O: it maps state and events to actions."""

"""Decision code without I/O: state and events in, actions out."""

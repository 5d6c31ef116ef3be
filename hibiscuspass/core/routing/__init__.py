"""Choice of a backend server under lagging information."""

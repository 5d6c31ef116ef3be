"""Small stand-ins for the outside systems, with fault injection."""

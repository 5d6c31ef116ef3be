"""In-memory servers that speak the protocols of the external systems."""

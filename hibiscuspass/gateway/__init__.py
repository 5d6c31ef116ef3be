"""The gateway program, which forwards HTTP requests to backend servers."""

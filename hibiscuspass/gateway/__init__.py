"""The gateway program: forwards HTTP requests by route."""

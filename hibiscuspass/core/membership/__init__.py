"""Live and leaving routers and backend servers."""

"""Decision logic for forwarding HTTP requests to backend servers."""

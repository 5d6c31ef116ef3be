"""Program that collects and merges the events of all processes."""

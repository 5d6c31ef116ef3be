"""YAML settings, structured into checked attrs classes."""

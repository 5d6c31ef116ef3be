"""Command line of the operators, a client of the administration API."""

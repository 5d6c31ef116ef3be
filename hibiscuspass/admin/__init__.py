"""The administration program and its HTTP API for operators."""

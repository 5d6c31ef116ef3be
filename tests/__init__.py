"""Tests of hibiscuspass."""

"""What the cases 6 to 10 share."""

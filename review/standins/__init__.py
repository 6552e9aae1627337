"""Stand-ins of the cases of this review."""

"""cartweir: an invocation router and release judge."""

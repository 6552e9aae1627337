"""cartweir: an invocation router and release judge."""

__version__ = "0.2.0"

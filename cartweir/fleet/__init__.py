"""Decisions of the controllers, without I/O: terms and their log, epochs at receivers, duties and their owners, the
release and steps that go in order. Standard library alone."""

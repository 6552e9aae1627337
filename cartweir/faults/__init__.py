"""Controllers, receivers and light agents as processes on loopback, with faults between them, drawn by seed; the verdict is
taken from the receivers' records alone."""

"""The simulator's adapter: one process that runs many agents, driven by a line protocol."""

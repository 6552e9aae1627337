"""The host of the controllers' decisions: disk, peers, agents' streams, machines and steps' targets."""

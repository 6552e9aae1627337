"""The host of the controllers' decisions: data directories, peers, agents, machines and targets of steps."""

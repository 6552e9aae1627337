"""Small stand-ins for what an agent lives with: appliances, their registry, the conveyor of builds, clients.

They exist to try the agent out and to break what it relies on; every fault can be set while they run.
"""

"""The agent for a platform that speaks HTTP/1.1 to clients, appliances and discovery.

The platform's release service speaks JSON-RPC, and agents exchange UDP datagrams. The decisions are the same
as in the gRPC agent; this package implements their environment without any of that agent's libraries.

Modules:
    config: reads and checks the agent's configuration.
    http1: parses and writes HTTP messages, without I/O.
    protocol: translates between the platform's names and those of the decisions.
    front: serves clients.
    appliance_pools: sends requests to appliances.
    idle_limit: learns how long idle connections stay usable.
    discovery: follows the list of appliances.
    jsonstream: splits that stream into JSON values, without I/O.
    release_service: receives the state of builds and sends votes.
    peers: exchanges datagrams with the other agents.
    daemon: connects the parts on one event loop.
"""

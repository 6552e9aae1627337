"""The running agent: hosts the decisions on loopback or network sockets, and speaks gRPC.

- `grpc_mapping`: translates between gRPC and the decisions' types.
- `front`: the server that clients call.
- `appliance_pools`: connections to appliances, and the attempts on them.
- `control_plane`: the registry, the conveyor and the other agents.
- `key_journal_file`: bound keys on disk.
- `daemon`: connects them on one event loop, with signals and logs.

The host of the decisions and the clock are in `hosting`.
"""

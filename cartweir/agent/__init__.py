"""The running agent: a Door to the decisions on loopback or network sockets.

names.py: gRPC's names and ours, both ways. clock.py: time, stalls. seat.py: the Door itself, without sockets.
front.py: the clients' side. links.py: the appliances' side, pools.py: which connections lead where. news.py: registry, conveyor, peers.
waits.py: between tries to connect.
daemon.py: wires them to one loop, signals and logs.
"""

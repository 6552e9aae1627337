"""HTTP/2 and gRPC over Tornado's IOStream, without any routing.

Modules:
    grpc: names, codes and encodings of the gRPC protocol, without I/O.
    session: one HTTP/2 connection with flow control, without I/O.
    connection: a session on a socket.
    calls: a client and a server for the process's own calls.
    tap: a capture file of all bytes on the sockets.
"""

"""Listening ports that no other process of this machine hands out.

The port of a process that is being restarted must not be taken meanwhile, neither by another process that
asks the kernel for any port nor as the source port of an outgoing connection. So each process claims a
range below the one from which Linux draws ports of its own (32768 and up).
"""

from __future__ import annotations

import contextlib
import functools
import itertools
import socket
from collections.abc import Iterator

FIRST_PORT = 12_000
PORTS_PER_PROCESS = 1_000
PORT_RANGES = 20


@functools.cache
def _claim() -> tuple[socket.socket, Iterator[int]]:
    """Claims a range for this process.

    The claim is a UDP socket bound to the first port of the range. It is released when the process ends,
    however it ends.
    """
    claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for number in range(PORT_RANGES):
        first = FIRST_PORT + number * PORTS_PER_PROCESS
        with contextlib.suppress(OSError):
            claim.bind(("127.0.0.1", first))
            return claim, itertools.cycle(range(first + 1, first + PORTS_PER_PROCESS))
    claim.close()
    raise OSError(f"all {PORT_RANGES} port ranges from {FIRST_PORT} are claimed by other processes")


def claimed_ports() -> Iterator[int]:
    """Returns the ports of this process's range, in turn and without end; some may be in use.

    Raises:
        OSError: other processes have claimed all ranges.
    """
    _, ports = _claim()
    return ports


def _can_listen(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_addresses(count: int) -> list[str]:
    """Returns addresses on which nothing listens, from the port range that this process has claimed.

    Raises:
        OSError: there are not enough free ports.
    """
    ports = claimed_ports()
    free = filter(_can_listen, itertools.islice(ports, PORTS_PER_PROCESS - 1))
    found = [f"127.0.0.1:{port}" for port in itertools.islice(free, count)]
    if len(found) < count:
        raise OSError(f"only {len(found)} of {count} ports are free in the range of this process")
    return found

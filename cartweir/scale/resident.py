"""Memory of a whole process that holds a list: modules and protobuf count as well.

Run as `python -m cartweir.scale.resident KIND SERVERS` it is that process, and prints its resident bytes.
"""

from __future__ import annotations

import importlib
import os
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from .meter import Meter, ProcessorMeter
from .workload import InMemory, MeasurementError, Quantity, Workload


def _grpc_list(servers: int) -> bytes:
    from .registry_watch import whole_list

    return whole_list(servers)


def _grpc_workload(servers: int, data: bytes) -> Workload:
    from .registry_watch import RegistryWatch

    return RegistryWatch(servers, list_file=False, whole=False, first=data)


def _node_list(servers: int) -> bytes:
    from .node_lists import platform_list

    return platform_list(servers)


def _node_workload(servers: int, data: bytes) -> Workload:
    from .node_lists import PlatformList

    return PlatformList(servers, data)


@dataclass(frozen=True)
class Kind:
    """An agent: the module of its daemon, its list as bytes, and the workload that is given these."""

    daemon: str
    make_list: Callable[[int], bytes]
    make_workload: Callable[[int, bytes], Workload]


KINDS = {
    "grpc": Kind("cartweir.agent.daemon", _grpc_list, _grpc_workload),
    "node": Kind("cartweir.node.daemon", _node_list, _node_workload),
}


class ResidentAgent(InMemory):
    """A child process for each operation; its list is made here, so that it costs the child nothing."""

    def __init__(self, servers: int, kind: str) -> None:
        """kind: a key of KINDS."""
        super().__init__()
        self.arguments = [sys.executable, "-B", "-m", __name__, kind, str(servers)]
        self.list = KINDS[kind].make_list(servers)

    def operate(self, meter: Meter) -> None:
        """Start the child and read its figure."""
        environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parents[2])}
        told = subprocess.run(
            self.arguments, check=False, input=self.list, stdout=subprocess.PIPE, env=environment
        )
        if told.returncode:
            raise MeasurementError(f"{' '.join(self.arguments[2:])}: ended with {told.returncode}")
        self.counts.add(Quantity.RESIDENT, int(told.stdout))


def _resident() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def main(kind: str, servers: int) -> None:
    """Hold the list that comes on standard input, and print the resident bytes."""
    importlib.import_module(KINDS[kind].daemon)
    workload = KINDS[kind].make_workload(servers, sys.stdin.buffer.read())
    workload.operate(ProcessorMeter())
    workload.data = b""  # of the node's: a socket would not have kept it
    print(_resident())
    workload.close()


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))

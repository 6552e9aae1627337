"""Workload of the node: the platform's whole list, from bytes to decisions."""

from __future__ import annotations

import json
from typing import Any

from ..hosting.tcp import READ_SIZE
from ..node import protocol
from ..node.discovery import MAX_LIST_BYTES
from ..node.jsonstream import JsonStream
from .meter import Meter, metering
from .surroundings import (
    RecordingEnvironment,
    address_of,
    make_engine_host,
    released,
    server_name,
    zone_of,
)
from .workload import InMemory


def platform_entry_of(number: int) -> dict[str, Any]:
    """An entry as the platform's discovery writes it."""
    return {
        "name": server_name(number),
        "address": address_of(number),
        "release": 1,
        "since_ms": 1_700_000_000_000 + number,
        "status": "up",
        "zone": zone_of(number),
        "group": number % 7,
        "type": "standard",
        "weight": 1,
    }


def platform_list(servers: int) -> bytes:
    """The platform's message that names all servers."""
    entries = [platform_entry_of(number) for number in range(servers)]
    told = {"index": 1, "snapshot": True, "endpoints": entries}
    return json.dumps(told, separators=(",", ":")).encode() + b"\n"


class PlatformList(InMemory):
    """The platform's whole list as bytes: the stream of JSON, names, roster, decisions."""

    def __init__(self, servers: int, data: bytes | None = None) -> None:
        """The bytes are made once; data: made elsewhere."""
        super().__init__()
        self.data = data or platform_list(servers)
        self.engine_host = make_engine_host(RecordingEnvironment(), released())

    def operate(self, meter: Meter) -> None:
        """In the pieces in which sockets are read."""
        pieces = [self.data[at : at + READ_SIZE] for at in range(0, len(self.data), READ_SIZE)]
        self.counts.add_message(len(self.data))
        stream = JsonStream(max(MAX_LIST_BYTES, len(self.data)))
        with metering(meter):
            for piece in pieces:
                for told in stream.feed(piece):
                    rows, _ = protocol.parse_entries(told["endpoints"])
                    self.engine_host.apply_list("whole", [row for row, _ in rows])

"""Workload of the gRPC agent: its watch on a registry, from messages to decisions."""

from __future__ import annotations

import asyncio
import itertools
import random
import shutil
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

from ..agent.control_plane import RegistryClient
from ..fleet.list_filter import ListFilter
from ..hosting.backoff import Backoff
from ..interface import Appliance
from ..proto import agent_pb2 as pb
from .meter import Meter
from .surroundings import (
    SECOND,
    RecordingEnvironment,
    address_of,
    make_engine_host,
    released,
    server_name,
    zone_of,
)
from .workload import Counts, Quantity


def entry_of(number: int, run: int = 1) -> pb.Entry:
    """An entry as our own registry protocol carries it."""
    return pb.Entry(
        appliance=server_name(number),
        address=address_of(number),
        build=1,
        run=run,
        zone=zone_of(number),
        cell=number % 7,
        kind="standard",
        weight=1.0,
    )


def whole_list(servers: int, version: int = 1) -> bytes:
    """The registry's message that names all servers."""
    entries = [entry_of(number) for number in range(servers)]
    return pb.Listing(version=version, whole=True, incarnation=1, entries=entries).SerializeToString()


def one_change(servers: int, version: int) -> bytes:
    """The registry's message on a server that has restarted."""
    entries = [entry_of(version % servers, run=version)]
    return pb.Listing(version=version, incarnation=1, entries=entries).SerializeToString()


class AddressBook:
    """The links of an agent as far as the list goes."""

    def __init__(self) -> None:
        """Without addresses."""
        self.addresses: dict[str, str] = {}

    def retire_gone(self, changed: list[Appliance]) -> None:
        """No connection is open that would have to end."""


class ScriptedChannel:
    """A channel to a registry whose messages are given one by one; the meter runs while one is dealt with."""

    def __init__(self) -> None:
        """Without messages."""
        self.messages: asyncio.Queue[tuple[bytes, Meter | None]] = asyncio.Queue()
        self.dealt_with = asyncio.Event()

    async def stream(self, path: str, hello: bytes) -> AsyncIterator[bytes]:
        """What was put into the queue."""
        while True:
            message, meter = await self.messages.get()
            if meter:
                meter.begin()
            yield message
            if meter:
                meter.end()
            self.dealt_with.set()


class RegistryWatch:
    """An agent's watch on a registry, from protobuf to decisions; with a `list_file` or without."""

    def __init__(self, servers: int, list_file: bool, whole: bool, first: bytes | None = None) -> None:
        """After the first whole list; `whole`: each operation is another; first: made elsewhere."""
        self.counts, self.whole, self.servers, self.runs = Counts(), whole, servers, itertools.count(2)
        self.folder = Path(tempfile.mkdtemp(prefix="cartweir-scale-"))
        self.file = self.folder / "list" if list_file else None
        self.loop = asyncio.new_event_loop()
        self.loop.run_until_complete(self._begin(first or whole_list(servers)))

    async def _begin(self, first: bytes) -> None:
        self.engine_host = make_engine_host(RecordingEnvironment(), released())
        self.channel = ScriptedChannel()
        self.news = RegistryClient(
            self.engine_host,
            AddressBook(),
            self.channel,
            pb.Hello(agent=0),
            True,
            SECOND,
            Backoff(1, 2, random.Random(1)),
            self.engine_host.environment.now,
            lambda event, **facts: None,
            str(self.file) if self.file else None,
            ListFilter(0.5, 15 * SECOND),
        )
        self.news.start()
        await self._tell(first, None)

    async def _tell(self, message: bytes, meter: Meter | None) -> None:
        self.channel.dealt_with.clear()
        self.channel.messages.put_nowait((message, meter))
        await self.channel.dealt_with.wait()
        for task in asyncio.all_tasks():  # the list_file is written by a thread, behind the operation
            if task.get_coro().__name__ == "_write_list_file":
                await task

    def operate(self, meter: Meter) -> None:
        """One message of the registry."""
        message = (whole_list if self.whole else one_change)(self.servers, next(self.runs))
        self.loop.run_until_complete(self._tell(message, meter))
        self.counts.add_message(len(message))
        if self.file:
            self.counts.add(Quantity.DISK_WRITES)
            self.counts.add(Quantity.DISK_BYTES, self.file.stat().st_size)

    def close(self) -> None:
        """End the watch and remove the file."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.run_until_complete(self.loop.shutdown_default_executor())
        self.loop.close()
        shutil.rmtree(self.folder)

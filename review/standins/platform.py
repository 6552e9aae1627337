"""Stand-ins of the platform's services: discovery, and the service that tells builds and takes votes."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from typing import Any

from .http import read_message, response
from .rig import LOOPBACK, OK_STATUS, Rig, free_port

HEARTBEAT = 2.0  # seconds between empty lines on a watch
CROWDED_WAIT = 2.0  # seconds that a call waits before a crowded discovery gives it up
UNAVAILABLE = 503
MOOT = -32000  # code of the error "conflict": the build or its stage has moved
PING = 1.0  # seconds between signs of life of the release service
REPEAT = 4.0  # seconds between two tellings of the newest build's state


class Discovery:
    """Tells the list of appliances.

    Attributes:
        index: The version of the list.
        crowded: Addresses at which calls wait, and are then answered with 503.
    """

    def __init__(self, rig: Rig, entries: list[dict[str, Any]]) -> None:
        self.rig = rig
        self.index = 1
        self.entries = {entry["name"]: (1, entry) for entry in entries}
        self.crowded: set[str] = set()
        self._changed = asyncio.Condition()
        self._servers: dict[str, asyncio.Server] = {}
        self._writers: dict[str, set[asyncio.StreamWriter]] = {}

    async def listen(self) -> str:
        """Listens at one more free port; returns the address."""
        address = ""
        server = await asyncio.start_server(lambda r, w: self._serve(address, r, w), LOOPBACK, free_port())
        address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
        self._servers[address], self._writers[address] = server, set()
        return address

    def refuse_new(self, address: str) -> None:
        """Accepts no new connection at an address."""
        self.rig.record.write("refuses_connections", at_address=address)
        self._servers[address].close()

    def close_open(self, address: str) -> None:
        """Closes the open connections of an address."""
        self.rig.record.write("closes_connections", at_address=address)
        for writer in self._writers[address]:
            writer.close()

    async def come_back(self, address: str) -> None:
        """Accepts connections again at an address that refused them."""
        host, port = address.split(":")
        self._servers[address] = await asyncio.start_server(
            lambda r, w: self._serve(address, r, w), host, int(port)
        )
        self.rig.record.write("accepts_connections", at_address=address)

    def whole(self) -> dict[str, Any]:
        """Returns the whole list."""
        entries = [entry for _, entry in self.entries.values() if entry["status"] != "removed"]
        return {"index": self.index, "snapshot": True, "endpoints": entries}

    async def change(self, *entries: dict[str, Any]) -> None:
        """Changes entries of the list."""
        self.index += 1
        for entry in entries:
            self.entries[entry["name"]] = (self.index, entry)
            self.rig.record.write("listed", index=self.index, name=entry["name"], status=entry["status"])
        async with self._changed:
            self._changed.notify_all()

    def _changes(self, since: int) -> dict[str, Any]:
        entries = [entry for index, entry in self.entries.values() if index > since]
        return {"index": self.index, "snapshot": False, "endpoints": entries}

    async def _serve(self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers[address].add(writer)
        try:
            with contextlib.suppress(OSError):
                while (request := await read_message(reader)) is not None:
                    await self._answer(address, request.first[1], writer)
        finally:
            self._writers[address].discard(writer)
            writer.close()

    async def _answer(self, address: str, target: str, writer: asyncio.StreamWriter) -> None:
        self.rig.record.write("list_call", at_address=address, target=target)
        if address in self.crowded:
            await asyncio.sleep(CROWDED_WAIT)
        if address in self.crowded:  # the call has waited too long
            writer.write(response(UNAVAILABLE))
            self.rig.record.write("list_call_failed", at_address=address, status=UNAVAILABLE)
        elif "watch=1" in target:
            await self._watch(address, target, writer)
        else:
            writer.write(response(OK_STATUS, json.dumps(self.whole()).encode()))
        await writer.drain()

    async def _watch(self, address: str, target: str, writer: asyncio.StreamWriter) -> None:
        since = target.partition("from=")[2]
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told = self._write(address, writer, self._changes(int(since)) if since.isdigit() else self.whole())
        while not writer.is_closing():
            await writer.drain()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT), self._changed:
                    await self._changed.wait_for(lambda told=told: self.index > told)
            if writer.is_closing():
                break
            if self.index > told:
                told = self._write(address, writer, self._changes(told))
            else:
                writer.write(b"1\r\n\n\r\n")

    def _write(self, address: str, writer: asyncio.StreamWriter, value: dict[str, Any]) -> int:
        line = json.dumps(value).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))
        self.rig.record.write("list_told", at_address=address, index=value["index"])
        return value["index"]


class ReleaseService:
    """Tells the state of the newest build, and takes votes.

    Attributes:
        state: The state of the newest build.
        on_vote: Called with the parameters of a vote, once its answer is written.
        silent: It takes connections and calls, and says nothing.
    """

    def __init__(self, rig: Rig, state: dict[str, Any], age: float = 60.0) -> None:
        """Listens nowhere yet; age: seconds since the state began."""
        self.rig = rig
        self.state, self._since, self._told = state, rig.record.now() - age, 0.0
        self.on_vote: Callable[[dict[str, Any]], None] = lambda vote: None
        self.silent = False
        self._listeners: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> ReleaseService:
        """Listens at a free port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, free_port())
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
        self.rig.spawn(self._ping())
        self.rig.spawn(self._repeat())
        return self

    def news(self) -> dict[str, Any]:
        """Returns the state as it is told."""
        return {**self.state, "age_ms": round((self.rig.record.now() - self._since) * 1000)}

    def tell(self, **state: Any) -> None:
        """Changes the state, and tells all who listen."""
        self.state, self._since = {**self.state, **state}, self.rig.record.now()
        self._tell_again()

    def _tell_again(self) -> None:
        self._told = self.rig.record.now()
        if self.silent:
            return
        for writer in self._listeners:
            self._tell_one(writer)

    def _tell_one(self, writer: asyncio.StreamWriter) -> None:
        news = self.news()
        _write_line(writer, {"jsonrpc": "2.0", "method": "news", "params": news})
        self.rig.record.write("news_written", **news)

    async def _ping(self) -> None:
        while True:
            await asyncio.sleep(PING)
            if self.silent:
                continue
            for writer in self._listeners:
                _write_line(writer, {"jsonrpc": "2.0", "method": "ping"})

    async def _repeat(self) -> None:
        while True:
            wait = self._told + REPEAT - self.rig.record.now()
            if wait > 0:
                await asyncio.sleep(wait)
            else:
                self._tell_again()
                await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(OSError):
                while line := await reader.readline():
                    self._answer(json.loads(line), writer)
        finally:
            self._listeners.discard(writer)
            writer.close()

    def _answer(self, call: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        if self.silent:
            self.rig.record.write("unheard", method=call["method"])
            return
        if call["method"] == "listen":
            _write_line(writer, {"jsonrpc": "2.0", "id": call["id"], "result": True})
            self._listeners.add(writer)
            self._tell_one(writer)
            return
        self.rig.record.write("vote", **call["params"])
        news, vote = self.news(), call["params"]
        if (news["build"], news["stage"], news["phase"]) != (vote["build"], vote["stage"], "testing"):
            error = {"code": MOOT, "message": "conflict"}
            _write_line(writer, {"jsonrpc": "2.0", "id": call["id"], "error": error})
            self.rig.record.write("vote_refused", message="conflict")
            return
        _write_line(writer, {"jsonrpc": "2.0", "id": call["id"], "result": news})
        self.rig.record.write("vote_answer_written", **news)
        self.on_vote(call["params"])


def _write_line(writer: asyncio.StreamWriter, value: dict[str, Any]) -> None:
    if not writer.is_closing():
        writer.write(json.dumps(value).encode() + b"\n")

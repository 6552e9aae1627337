"""Stand-ins of appliances: they run requests, answer them, and drop repeats of a key."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

from .http import Message, read_message, response
from .rig import LOOPBACK, OK_STATUS, Rig, free_port

IDLE_TIME = 30.0  # seconds after which an idle connection is closed
LONGEST_TIME = 60.0  # seconds, for a request that tells none
BAD_REQUEST, NOT_FOUND, UNAVAILABLE = 400, 404, 503


class Appliance:
    """One appliance.

    Attributes:
        name: Its name.
        build: The build that it runs.
        service_time: Seconds that a request takes.
        since_ms: When it started, in Unix time; 0 for long ago.
        known_ids: The ids that clients have sent, with the key that each is about.
        write_answer: Writes an answer; a case may put another in its place.
    """

    def __init__(self, rig: Rig, name: str, known_ids: dict[str, str], build: int = 1) -> None:
        self.rig, self.name, self.known_ids, self.build = rig, name, known_ids, build
        self.service_time = 0.05
        self.since_ms = 0
        self.address = ""
        self.write_answer: Callable[[asyncio.StreamWriter, str, bytes], Awaitable[None]] = write_answer

    async def start(self) -> Appliance:
        """Listens at a free port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, free_port())
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
        return self

    def entry(self, status: str = "up") -> dict[str, Any]:
        """Returns its entry in discovery's list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": "a",
            "type": "m",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": self.since_ms,
            "release": self.build,
        }

    async def work(self, left: float) -> bool:
        """Does the work of a request; returns whether it was done, False if it was turned away.

        Args:
            left: Seconds until its time is over.
        """
        await asyncio.sleep(self.service_time)
        return True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(OSError, TimeoutError):
                while True:
                    async with asyncio.timeout(IDLE_TIME):
                        request = await read_message(reader)
                    if request is None:
                        break
                    await self._run(request, writer)
        finally:
            writer.close()

    async def _run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get("x-request-id", "")
        if request_id not in self.known_ids:
            writer.write(response(BAD_REQUEST if request_id else NOT_FOUND))
            return
        self.rig.record.write(
            "attempt",
            appliance=self.name,
            build=self.build,
            id=request_id,
            key=self.known_ids[request_id],
            repeat_key=request.headers.get("idempotency-key", ""),
            timeout=request.headers.get("x-timeout", ""),
        )
        if not await self.work(_seconds_left(request)):
            self.rig.record.write("turned_away", appliance=self.name, build=self.build, id=request_id)
            writer.write(response(UNAVAILABLE, X_Not_Processed="1"))
            return
        self.rig.record.write(
            "run", appliance=self.name, build=self.build, id=request_id, key=self.known_ids[request_id]
        )
        await self.write_answer(writer, request_id, answer_body(self.name, request_id))
        self.rig.record.write(
            "answer_written",
            appliance=self.name,
            build=self.build,
            id=request_id,
            key=self.known_ids[request_id],
        )


def _seconds_left(request: Message) -> float:
    """Returns for how many seconds the agent waits, as it tells in microseconds."""
    text = request.headers.get("x-timeout", "").removesuffix("u")
    return int(text) / 1e6 if text.isdigit() else LONGEST_TIME


def answer_body(name: str, request_id: str) -> bytes:
    """Returns the body that an appliance makes for a request."""
    return f"answer of {name} to {request_id}".encode()


async def write_answer(writer: asyncio.StreamWriter, request_id: str, body: bytes) -> None:
    """Writes a good answer."""
    writer.write(response(OK_STATUS, body))
    await writer.drain()

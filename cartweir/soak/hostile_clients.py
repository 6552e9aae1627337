"""Hostile clients as a process: `python -m cartweir.soak.hostile_clients PLAN` with PLAN as JSON.

A process of its own, so that its speed takes nothing from the other clients. It ends by itself once the time
of its plan is over, and prints a `HostileResult` as JSON.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from collections.abc import Iterator
from dataclasses import asdict

from . import hostile_http1, hostile_http2
from .hostile_plan import Attack, HostilePlan, HostileResult

OWED_SECONDS = 3.0  # within which a connection gets an error or a close
SLOW_PAUSE = 0.01  # seconds between two pieces of slow writers
UNREAD_PAUSE = 0.0005  # seconds between two requests whose answers are not read
CONNECT_SECONDS = 3.0
WRITE_LIMIT = 256 * 1024  # bytes that wait in this process to be sent
READ_BYTES = 64 * 1024

PAUSES = {Attack.SLOW_BODIES: SLOW_PAUSE, Attack.UNREAD_ANSWERS: UNREAD_PAUSE}


class HostileClients:
    """Carries out a plan."""

    def __init__(self, plan: HostilePlan) -> None:
        self.plan = plan
        self._end = 0.0
        self._numbers = 0
        self._counts: dict[str, float] = dict.fromkeys(asdict(HostileResult()), 0)

    async def run(self) -> HostileResult:
        """Returns what became of the connections, once the plan's time is over."""
        self._end = asyncio.get_running_loop().time() + self.plan.seconds
        await asyncio.gather(*(self._keep_connected() for _ in range(self.plan.connections)))
        whole = {name: int(value) for name, value in self._counts.items() if name != "slowest"}
        return HostileResult(**whole, slowest=round(self._counts["slowest"], 3))

    def _left(self) -> float:
        return self._end - asyncio.get_running_loop().time()

    async def _keep_connected(self) -> None:
        host, port = self.plan.address.rsplit(":", 1)
        while self._left() > 0:
            try:
                async with asyncio.timeout(CONNECT_SECONDS):
                    reader, writer = await asyncio.open_connection(host, int(port))
            except (OSError, TimeoutError):
                self._counts["refused"] += 1
            else:
                self._counts["connections"] += 1
                await self._attack(reader, writer)
            if self.plan.pause < 0:
                return
            await asyncio.sleep(self.plan.pause)

    async def _attack(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Sends what the plan says, until the connection or the time ends."""
        self._numbers += 1
        protocol = hostile_http2 if self.plan.http2 else hostile_http1
        began = asyncio.get_running_loop().time()
        reading = asyncio.ensure_future(self._read(reader))
        writing = asyncio.ensure_future(self._write(writer, protocol.pieces(self.plan, self._numbers)))
        await asyncio.wait((reading,), timeout=max(0.0, self._left()))
        took = asyncio.get_running_loop().time() - began
        if reading.done():
            self._counts["ended"] += 1
            self._counts["slowest"] = max(self._counts["slowest"], took)
        elif took > OWED_SECONDS:
            self._counts["waiting"] += 1
        for task in (reading, writing):
            task.cancel()
        writer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        """Reads until the end of the connection; in HTTP/1.1 an answer is as good."""
        if self.plan.attack == Attack.UNREAD_ANSWERS:
            await asyncio.Event().wait()
        with contextlib.suppress(OSError):
            while await reader.read(READ_BYTES):
                if not self.plan.http2:
                    return

    async def _write(self, writer: asyncio.StreamWriter, pieces: Iterator[bytes]) -> None:
        writer.transport.set_write_buffer_limits(WRITE_LIMIT)
        pause = PAUSES.get(self.plan.attack, 0.0)
        with contextlib.suppress(OSError):
            for piece in pieces:
                writer.write(piece)
                self._counts["sent"] += len(piece)
                await writer.drain()
                await asyncio.sleep(pause)


def main() -> None:
    """Carries out the plan of the command line."""
    result = asyncio.run(HostileClients(HostilePlan.from_json(sys.argv[1])).run())
    print(json.dumps(asdict(result)))


if __name__ == "__main__":
    main()

"""Stand-ins of clients: requests at a steady rate on kept connections."""

from __future__ import annotations

import asyncio
import random
import uuid
from dataclasses import dataclass, field

from .http import read_message
from .rig import LOOPBACK, Agent, Rig

ANSWER_GRACE = 0.6  # seconds beyond its time for which a client still reads


@dataclass
class Load:
    """What clients ask.

    Attributes:
        rate: Requests a second.
        keys: The route keys of which one is drawn for each request; none: requests have no key.
        order_share: The share of requests of the keyed class.
        time_limit: Milliseconds for which a client waits.
    """

    rate: float = 30.0
    keys: list[str] = field(default_factory=list)
    order_share: float = 0.0
    time_limit: int = 3000


class Clients:
    """Clients of one agent.

    Attributes:
        known_ids: The ids sent so far, with the route key of each request.
    """

    def __init__(self, rig: Rig, agent: Agent, known_ids: dict[str, str], load: Load) -> None:
        self.rig, self.agent, self.known_ids, self.load = rig, agent, known_ids, load
        rig.closers.append(self.close)
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send_for(self, seconds: float) -> None:
        """Sends requests at the rate, and waits for the last answer."""
        until, tasks = self.rig.record.now() + seconds, []
        while self.rig.record.now() < until:
            tasks.append(self.rig.spawn(self.ask()))
            await asyncio.sleep(1 / self.load.rate)
        await asyncio.gather(*tasks)

    def close(self) -> None:
        """Closes the connections that carry nothing."""
        for _, writer in self._idle:
            writer.close()

    async def ask(self, key: str | None = None) -> tuple[int | None, bytes]:
        """Sends one request; returns its status, None for no answer, and the body."""
        request_id = uuid.uuid4().hex[:16]
        if key is None:
            key = random.choice(self.load.keys) if self.load.keys else ""
        self.known_ids[request_id] = key
        operation = "order" if random.random() < self.load.order_share else "view"
        status, body = None, b""
        try:
            async with asyncio.timeout(self.load.time_limit / 1000 + ANSWER_GRACE):
                status, body = await self._exchange(request_id, operation, key)
        except (OSError, TimeoutError) as error:
            self.rig.record.write("unanswered", id=request_id, why=type(error).__name__)
        return status, body

    async def _exchange(self, request_id: str, operation: str, key: str) -> tuple[int | None, bytes]:
        reader, writer = self._idle.pop() if self._idle else await self._connect()
        lines = [
            f"{'POST' if operation == 'order' else 'GET'} /{operation}/x HTTP/1.1",
            "Host: backend.local",
            f"X-Request-ID: {request_id}",
            f"X-Priority-Class: {operation}",
            "X-Tenant-Id: acme",
            f"X-Timeout: {self.load.time_limit}m",
        ]
        lines += [f"X-Route-Key: {key}"] if key else []
        body = b"order" if operation == "order" else b""
        lines += [f"Idempotency-Key: {uuid.uuid4().hex}", f"Content-Length: {len(body)}"] if body else []
        timeout = f"{self.load.time_limit}m"
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            self.rig.record.write(
                "sent", agent=self.agent.name, id=request_id, operation=operation, key=key, timeout=timeout
            )
            answer = await read_message(reader)
        except BaseException:
            writer.close()
            raise
        if answer is None:
            self.rig.record.write("unanswered", id=request_id, why="closed")
            writer.close()
            return None, b""
        status = int(answer.first[1])
        self.rig.record.write("answered", id=request_id, status=status, body=answer.body.decode("latin-1"))
        if answer.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append((reader, writer))
        return status, answer.body

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(LOOPBACK, self.agent.port)

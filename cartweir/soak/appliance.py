"""One appliance as a process: it serves requests at a stated speed, can hang, and records what it received.

`python -m cartweir.soak.appliance MAKE RECORD` with MAKE as JSON (`ApplianceMake`). It reads its present mode
from standard input, a word a line. A request counts as received when its last byte has been read; a hanging
appliance goes on reading.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import sys
from dataclasses import asdict, dataclass

from ..hosting.clock import monotonic, new_event_loop

AGENT_NETWORK = (
    "127.0.1."  # the last byte of the address at which an agent reaches all others tells its number
)
BACKLOG = 1024

# modes
SERVING = "serving"
HANGING = "hanging"  # reads and never answers
RESETTING = "resetting"  # ends each connection as a request has arrived
FAILING = "failing"  # answers 500
LOSING = "losing"  # a part of its answers gets lost, another has a length that does not fit
LOST_SHARE = 0.3
CUT_SHARE = 0.1  # of the answers that are not lost

NOT_PROCESSED = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
FAILED = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def good_answer(body: bytes, length: int) -> bytes:
    """Returns an answer that tells this length of its body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (length, body)


@dataclass(frozen=True)
class ApplianceMake:
    """How an appliance serves.

    Attributes:
        name: Its name in discovery's list.
        port: Its port, on each address of this machine.
        build: The build that it runs.
        cores: Requests that it works on at a time.
        queue: Requests that may wait beside.
        mean_work: Mean time of a request on a warm core, in microseconds.
        cold_share: Part of its speed right after its start.
        warm_time: Time in microseconds by which it is warm; 0: from its start.
        idle_time: After which it closes an idle connection, in microseconds.
        seed: The work of its requests is drawn from it.
    """

    name: str
    port: int
    build: int
    cores: int
    queue: int
    mean_work: int
    cold_share: float
    warm_time: int
    idle_time: int
    seed: int

    def to_json(self) -> str:
        """Returns the make as the process takes it."""
        return json.dumps(asdict(self))

    def capacity(self) -> float:
        """Returns the requests of mean work that it serves in a second when it is warm."""
        return self.cores * 1e6 / self.mean_work

    def warmth(self, age: int) -> float:
        """Returns the share of its capacity at an age in microseconds."""
        ramp = min(1.0, age / self.warm_time) if self.warm_time else 1.0
        return self.cold_share + (1 - self.cold_share) * ramp


class ApplianceProcess:
    """The running appliance.

    Attributes:
        make: How it serves.
        mode: One of the modes above.
    """

    def __init__(self, make: ApplianceMake, record: str) -> None:
        self.make, self.mode = make, SERVING
        self._started_at = monotonic()
        self._record = os.open(record, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._random = random.Random(make.seed)
        self._cores = asyncio.Semaphore(make.cores)
        self._held = 0

    def note(self, *facts: object) -> None:
        """Writes a record."""
        os.write(self._record, json.dumps([monotonic(), self.make.name, *facts]).encode() + b"\n")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        agent = int(writer.get_extra_info("sockname")[0].rpartition(".")[2])
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            while True:
                async with asyncio.timeout(self.make.idle_time / 1e6):
                    head = await reader.readuntil(b"\r\n\r\n")
                if not await self._handle(agent, head.decode("latin-1"), reader, writer):
                    break
        writer.close()

    async def _handle(
        self, agent: int, head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Handles a request; returns whether the connection goes on."""
        line, *fields = head.split("\r\n")
        headers = dict(field.split(": ", 1) for field in fields if field)
        body = await reader.readexactly(int(headers.get("Content-Length", 0)))
        if line.startswith("GET /-/"):
            if self.mode == SERVING:
                writer.write(HEALTHY)
            return True
        request_id = headers.get("X-Request-ID", "")
        self.note(
            "received", request_id, agent, headers.get("X-Timeout", ""), headers.get("Idempotency-Key", "")
        )
        if self.mode == HANGING:
            await reader.read()
        if self.mode in (HANGING, RESETTING):
            writer.transport.abort()
            return False
        if self._held >= self.make.cores + self.make.queue:
            writer.write(NOT_PROCESSED)
            self.note("refused", request_id)
            return True
        answer = await self._work(request_id, body)
        is_lost = self.mode == LOSING and self._random.random() < LOST_SHARE
        if not is_lost:
            writer.write(answer)
        self.note("answered", request_id, self.mode)
        if is_lost:
            await reader.read()  # the connection stays open and silent until the agent gives up
        return not is_lost

    async def _work(self, request_id: str, body: bytes) -> bytes:
        self._held += 1
        try:
            async with self._cores:
                work = self._random.expovariate(1 / self.make.mean_work)
                await asyncio.sleep(work / self.make.warmth(monotonic() - self._started_at) / 1e6)
        finally:
            self._held -= 1
        self.note("ran", request_id)
        if self.mode == FAILING:
            return FAILED
        answer = f"{request_id} {len(body)}".encode()
        is_cut = self.mode == LOSING and self._random.random() < CUT_SHARE
        return good_answer(answer, len(answer) // 2 if is_cut else len(answer))

    async def run(self) -> None:
        """Listens, tells so, and follows standard input until its end."""
        await asyncio.start_server(self.serve, "0.0.0.0", self.make.port, backlog=BACKLOG)
        self.note("started", self.make.build)
        print("listening", flush=True)
        loop = asyncio.get_running_loop()
        while mode := await loop.run_in_executor(None, sys.stdin.readline):
            self.mode = mode.strip()


def main() -> None:
    """Runs an appliance until its standard input ends."""
    make = ApplianceMake(**json.loads(sys.argv[1]))
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(ApplianceProcess(make, sys.argv[2]).run())


if __name__ == "__main__":
    main()

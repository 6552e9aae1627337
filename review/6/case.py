"""Case 6: a bad client repeats the id of another client's side-effecting request for over a minute."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))

from standins import (  # noqa: E402
    RELEASED,
    Agent,
    Appliance,
    CannotRunError,
    Clients,
    Discovery,
    Message,
    Record,
    ReleaseService,
    answer,
    play,
    read_message,
    split,
)

# Seconds.
QUIET = 1.0  # before the request whose id is taken
LONG_WORK = 1.0  # of that request
WORK = 0.02  # of all others
OWED_WITHIN = 3.0  # an error or a close, to a bad client
REPEATED_FOR = 75.0
PAUSE = 0.05  # between being turned away and the next time
RATE = 10.0
OK = 200


class Appliances:
    """What all appliances have run: how often, by the request's id."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.ran: Counter[str] = Counter()
        self.long: set[str] = set()  # ids of requests that take long

    async def serve(self, request: Message) -> bytes:
        """Runs a request, and answers it."""
        request_id = request.headers["x-request-id"]
        self.ran[request_id] += 1
        times = self.ran[request_id]
        self.record.write("run", id=request_id, times=times)
        await asyncio.sleep(LONG_WORK if request_id in self.long else WORK)
        return answer(OK, f"answer to {request_id}".encode())


async def repeat(record: Record, address: str, request_id: str, seconds: float) -> Counter[str]:
    """Sends the same request again as soon as it is turned away; returns how often each answer came."""
    head = [
        "POST /issue/x HTTP/1.1",
        "Host: backend.local",
        f"X-Request-ID: {request_id}",
        "X-Priority-Class: issue",
        "X-Timeout: 2000m",
        f"Idempotency-Key: {os.urandom(16).hex()}",
        "Content-Length: 4",
    ]
    data = ("\r\n".join(head) + "\r\n\r\n").encode() + b"body"
    answers: Counter[str] = Counter()
    until = record.now() + seconds
    while record.now() < until:
        status = "closed"
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*split(address))
            record.write("bad_request", id=request_id, bytes=data)
            writer.write(data)
            try:
                async with asyncio.timeout(OWED_WITHIN):
                    status = str((await read_message(reader)).status)
            except TimeoutError:
                status = "none"
            writer.close()
        record.write("bad_answer", id=request_id, status=status)
        answers[status] += 1
        if status == str(OK):
            break  # it was not turned away
        await asyncio.sleep(PAUSE)
    return answers


async def case(record: Record, folder: Path, trouble: bool) -> str | None:
    """Plays it; returns what broke the rule."""
    runs = Appliances(record)
    appliances = [await Appliance(f"s{number}", record).start() for number in range(4)]
    for server in appliances:
        server.script = runs.serve
    discovery = await Discovery(record, [each.entry() for each in appliances]).start()
    service = await ReleaseService(record, RELEASED).start()
    agent = Agent(record, folder, discovery, service)
    clients = Clients(record, agent.address)
    try:
        await agent.start()
        load = asyncio.ensure_future(
            clients.load(RATE, QUIET + REPEATED_FOR, operation="issue", body=b"body")
        )
        await asyncio.sleep(QUIET)
        waiting = asyncio.ensure_future(clients.ask(operation="issue", body=b"body"))
        await asyncio.sleep(0)  # it has its id from here on
        victim = clients.asked[-1].id
        runs.long.add(victim)
        while not runs.ran[victim] and not waiting.done():
            await asyncio.sleep(WORK)
        answers = await repeat(record, agent.address, victim, REPEATED_FOR) if trouble else Counter()
        if (await waiting).status != OK:
            raise CannotRunError("the request whose id is repeated was not served")
        await load
    finally:
        agent.stop()
        clients.close()
        for server in (*appliances, discovery, service):
            server.stop()
    twice = [request_id for request_id, times in runs.ran.items() if times > 1]
    for request_id in twice:
        record.write("ran_more_than_once", id=request_id, times=runs.ran[request_id])
    if not twice:
        return None
    return f"side-effecting requests ran more than once: {twice}; the bad copy was answered {dict(answers)}"


play(HERE / "record.txt", case)

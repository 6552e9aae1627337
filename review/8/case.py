"""Case 8: appliances' answers whose length does not fit."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))

from standins import (  # noqa: E402
    RELEASED,
    Agent,
    Appliance,
    Clients,
    Discovery,
    Message,
    Record,
    ReleaseService,
    answer,
    play,
)

OK = 200
SPOILT_EVERY = 10  # attempts at an appliance
LENGTH = 6.0  # seconds
RATE = 40.0
WORK = 0.02  # seconds


def made_for(request_id: str) -> bytes:
    """Returns the one right body of an answer to this request."""
    return f'{{"order":"{request_id}","state":"accepted","lines":[1,2,3],"fee":125}}'.encode()


def script(record: Record, server: str, trouble: bool) -> Callable[[Message], Awaitable[bytes]]:
    """Returns what answers the requests of one appliance: now and then with a length that does not fit."""
    count = 0

    async def serve(request: Message) -> bytes:
        nonlocal count
        count += 1
        await asyncio.sleep(WORK)
        request_id = request.headers["x-request-id"]
        body = made_for(request_id)
        if trouble and count % SPOILT_EVERY == 0:
            record.write("spoilt_answer", server=server, id=request_id)
            return answer(OK, body[: len(body) // 2]) + body[len(body) // 2 :]
        return answer(OK, body)

    return serve


async def case(record: Record, folder: Path, trouble: bool) -> str | None:
    """Plays it; returns what broke the rule."""
    appliances = [await Appliance(f"s{number}", record).start() for number in range(4)]
    for server in appliances:
        server.script = script(record, server.name, trouble)
    discovery = await Discovery(record, [each.entry() for each in appliances]).start()
    service = await ReleaseService(record, RELEASED).start()
    agent = Agent(record, folder, discovery, service)
    clients = Clients(record, agent.address)
    try:
        await agent.start()
        await clients.load(RATE, LENGTH, operation="order", body=b"body")
    finally:
        agent.stop()
        clients.close()
        for server in (*appliances, discovery, service):
            server.stop()
    wrong = [asked for asked in clients.asked if asked.status == OK and asked.body != made_for(asked.id)]
    for asked in wrong:
        record.write("wrong_body", id=asked.id, body=asked.body, made=made_for(asked.id))
    if not wrong:
        return None
    return (
        f"{len(wrong)} of {len(clients.asked)} requests were answered 200 with another body than the answer "
        f"made for them, such as {wrong[0].body!r}"
    )


play(HERE / "record.txt", case)

"""Case 8: an agent starts while discovery has too many callers for 44 s."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))

from standins import (  # noqa: E402
    RELEASED,
    Agent,
    Appliance,
    Clients,
    Discovery,
    Record,
    ReleaseService,
    late_attempts,
    play,
)

# Seconds.
CROWDED_FOR = 44.0  # from the agent's start
TOLD_AFTER = 6.0  # at the latest, after discovery had a change and could be reached
GRACE = 2.0  # safety.drainGrace
SLACK = 0.05 + 0.15  # each time limit is 50 ms longer; an agent may be held up for 0.15 s
RATE = 20.0


async def case(record: Record, folder: Path, trouble: bool) -> str | None:
    """Plays it; returns what broke the rule."""
    appliances = [await Appliance(f"s{number}", record).start() for number in range(4)]
    leaving = appliances[2:]
    discovery = await Discovery(record, [each.entry() for each in appliances]).start()
    service = await ReleaseService(record, RELEASED).start()
    discovery.crowded = trouble
    agent = Agent(record, folder, discovery, service)
    clients = Clients(record, agent.address)
    try:
        began = record.now()
        await agent.start()
        for server in leaving:
            server.draining = True
            changed = discovery.change(server.name, status="draining")
        load = asyncio.ensure_future(clients.load(RATE, began + CROWDED_FOR + 1.0 - record.now()))
        await asyncio.sleep(began + CROWDED_FOR - record.now())
        discovery.crowded = False
        await load
    finally:
        clients.close()
        await agent.stop()
        for server in (*appliances, discovery, service):
            server.stop()
    return late_attempts(leaving, changed + TOLD_AFTER + GRACE + SLACK, changed)


play(HERE, case)

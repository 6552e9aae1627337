"""Case 9: discovery is down for half a second, and has too many callers when it is back."""

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
QUIET = 3.0  # before discovery goes down
DOWN_FOR = 0.5
TOLD_AFTER = 6.0  # at the latest, after discovery had a change and could be reached
GRACE = 2.0  # safety.drainGrace
SLACK = 0.05 + 0.15  # each time limit is 50 ms longer; an agent may be held up for 0.15 s
CROWDED_FOR = 11.0  # after its return
RATE = 80.0


async def case(record: Record, folder: Path, trouble: bool) -> str | None:
    """Plays it; returns what broke the rule."""
    appliances = [await Appliance(f"s{number}", record).start() for number in range(4)]
    leaving = appliances[2:]
    discovery = await Discovery(record, [each.entry() for each in appliances]).start()
    service = await ReleaseService(record, RELEASED).start()
    agent = Agent(record, folder, discovery, service)
    clients = Clients(record, agent.address)
    try:
        await agent.start()
        load = asyncio.ensure_future(clients.load(RATE, QUIET + DOWN_FOR + CROWDED_FOR + 2.0))
        await asyncio.sleep(QUIET)
        if trouble:
            discovery.crowded = True
            await discovery.restart(DOWN_FOR)
        for server in leaving:
            server.draining = True
            changed = discovery.change(server.name, status="draining")
        await asyncio.sleep(CROWDED_FOR)
        discovery.crowded = False
        await load
    finally:
        clients.close()
        await agent.stop()
        for server in (*appliances, discovery, service):
            server.stop()
    return late_attempts(leaving, changed + TOLD_AFTER + GRACE + SLACK, changed)


play(HERE, case)

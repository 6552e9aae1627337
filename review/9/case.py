"""Case 9: a new configuration while the discovery that it names is crowded."""

from __future__ import annotations

import asyncio
import signal
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
QUIET = 3.0  # before SIGHUP
CHANGED_AFTER = 2.0  # after SIGHUP two servers begin to drain
TOLD_AFTER = 4.0  # after SIGHUP whatever discovery has to tell counts as told
GRACE = 2.0  # safety.drainGrace
SLACK = 0.05 + 0.15  # each time limit is 50 ms longer; an agent may be held up for 0.15 s
CROWDED_FOR = 9.0  # after SIGHUP
RATE = 80.0


async def case(record: Record, folder: Path, trouble: bool) -> str | None:
    """Plays it; returns what broke the rule."""
    appliances = [await Appliance(f"s{number}", record).start() for number in range(4)]
    leaving = appliances[2:]
    old = await Discovery(record, [each.entry() for each in appliances]).start()
    service = await ReleaseService(record, RELEASED).start()
    servers = [*appliances, old, service]
    agent = Agent(record, folder, old, service)
    clients = Clients(record, agent.address)
    try:
        await agent.start()
        load = asyncio.ensure_future(clients.load(RATE, QUIET + CROWDED_FOR + 2.0))
        await asyncio.sleep(QUIET)
        new = await old.moved()
        servers.append(new)
        new.crowded = trouble
        agent.config["discovery"] = new.address
        agent.write_config()
        hangup = agent.signal(signal.SIGHUP)
        old.retire()
        await asyncio.sleep(CHANGED_AFTER)
        for server in leaving:
            server.draining = True
            new.change(server.name, status="draining")
        await asyncio.sleep(CROWDED_FOR - CHANGED_AFTER)
        new.crowded = False
        await load
    finally:
        agent.stop()
        clients.close()
        for server in servers:
            server.stop()
    return late_attempts(record, leaving, hangup + TOLD_AFTER + GRACE + SLACK, hangup)


play(HERE / "record.txt", case)

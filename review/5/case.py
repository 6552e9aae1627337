"""Discovery is crowded for most of a minute, and an appliance drains meanwhile."""

from __future__ import annotations

import asyncio

from standins.appliances import Appliance
from standins.clients import Clients, Load
from standins.platform import Discovery, ReleaseService
from standins.rig import Rig, make_settings, run_case

APPLIANCES = 4
RATE = 30.0  # requests a second
BEFORE = 3.0  # seconds
DRAINED_AFTER = 1.0  # seconds from the begin of the crowd
COUNTS_AFTER = 6.0  # seconds from the change: it counts as told
GRACE = 2.0  # seconds, the setting drainGrace
SLACK = 0.05  # seconds by which each time limit is longer on sockets
CROWDED_FOR = 50.0  # seconds


async def play(rig: Rig) -> None:
    """Plays the case."""
    known_ids: dict[str, str] = {}
    appliances = [await Appliance(rig, f"s{number}", known_ids).start() for number in range(APPLIANCES)]
    discovery = Discovery(rig, [appliance.entry() for appliance in appliances])
    address = await discovery.listen()
    service = await ReleaseService(rig, {"build": 1, "stage": 2, "phase": "live", "cap": 1.0}).start()
    agent = rig.agent(
        name="n0",
        discovery=address,
        pipeline={"address": service.address, "news": service.news()},
        known=discovery.whole(),
        settings=make_settings(),
    )
    agent.start()
    await agent.ready()
    load = rig.spawn(Clients(rig, agent, known_ids, Load(rate=RATE)).send_for(BEFORE + CROWDED_FOR + 4))
    await asyncio.sleep(BEFORE)
    if rig.trouble:
        discovery.crowded.add(address)
        discovery.close_open(address)
    await asyncio.sleep(DRAINED_AFTER)
    await discovery.change(appliances[0].entry("draining"))
    await asyncio.sleep(CROWDED_FOR - DRAINED_AFTER)
    discovery.crowded.clear()
    await load


def check(rig: Rig) -> list[str]:
    """Returns the attempts that went to the draining appliance too late."""
    listed = rig.record.of("listed")[0]["at"]
    last = listed + COUNTS_AFTER + GRACE + SLACK
    return [
        f"request {attempt['id']} reached s0 {attempt['at'] - listed:.3f} s after it was listed as draining, "
        f"{attempt['at'] - last:.3f} s too late"
        for attempt in rig.record.of("attempt")
        if attempt["appliance"] == "s0" and attempt["at"] > last
    ]


if __name__ == "__main__":
    run_case(__file__, play, check)

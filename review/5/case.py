"""An agent is cut off from discovery, and goes on sending to an appliance that drains meanwhile."""

from __future__ import annotations

import asyncio
from pathlib import Path

from standins.appliances import Appliance
from standins.clients import Clients, Load
from standins.platform import Discovery, ReleaseService
from standins.proxy import Cut
from standins.rig import Rig, make_settings, run_case

APPLIANCES = 4
RATE = 40.0  # requests a second
BEFORE, CUT, AFTER = 3.0, 18.8, 5.0  # seconds
DRAINED_AFTER = 0.5  # seconds from the begin of the cut
COUNTS_AFTER = 6.0  # seconds from when the watch fell silent: what it misses counts as told
GRACE = 2.0  # seconds, the setting drainGrace
SLACK = 0.05  # seconds by which each time limit is longer on sockets


async def play(rig: Rig) -> None:
    """Plays the case."""
    known_ids: dict[str, str] = {}
    appliances = [await Appliance(rig, f"s{number}", known_ids).start() for number in range(APPLIANCES)]
    discovery = Discovery(rig, [appliance.entry() for appliance in appliances])
    way = Cut(rig, await discovery.listen())
    service = await ReleaseService(rig, {"build": 1, "stage": 2, "phase": "live", "cap": 1.0}).start()
    agent = rig.agent(
        name="n0",
        discovery=way.address,
        pipeline={"address": service.address, "news": service.news()},
        known=discovery.whole(),
        settings=make_settings(registryMode="pushed"),
    )
    agent.start()
    await agent.ready()
    clients = rig.spawn(Clients(rig, agent, known_ids, Load(rate=RATE)).send_for(BEFORE + CUT + AFTER))
    await asyncio.sleep(BEFORE)
    rig.record.write("cut_begins")
    if rig.trouble:
        way.cut()
    await asyncio.sleep(DRAINED_AFTER)
    await discovery.change(appliances[0].entry("draining"))
    await asyncio.sleep(CUT - DRAINED_AFTER)
    if rig.trouble:
        way.heal()
    await clients


def check(rig: Rig) -> list[str]:
    """Returns the attempts that went to the draining appliance too late."""
    silent = rig.record.of("cut_begins")[0]["at"]
    last = silent + COUNTS_AFTER + GRACE + SLACK
    return [
        f"request {attempt['id']} reached s0 {attempt['at'] - silent:.3f} s after the watch fell silent, "
        f"{attempt['at'] - last:.3f} s too late"
        for attempt in rig.record.of("attempt")
        if attempt["appliance"] == "s0" and attempt["at"] > last
    ]


if __name__ == "__main__":
    run_case(Path(__file__).with_name("record.txt"), play, check)

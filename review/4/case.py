"""A new configuration moves discovery, which is crowded at its new address; an appliance drains meanwhile."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from standins.appliances import Appliance
from standins.clients import Clients, Load
from standins.platform import Discovery, ReleaseService
from standins.rig import Rig, make_settings, run_case

APPLIANCES = 4
OLD_ADDRESS_STAYS = 1.5  # seconds after SIGHUP for which the old address keeps open connections
DRAINED_AFTER = 1.6  # seconds after SIGHUP: when discovery lists the appliance as draining
COUNTS_AFTER = 4.0  # seconds after SIGHUP: what discovery has to tell counts as told
GRACE = 2.0  # seconds, the setting drainGrace
SLACK = 0.05  # seconds by which each time limit is longer on sockets
CROWDED_FOR = 8.0  # seconds from SIGHUP


async def play(rig: Rig) -> None:
    """Plays the case."""
    known_ids: dict[str, str] = {}
    appliances = [await Appliance(rig, f"s{number}", known_ids).start() for number in range(APPLIANCES)]
    entries = [appliance.entry() for appliance in appliances]
    discovery = Discovery(rig, entries)
    old, new = await discovery.listen(), await discovery.listen()
    news = {"build": 1, "stage": 2, "phase": "live", "cap": 1.0}
    service = await ReleaseService(rig, news).start()
    agent = rig.agent(
        name="n0",
        discovery=old,
        pipeline={"address": service.address, "news": service.news()},
        known=discovery.whole(),
        settings=make_settings(),
    )
    agent.start()
    await agent.ready()
    load = rig.spawn(Clients(rig, agent, known_ids, Load(rate=40.0)).send_for(CROWDED_FOR + 8))
    await asyncio.sleep(4)
    if rig.trouble:
        discovery.crowded.add(new)
    agent.configuration["discovery"] = new
    agent.write_configuration()
    discovery.refuse_new(old)
    agent.signal(signal.SIGHUP)
    await asyncio.sleep(OLD_ADDRESS_STAYS)
    discovery.close_open(old)
    await asyncio.sleep(DRAINED_AFTER - OLD_ADDRESS_STAYS)
    await discovery.change(appliances[0].entry("draining"))
    await asyncio.sleep(CROWDED_FOR - DRAINED_AFTER)
    discovery.crowded.clear()
    await load


def check(rig: Rig) -> list[str]:
    """Returns the attempts that went to the draining appliance too late."""
    hangup = rig.record.of("signal")[0]["at"]
    last = hangup + COUNTS_AFTER + GRACE + SLACK
    return [
        f"request {attempt['id']} reached s0 {attempt['at'] - hangup:.3f} s after SIGHUP, "
        f"{attempt['at'] - last:.3f} s too late"
        for attempt in rig.record.of("attempt")
        if attempt["appliance"] == "s0" and attempt["at"] > last
    ]


if __name__ == "__main__":
    run_case(Path(__file__).with_name("record.txt"), play, check)

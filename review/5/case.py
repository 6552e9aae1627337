"""An agent is killed and comes back while discovery is crowded, and trusts the list of its configuration."""

from __future__ import annotations

import asyncio
import signal

from standins.appliances import Appliance
from standins.clients import Clients, Load
from standins.platform import Discovery, ReleaseService
from standins.rig import Rig, make_settings, run_case

APPLIANCES = 4
RATE = 30.0  # requests a second
BEFORE = 1.0  # seconds
AWAY = 1.2  # seconds from the kill to the start of the next process
CROWDED_FOR = 43.0  # seconds from that start
AFTER = 3.0  # seconds
COUNTS_AFTER = 6.0  # seconds from the change: it counts as told
GRACE = 2.0  # seconds, the setting drainGrace
SLACK = 0.05  # seconds by which each time limit is longer on sockets


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
    await asyncio.sleep(BEFORE)
    if rig.trouble:
        agent.signal(signal.SIGKILL)
        agent.process.wait()
        discovery.crowded.add(address)
    await discovery.change(appliances[0].entry("draining"))
    await asyncio.sleep(AWAY)
    if rig.trouble:
        agent.start()
        await agent.ready()
    clients = rig.spawn(Clients(rig, agent, known_ids, Load(rate=RATE)).send_for(CROWDED_FOR + AFTER))
    await asyncio.sleep(CROWDED_FOR)
    discovery.crowded.clear()
    await clients


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

"""An agent that was told of a drain is killed, and trusts its old list while discovery is down for long."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from standins.appliances import Appliance
from standins.clients import Clients, Load
from standins.platform import Discovery, ReleaseService
from standins.rig import Rig, make_settings, run_case

APPLIANCES = 4
RATE = 30.0  # requests a second
BEFORE, TOLD_BEFORE = 1.0, 3.0  # seconds from the agent's readiness to the drain, and from that to the kill
AWAY = 1.2  # seconds from the kill to the start of the next process
DOWN_FOR = 42.0  # seconds from the next process's readiness
AFTER = 3.0  # seconds
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
        settings=make_settings(registryMode="pushed"),
    )
    agent.start()
    await agent.ready()
    await asyncio.sleep(BEFORE)
    await discovery.change(appliances[0].entry("draining"))
    await asyncio.sleep(TOLD_BEFORE)
    if rig.trouble:
        discovery.refuse_new(address)
        discovery.close_open(address)
        agent.signal(signal.SIGKILL)
        agent.process.wait()
        await asyncio.sleep(AWAY)
        agent.start()
        await agent.ready()
    clients = rig.spawn(Clients(rig, agent, known_ids, Load(rate=RATE)).send_for(DOWN_FOR + AFTER))
    await asyncio.sleep(DOWN_FOR)
    if rig.trouble:
        await discovery.come_back(address)
    await clients


def check(rig: Rig) -> list[str]:
    """Returns the attempts that went to the draining appliance too late."""
    told = next(entry["at"] for entry in rig.record.of("list_told") if entry["index"] > 1)
    ready = rig.record.of("agent_ready")[-1]["at"]  # from here, although its first moment counts
    last = max(told, ready) + GRACE + SLACK
    return [
        f"request {attempt['id']} reached s0 {attempt['at'] - told:.3f} s after it was told as draining, "
        f"{attempt['at'] - last:.3f} s too late"
        for attempt in rig.record.of("attempt")
        if attempt["appliance"] == "s0" and attempt["at"] > last
    ]


if __name__ == "__main__":
    run_case(Path(__file__).with_name("record.txt"), play, check)

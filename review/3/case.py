"""Answers are lost on their way, and keys that a build on trial answered go to the earlier build again."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from standins.appliances import Appliance
from standins.clients import Clients, Load
from standins.platform import Discovery, ReleaseService
from standins.proxy import Proxy
from standins.rig import Rig, make_settings, run_case

EARLIER, TRIAL = 12, 4  # appliances; the second stage has 35% of the places
LOSING = 3  # of those on trial, under a fifth of all
NEW_BUILD = 2
RATE = 60.0  # requests a second
KEYS = 1000
BEFORE, LOSSES, AFTER = 3.0, 5.9, 4.0  # seconds
LOST_SHARE = 0.3  # of the answers of these
COUNTS_AFTER = 0.15 + 0.05  # seconds from the writing of a good answer


async def play(rig: Rig) -> None:
    """Plays the case."""
    known_ids: dict[str, str] = {}
    appliances = [
        await Appliance(rig, f"s{number}", known_ids, 1 if number < EARLIER else NEW_BUILD).start()
        for number in range(EARLIER + TRIAL)
    ]
    losing = asyncio.Event()
    for appliance in appliances[EARLIER : EARLIER + LOSING]:
        way = await Proxy(rig, appliance.address).start()
        way.lose = lambda request: losing.is_set() and random.random() < LOST_SHARE
        appliance.address = way.address
    discovery = Discovery(rig, [appliance.entry() for appliance in appliances])
    news = {"build": NEW_BUILD, "stage": 1, "phase": "testing", "cap": 0.42}
    service = await ReleaseService(rig, news, age=2.0).start()
    agent = rig.agent(
        name="n0",
        discovery=await discovery.listen(),
        pipeline={"address": service.address, "news": service.news()},
        known=discovery.whole(),
        settings=make_settings(
            balancers=3, allowed={"mayDuplicate": True}, familyInfo={"votesToGo": 2, "oneWay": True}
        ),
    )
    agent.start()
    await agent.ready()
    load = Load(rate=RATE, keys=[f"order-{number}" for number in range(KEYS)])
    clients = rig.spawn(Clients(rig, agent, known_ids, load).send_for(BEFORE + LOSSES + AFTER))
    await asyncio.sleep(BEFORE)
    if rig.trouble:
        losing.set()
    await asyncio.sleep(LOSSES)
    losing.clear()
    await clients


def check(rig: Rig) -> list[str]:
    """Returns the attempts at the earlier build whose key the new build had answered."""
    answered: dict[str, float] = {}
    breaks = []
    for entry in rig.record.events:
        if entry["event"] == "answer_written" and entry["build"] == NEW_BUILD:
            answered.setdefault(entry["key"], entry["at"])
        elif entry["event"] == "attempt" and entry["build"] < NEW_BUILD:
            since = answered.get(entry["key"])
            if since is not None and entry["at"] > since + COUNTS_AFTER:
                breaks.append(
                    f"{entry['key']} (request {entry['id']}) reached build {entry['build']} "
                    f"{entry['at'] - since:.3f} s after build {NEW_BUILD} had answered it"
                )
    return breaks


if __name__ == "__main__":
    run_case(Path(__file__).with_name("record.txt"), play, check)

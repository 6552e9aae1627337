"""Cut off from the release service, an agent sends keys back that a build it has no news of has answered."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from standins.appliances import Appliance
from standins.clients import Clients, Load
from standins.platform import Discovery, ReleaseService
from standins.proxy import Cut
from standins.rig import Rig, make_settings, run_case

OLD_BUILD, NEW_BUILD = 2, 3
PLACES = 4  # appliances of each build, as each place gets one with the new build in turn
SLOTS, QUEUE = (
    2,
    30,
)  # of an appliance: requests that run, and that wait; the site file: 1 and 15 to 35 a core
SERVICE_TIME = 0.1  # seconds
RATE = 80.0  # requests a second, what all appliances can do; the site file: overload of 0.92 to 1.1
KEYS, POPULARITY = 970, 0.94  # the site file: 970 to 9,700 keys, by Zipf's law with 0.63 to 0.94
WAVES = [0.25, 0.75, 1.0]  # shares of the places that have the new build
CAPS = [0.3, 0.9, 1.0]
BEFORE, CUT, AFTER = 2.0, 18.5, 3.0  # seconds
OFFERED_AFTER = 1.0  # seconds from the begin of the cut
FIRST_WAVE = 4.0  # seconds
STARTS_IN, DRAINED_AFTER = (
    1.5,
    0.5,
)  # seconds to a new appliance's listing, and from that to the old one's drain
COUNTS_AFTER = 0.15 + 0.05  # seconds from the writing of a good answer


class QueueingAppliance(Appliance):
    """An appliance with few slots, that turns away what its queue doesn't take."""

    def __init__(self, rig: Rig, name: str, known_ids: dict[str, str], build: int) -> None:
        super().__init__(rig, name, known_ids, build)
        self.service_time = SERVICE_TIME
        self._held = 0
        self._slots = asyncio.Semaphore(SLOTS)

    async def work(self, left: float) -> bool:
        """Waits for a slot and does the work; returns False if the queue is full or the time is over."""
        until = self.rig.record.now() + left
        if self._held >= SLOTS + QUEUE:
            return False
        self._held += 1
        try:
            async with self._slots:
                if self.rig.record.now() > until:
                    return False
                return await super().work(left)
        finally:
            self._held -= 1


async def play(rig: Rig) -> None:
    """Plays the case."""
    known_ids: dict[str, str] = {}
    old = [await QueueingAppliance(rig, f"s{n}", known_ids, OLD_BUILD).start() for n in range(PLACES)]
    new = [await QueueingAppliance(rig, f"t{n}", known_ids, NEW_BUILD).start() for n in range(PLACES)]
    discovery = Discovery(rig, [appliance.entry() for appliance in old])
    news = {"build": OLD_BUILD, "stage": len(WAVES) - 1, "phase": "live", "cap": 1.0}
    service = await ReleaseService(rig, news).start()
    way = Cut(rig, service.address)
    agent = rig.agent(
        name="n0",
        discovery=await discovery.listen(),
        pipeline={"address": way.address, "news": service.news()},
        known=discovery.whole(),
        settings=make_settings(
            balancers=3,
            familyInfo={
                "votesToGo": 2,
                "oneWay": True,
                "style": "replace",
                "steps": WAVES,
                "mostShares": CAPS,
            },
        ),
    )
    agent.start()
    await agent.ready()
    load = Load(rate=RATE, keys=_popular_keys())
    clients = rig.spawn(Clients(rig, agent, known_ids, load).send_for(BEFORE + CUT + AFTER))
    await asyncio.sleep(BEFORE)
    if rig.trouble:
        way.cut()
    begun = rig.record.now()
    await asyncio.sleep(OFFERED_AFTER)
    service.tell(build=NEW_BUILD, stage=0, phase="testing", cap=CAPS[0])
    rig.spawn(_replace(discovery, old[:1], new[:1]))
    await asyncio.sleep(FIRST_WAVE)
    service.tell(stage=1, cap=CAPS[1])
    rig.spawn(_replace(discovery, old[1:3], new[1:3]))
    await asyncio.sleep(begun + CUT - rig.record.now())
    if rig.trouble:
        way.heal()
    await clients


def _popular_keys() -> list[str]:
    """Returns the keys of which one is drawn for each request, each as often as it is popular."""
    copies = (round(KEYS / rank**POPULARITY) for rank in range(1, KEYS + 1))
    return [f"order-{number}" for number, count in enumerate(copies) for _ in range(count)]


async def _replace(discovery: Discovery, old: list[Appliance], new: list[Appliance]) -> None:
    """Starts appliances with the new build, and drains those whose places they take."""
    for appliance in new:
        appliance.since_ms = round(time.time() * 1000)
    await asyncio.sleep(STARTS_IN)
    await discovery.change(*(appliance.entry() for appliance in new))
    await asyncio.sleep(DRAINED_AFTER)
    await discovery.change(*(appliance.entry("draining") for appliance in old))


def check(rig: Rig) -> list[str]:
    """Returns the attempts at the old build whose key the new build had answered."""
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

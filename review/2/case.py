"""The answer to a vote is held up on its way, and arrives behind newer news of the same build."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from standins.appliances import Appliance
from standins.clients import Clients, Load
from standins.platform import Discovery, ReleaseService
from standins.proxy import Proxy
from standins.rig import CannotRunError, Rig, make_settings, run_case

EARLIER, TRIAL = 4, 3  # appliances
RATE = 40.0  # requests a second
ANSWER_HELD = 0.19  # seconds; the site file has 36 to 200 ms for a call
CHANGED_AFTER = 0.02  # seconds from the vote until the votes of other agents send the build back
TOLD_AFTER = 0.12  # seconds from that change until it is told; the site file has 120 to 550 ms
LISTED_AFTER = 4.2  # seconds until discovery lists the build's appliances as draining; the site file: to 4.3
VOTE_WITHIN = 30.0  # seconds
SPAN = 4.0  # seconds, the setting span
GRACE = 2.0  # seconds, the setting drainGrace
LOWER_CAP_BINDS_AFTER = GRACE + 0.15 + 0.05  # seconds
SPARE_TRIES = 1  # the setting spareTries
SLACK_TRIES, SLACK_SHARE = 2, 0.04  # attempts, and what may be added to the cap


async def play(rig: Rig) -> None:
    """Plays the case."""
    known_ids: dict[str, str] = {}
    appliances = [
        await Appliance(rig, f"s{number}", known_ids, 1 if number < EARLIER else 2).start()
        for number in range(EARLIER + TRIAL)
    ]
    discovery = Discovery(rig, [appliance.entry() for appliance in appliances])
    news = {"build": 2, "stage": 1, "phase": "testing", "cap": 0.42}
    service = await ReleaseService(rig, news, age=8.0).start()
    way = await Proxy(rig, service.address).start()
    if rig.trouble:
        way.hold = lambda request: ANSWER_HELD if b'"verdict"' in request else 0.0
    agent = rig.agent(
        name="n0",
        discovery=await discovery.listen(),
        pipeline={"address": way.address, "news": service.news()},
        known=discovery.whole(),
        settings=make_settings(balancers=3, familyInfo={"votesToGo": 2}),
    )
    voted = asyncio.Event()
    service.on_vote = lambda vote: voted.set()
    agent.start()
    await agent.ready()
    load = rig.spawn(Clients(rig, agent, known_ids, Load(rate=RATE)).send_for(VOTE_WITHIN))
    try:
        async with asyncio.timeout(VOTE_WITHIN):
            await voted.wait()
    except TimeoutError:
        raise CannotRunError("the agent has not voted") from None
    service.on_vote = lambda vote: None
    await asyncio.sleep(CHANGED_AFTER + TOLD_AFTER)
    service.tell(phase="recalling", cap=0.0)
    await asyncio.sleep(LISTED_AFTER - TOLD_AFTER)
    await discovery.change(*(appliance.entry("draining") for appliance in appliances[EARLIER:]))
    await asyncio.sleep(SPAN)
    load.cancel()


def check(rig: Rig) -> list[str]:
    """Returns the spans in which the build that goes back got more than its cap."""
    told = next(entry["at"] for entry in rig.record.of("news_written") if entry["phase"] == "recalling")
    taken = [entry["at"] for entry in rig.record.of("sent")]
    attempts = [
        entry
        for entry in rig.record.of("attempt")
        if entry["build"] == 2 and entry["at"] > told + LOWER_CAP_BINDS_AFTER  # noqa: PLR2004 - the build
    ]
    return [line for first in attempts[:1] if (line := _excess(first, attempts, taken, told))]


def _excess(first: dict[str, Any], attempts: list[dict[str, Any]], taken: list[float], told: float) -> str:
    start, end = first["at"], first["at"] + SPAN
    got = sum(start <= attempt["at"] <= end for attempt in attempts)
    requests = sum(start <= at <= end for at in taken)
    allowed = SPARE_TRIES + SLACK_TRIES + SLACK_SHARE * requests
    if got <= allowed:
        return ""
    return f"from {start - told:.2f} s after the cap of 0 was told: {got} attempts, {allowed:.1f} allowed"


if __name__ == "__main__":
    run_case(Path(__file__).with_name("record.txt"), play, check)

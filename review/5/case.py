"""Some answers tell a length that is too small, and clients are served the part that fits."""

from __future__ import annotations

import asyncio
import random

from standins.appliances import Appliance, answer_body, write_answer
from standins.clients import Clients, Load
from standins.http import response
from standins.platform import Discovery, ReleaseService
from standins.rig import OK_STATUS, Rig, make_settings, run_case

APPLIANCES = 4
RATE = 40.0  # requests a second
SECONDS = 12.0
SPOILT_SHARE = 0.05  # of the answers
MISSING = 10  # bytes that the length is too small by


async def play(rig: Rig) -> None:
    """Plays the case."""
    known_ids: dict[str, str] = {}
    appliances = [await Appliance(rig, f"s{number}", known_ids).start() for number in range(APPLIANCES)]

    async def spoil_some(writer: asyncio.StreamWriter, request_id: str, body: bytes) -> None:
        if not rig.trouble or random.random() >= SPOILT_SHARE:
            await write_answer(writer, request_id, body)
            return
        rig.record.write("spoilt_answer", id=request_id, length=len(body) - MISSING, body=body.decode())
        writer.write(response(OK_STATUS, body).replace(b": %d" % len(body), b": %d" % (len(body) - MISSING)))
        await writer.drain()

    for appliance in appliances:
        appliance.write_answer = spoil_some
    discovery = Discovery(rig, [appliance.entry() for appliance in appliances])
    service = await ReleaseService(rig, {"build": 1, "stage": 2, "phase": "live", "cap": 1.0}).start()
    agent = rig.agent(
        name="n0",
        discovery=await discovery.listen(),
        pipeline={"address": service.address, "news": service.news()},
        known=discovery.whole(),
        settings=make_settings(),
    )
    agent.start()
    await agent.ready()
    await Clients(rig, agent, known_ids, Load(rate=RATE)).send_for(SECONDS)


def check(rig: Rig) -> list[str]:
    """Returns the answers of 200 whose body no appliance made for the request."""
    made = {
        (run["id"], answer_body(run["appliance"], run["id"]).decode("latin-1"))
        for run in rig.record.of("run")
    }
    return [
        f"request {answer['id']} was served {answer['body']!r}"
        for answer in rig.record.of("answered")
        if answer["status"] == OK_STATUS and (answer["id"], answer["body"]) not in made
    ]


if __name__ == "__main__":
    run_case(__file__, play, check)

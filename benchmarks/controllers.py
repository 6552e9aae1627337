"""How long a fleet is without an owner, and what a decision costs: real controllers on loopback, faults between them.

    ./dev controllers [--events 20] [--agents 24] [--controllers 3]

Time without an owner runs from the fault until a light agent has followed a word of a new epoch; as a multiple of the
election time-out, since that is what it hangs on. Decisions a second are ballots told ok, beside one at a time. From the
deciding vote to the last agent: of one ballot that ends a stage, until every light agent has followed the next."""

from __future__ import annotations

import argparse
import asyncio
import signal
import tempfile
import time
from pathlib import Path

from cartweir.faults.rig import Rig, RigConfig, Vote
from cartweir.proto import agent_pb2 as pb
from cartweir.wire.calls import CallError, Channel

CELLS = ("kill", "stop", "apart")


async def event(rig: Rig, kind: str) -> float:
    """Seconds from the fault at the owner to the first agent that follows a later epoch."""
    status = await rig.wait_for_status(
        lambda s: (
            s["role"] == "leader"
            and s["duties"]["release"]["owner"]
            and all(row["answers"] for row in s["members"].values())
        )
    )
    owner, epoch = status["duties"]["release"]["owner"], status["duties"]["release"]["epoch"]
    seen, began = len(rig.followed_stages), time.monotonic()
    match kind:
        case "kill":
            await rig.kill(owner)
        case "stop":
            rig.send_signal(owner, signal.SIGSTOP)
        case "apart":
            rig.isolate(owner)
    while not any(row["epoch"] > epoch for row in rig.followed_stages[seen:]):
        await asyncio.sleep(0.002)
        if time.monotonic() - began > 30:
            raise TimeoutError(f"no new epoch within 30 s of {kind} at {owner}")
    took = time.monotonic() - began
    match kind:
        case "kill":
            await rig.start_process(owner)
        case "stop":
            rig.send_signal(owner, signal.SIGCONT)
        case "apart":
            rig.isolate(owner, "pass")
    return took


async def decisions(rig: Rig, at_once: int, seconds: float) -> float:
    """Ballots told ok a second, so many under way at a time, all through one controller."""
    channel, done, end = (
        Channel(rig.listen_addresses[await rig.wait_for_owner()], 500_000),
        0,
        time.monotonic() + seconds,
    )

    async def one(number: int) -> None:
        nonlocal done
        serial = number * 1_000_000
        while time.monotonic() < end:
            serial += 1
            ballot = pb.Ballot(agent=1000 + number, build=1, stage=2, choice=pb.NO_VOTE, serial=serial)
            try:
                answer = await channel.unary(
                    "/cartweir.v1.Conveyor/Vote", ballot.SerializeToString(), 2_000_000
                )
                done += pb.Verdict.FromString(answer.message).answer != pb.Verdict.ERROR
            except CallError:
                await asyncio.sleep(0.05)

    await asyncio.gather(*map(one, range(at_once)))
    channel.close()
    return done / seconds


async def until_all(rig: Rig, build: int, stage: int, phase: str) -> None:
    """Every light agent goes by that. Raises TimeoutError with what was seen instead."""

    def behind() -> int:
        return sum(
            a.stage is None or (a.stage.build, a.stage.number, a.stage.phase) != (build, stage, phase)
            for a in rig.agents
        )

    end = time.monotonic() + 30
    while behind():
        if time.monotonic() > end:
            raise TimeoutError(
                f"{behind()} agents are not at build {build}, stage {stage}, {phase}; a controller: "
                f"{await rig.ask(await rig.wait_for_owner(), ask='status')}"
            )
        await asyncio.sleep(0.001)


async def deciding(rig: Rig, events: int) -> list[float]:
    """Seconds from the ballot that ends a stage, as it leaves, until all have followed the next; stage after stage, build after build."""
    took, build = (
        [],
        (await rig.wait_for_status(lambda s: s["release"]["phase"] == "RELEASED"))["release"]["build"],
    )
    needed = max(1, rig.config.agents // 2)
    while len(took) < events:
        build += 1
        assert await rig.offer_build(build)
        for stage, then in ((0, (1, "on trial")), (1, (2, "on trial")), (2, (2, "released"))):
            await until_all(rig, build, stage, "on trial")
            await asyncio.sleep(
                (rig.config.bake + 400) / 1000
            )  # its machines run, and have run for the time that is due
            owner, serial = await rig.wait_for_owner(), build * 100_000 + stage * 10_000
            await rig.cast_votes(owner, range(5001, 5000 + needed), Vote(build, stage, pb.ON), serial)
            began = time.monotonic()
            await rig.cast_votes(owner, (5000 + needed,), Vote(build, stage, pb.ON), serial)
            await until_all(rig, build, *then)
            took.append(time.monotonic() - began)
    return took


async def run(events: int, agents: int, controllers: int, kinds: tuple[str, ...] = CELLS) -> None:
    with tempfile.TemporaryDirectory(prefix="cartweir-") as folder:
        rig = Rig(Path(folder) / "rig", RigConfig(controllers, agents, votes=False, files=False))
        await rig.start()
        try:
            print(
                f"{controllers} controllers, {agents} light agents, election time-out {rig.config.election} ms"
            )
            await rig.wait_for_owner()
            for kind in kinds:
                took = sorted([await event(rig, kind) for _ in range(events)])
                times = [
                    t * 1000 / rig.config.election
                    for t in (took[len(took) // 2], took[int(len(took) * 0.9)], took[-1])
                ]
                print(
                    f"{kind}: {events} times, without an owner for {times[0]:.1f} election time-outs (median), "
                    f"{times[1]:.1f} (nine in ten), {times[2]:.1f} (most)",
                    flush=True,
                )
            if (
                kinds == CELLS
            ):  # behind the others: thousands of ballots make a log that a start takes long to apply
                alone, many = await decisions(rig, 1, 3), await decisions(rig, 64, 3)
                print(f"decisions: 64 at once are {many / alone:.1f} times as many a second as one at a time")
                took = sorted(await deciding(rig, events))
                times = [t * 1000 for t in (took[len(took) // 2], took[int(len(took) * 0.9)], took[-1])]
                print(
                    f"from the deciding vote to the last of {agents} agents: {len(took)} times, as multiples of a heartbeat "
                    f"{times[0] / rig.config.heartbeat:.1f} (median), {times[1] / rig.config.heartbeat:.1f} (nine in ten), "
                    f"{times[2] / rig.config.heartbeat:.1f} (most)",
                    flush=True,
                )
        finally:
            verdict = await rig.stop_and_check()
        print(verdict.text())


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--agents", type=int, default=24)
    parser.add_argument("--controllers", type=int, default=3)
    parser.add_argument(
        "--kinds",
        nargs="+",
        choices=CELLS,
        default=CELLS,
        help="of faults; all of them, and ballots, where it is left out",
    )
    given = parser.parse_args()
    asyncio.run(run(given.events, given.agents, given.controllers, tuple(given.kinds)))

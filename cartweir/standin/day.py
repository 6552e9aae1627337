"""The scripted bad day: registry, conveyor and appliances in this process, agents and clients in processes of
their own, all on loopback, all drawn from one seed; then the audit of what passed."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..audit.report import Report
from ..audit.run import audit
from ..hosting.clock import monotonic
from ..proto import agent_pb2 as pb
from ..settings.ini import read_agent
from ..wire.tap import FileTap
from .appliance import Appliance, Fleet, Make, Quality
from .clients import Kind, Load
from .conveyor import Conveyor
from .registry import Registry

SETTINGS = """\
[agent]
listen = 127.0.0.1:0
me = {me}
agents = {agents}
zone = {zone}
seed = {seed}
tick = {tick}
cores = {cores}
list_file = {folder}/agent{me}.list
stage_file = {folder}/agent{me}.stage
facts_file = {folder}/agent{me}.facts
[registry]
address = {registry}
[conveyor]
address = {conveyor}
vote_timeout = 800ms
[appliances]
cold_share = 0.4
warm_time = 5s
fall_multiple = 4
drain_grace = 2s
[release]
control = share
shares = 0.1, 0.35, 1
caps = 0.14, 0.49, 1
window = 4s
free = 1
one_way = yes
on_votes = 2
back_votes = 1
flag_share = 0.3
[operation parcel-view]
methods = /cadastre.Parcels/View
effect = idempotent
slo_time = 750ms
time_limit = 2s
[operation extract-order]
methods = /cadastre.Extracts/Order
effect = fingerprinted
window = 2s
slo_time = 500ms
time_limit = 2s
billed_value = 3
[operation extract-issue]
methods = /cadastre.Extracts/Issue
effect = side-effecting
slo_time = 800ms
time_limit = 2500ms
billed_value = 2
[log]
format = json
"""
KINDS = [
    Kind("parcel-view", "/cadastre.Parcels/View", 0.65, 40_000, 750_000, 2_000_000),
    Kind("extract-order", "/cadastre.Extracts/Order", 0.25, 25_000, 500_000, 2_000_000, marked=True),
    Kind("extract-issue", "/cadastre.Extracts/Issue", 0.10, 50_000, 800_000, 2_500_000),
]
BAD = [
    Quality(errors=0.35),
    Quality(errors=0.7, operation="extract-order"),
    Quality(slow=5.0),
    Quality(wrong=0.25),
    Quality(errors=0.4, late=3_000_000),
]


@dataclass
class Step:
    at: float  # part of the day's length
    what: str
    do: Callable[[], Any]


class Day:
    """One day of so many seconds. Raises OSError where loopback ports or the folder cannot be had."""

    tick = "25ms"  # of the agents

    def __init__(
        self,
        folder: Path,
        seed: int,
        seconds: float,
        say: Callable[[str], None],
        agents: int = 3,
        machines: int = 9,
        rate: float = 120.0,
        cores: int = 1,
    ) -> None:
        self.folder, self.seed, self.seconds, self.say = folder, seed, seconds, say
        self.chance = random.Random(seed)
        self.agents, self.count, self.rate, self.cores = agents, machines, rate, cores
        self.running: dict[int, asyncio.subprocess.Process] = {}
        self.addresses: dict[int, str] = {}
        self._lives: dict[int, int] = {}
        self._began = monotonic()
        # a day of another kind has others
        self.make, self.zones, self.registry_late = Make(), ("north", "south", "east"), 300_000
        self.clients_of: dict[str, Any] | None = None
        self.ends_kept = False  # of each call, by its clients
        self.stages: list[dict[str, Any]] = []  # what the conveyor entered, and when

    def settings_text(self, **of_agent: Any) -> str:
        return SETTINGS.format(agents=self.agents, cores=self.cores, tick=self.tick, **of_agent)

    # ---- facts ----
    def log_event(self, event: str, **facts: Any) -> None:
        if self._facts.closed:
            return  # a machine that is stopped behind the day's end
        self._facts.write(json.dumps({"event": event, "time": monotonic(), **facts}) + "\n")
        self._facts.flush()
        if event == "stage":
            self.stages.append({"time": monotonic(), **facts})
        if event in ("stage", "vote", "fault", "killed", "fell"):
            self.say(
                f"{(monotonic() - self._began) / 1e6:6.2f} s  {event} "
                + ", ".join(f"{k} {v}" for k, v in facts.items())
            )

    # ---- the parts ----
    async def run(self) -> Report:
        self.folder.mkdir(parents=True, exist_ok=True)
        self._facts = open(self.folder / "facts.jsonl", "w", encoding="utf-8")
        tap = FileTap(self.folder / "field.tap")
        self.registry = Registry(late=self.registry_late, tap=tap)
        registry = self.registry.listen_on("127.0.0.1:0")
        self.fleet = Fleet(self.registry, self.make, self.chance, tap, self.zones, log_event=self.log_event)
        self.fleet.on_wrong = self._wrong
        for _ in range(self.count):
            self.fleet.launch(1, warm=True)
        conveyor = await self._make_conveyor(tap)
        for me in range(self.agents):
            text = self.settings_text(
                me=me,
                zone=self.zones[me % len(self.zones)],
                seed=self.seed * 100 + me,
                folder=self.folder,
                registry=registry,
                conveyor=conveyor,
            )
            (self.folder / f"agent{me}.ini").write_text(text)
        try:
            await asyncio.gather(*(self._start_agent(me) for me in range(self.agents)))
            await self._play()
        finally:
            await self._stop_all()
            self.registry.shutdown()
            self.conveyor.shutdown()
            self._facts.close()
        return audit(self.folder)

    async def _make_conveyor(self, tap: FileTap) -> str:
        """Whom agents hear of builds from, and vote to: its address, or several."""
        text = self.settings_text(
            me=0,
            zone=self.zones[0],
            seed=0,
            folder=self.folder,
            registry="127.0.0.1:9",
            conveyor="127.0.0.1:9",
        )
        (self.folder / "agent0.ini").write_text(text)
        release = read_agent(self.folder / "agent0.ini").release
        self.conveyor = Conveyor(self.fleet, release, self.agents, self.log_event, tap=tap)
        return self.conveyor.listen_on("127.0.0.1:0")

    async def _start_agent(self, me: int) -> None:
        """A process of the real program; the second life of one listens where the first did."""
        life = self._lives[me] = self._lives.get(me, 0) + 1
        file, path = self.folder / f"agent{me}.ini", self.folder / f"agent{me}-{life}.tap"
        if me in self.addresses:
            file.write_text(
                file.read_text().replace("listen = 127.0.0.1:0", f"listen = {self.addresses[me]}")
            )
        log = open(self.folder / f"agent{me}-{life}.log", "w")
        with log:
            self.running[me] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cartweir",
                "agent",
                "--settings",
                str(file),
                "--tap",
                str(path),
                stdout=log,
                stderr=log,
                cwd=Path(__file__).parents[2],
            )
        while (started := self._logged(me, "started")) is None:
            if self.running[me].returncode is not None:
                raise OSError(f"agent {me} did not start: {log.name} says why")
            await asyncio.sleep(0.02)
        self.addresses[me] = started["listen"]

    def _logged(self, me: int, event: str, **facts: Any) -> dict[str, Any] | None:
        """The newest such line of an agent's log."""
        last = None
        with open(self.folder / f"agent{me}-{self._lives[me]}.log", encoding="utf-8") as file:
            for line in file:
                if (
                    line.startswith("{")
                    and line.endswith("\n")
                    and (found := json.loads(line))["event"] == event
                    and (facts.items() <= found.items())
                ):
                    last = found
        return last

    def _strike(self, me: int, part: int, stopped: float = 0.0) -> None:
        """One part of an agent is killed, or stopped for so many seconds."""
        begun, again = self._logged(me, "started"), self._logged(me, "part_started", part=part)
        if begun is None or me not in self.running or self.running[me].returncode is not None:
            return  # the agent itself is down
        pid, life = (again["pid"], again["life"]) if again else (begun["parts"][str(part)], 1)

        def give(number: int) -> None:
            with contextlib.suppress(ProcessLookupError):  # it has died by itself
                os.kill(pid, number)

        facts, since = {"tap": f"agent{me}-{self._lives[me]}.tap", "part": part, "life": life}, monotonic()

        def wake() -> None:
            give(signal.SIGCONT)
            self.log_event("part_stopped", **facts, since=since, until=monotonic())

        give(signal.SIGSTOP if stopped else signal.SIGKILL)
        if stopped:
            asyncio.get_running_loop().call_later(stopped, wake)
        else:
            self.log_event("part_killed", **facts)

    async def _kill(self, me: int, down: float, loses: tuple[str, ...] = ()) -> None:
        """And started again so many seconds later, without those of its files."""
        self.log_event("killed", agent=me, tap=f"agent{me}-{self._lives[me]}.tap", loses=loses)
        self.running[me].kill()
        await self.running[me].wait()
        for kind in loses:
            (self.folder / f"agent{me}.{kind}").unlink(missing_ok=True)
        await asyncio.sleep(down)
        await self._start_agent(me)

    def _wrong(self, agent: int, operation: str, machine: Appliance) -> None:
        """Some clients find out, later."""
        if self.chance.random() < 0.3:
            late = self.chance.uniform(0.5, 2.0)
            flag = pb.Flag(operation=operation, appliance=machine.ident, age=int(late * 1e6), agent=agent)
            asyncio.get_running_loop().call_later(late, self.conveyor.flag, flag)

    # ---- the day ----
    def script(self) -> list[Step]:
        """What goes wrong, by parts of the day; some overlap."""
        chance, fleet = self.chance, self.fleet
        bad, names = chance.choice(BAD), list(fleet.machines)
        silent, failing, *pausing = chance.sample(names, min(5, len(names)))
        victim = chance.randrange(self.agents)

        def offer(build: int, quality: Quality) -> None:
            fleet.qualities[build] = quality
            self.conveyor.offer(build)

        def steer(who: str, what: str, value: float) -> None:
            if who in fleet.machines:  # it may have been replaced by then
                fleet.steer(who, what, value)

        def pauses(rounds: int) -> None:
            for name in pausing:
                steer(name, "pause", 300_000)
            if rounds:
                asyncio.get_running_loop().call_later(1.2, pauses, rounds - 1)

        steps = [
            Step(0.08, f"build 2 is offered, and bad: {bad}", lambda: offer(2, bad)),
            Step(0.14, "three appliances stand still for 300 ms now and then", lambda: pauses(4)),
            Step(0.25, f"agent {victim} is killed, and back after 1.2 s", lambda: self._kill(victim, 1.2)),
            Step(
                0.30,
                f"{silent} falls silent, and comes back cold after 5 s",
                lambda: steer(silent, "silence", 5_000_000),
            ),
            Step(0.38, "the registry fails", lambda: self.registry.fail(True)),
            Step(0.42, "build 3 is offered, and good", lambda: offer(3, Quality())),
            Step(0.47, "the registry is back", lambda: self.registry.fail(False)),
            Step(0.55, "traffic doubles for a while", lambda: self._clients(0.15, self.rate, self.seed + 50)),
            Step(0.60, f"{failing} fails half its invocations", lambda: steer(failing, "errors", 0.5)),
            Step(0.72, "and is well again", lambda: steer(failing, "errors", 0.0)),
            Step(0.76, "the conveyor is gone", lambda: self.conveyor.gone(True)),
            Step(0.84, "the conveyor is back", lambda: self.conveyor.gone(False)),
        ]
        if self.cores > 1:
            me, part = chance.randrange(self.agents), chance.randint(1, self.cores)
            steps += [
                Step(0.20, f"part {part} of agent {me} is killed", lambda: self._strike(me, part)),
                Step(
                    0.44,
                    f"part {part} of agent {me} stands still for 3 s",
                    lambda: self._strike(me, part, 3.0),
                ),
                Step(0.50, f"the deciding part of agent {me} is killed", lambda: self._strike(me, 0)),
                Step(
                    0.66,
                    f"the deciding part of agent {me} stands still for 1 s",
                    lambda: self._strike(me, 0, 1.0),
                ),
            ]
        return [Step(step.at + chance.uniform(-0.01, 0.01), step.what, step.do) for step in steps]

    async def _play(self) -> None:
        self._began = monotonic()
        tasks = [asyncio.ensure_future(self._clients(1.0, self.rate, self.seed))]
        for step in sorted(self.script(), key=lambda s: s.at):
            wait = self._began + int(step.at * self.seconds * 1e6) - monotonic()
            await asyncio.sleep(max(0.0, wait / 1e6))
            self.say(f"{(monotonic() - self._began) / 1e6:6.2f} s  {step.what}")
            if asyncio.iscoroutine(done := step.do()):
                tasks.append(asyncio.ensure_future(done))
        await asyncio.gather(*tasks)

    async def _clients(self, part: float, rate: float, seed: int) -> None:
        """A process of light clients; its counts are said when it ends."""
        more = []
        if self.clients_of is not None:
            (self.folder / "clients.json").write_text(json.dumps(self.clients_of))
            more = ["--like", str(self.folder / "clients.json")]
        if self.ends_kept:
            more += ["--ends", str(self.folder / f"ends-{seed}.jsonl")]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cartweir",
            "standin",
            "clients",
            *more,
            *(a for _, a in sorted(self.addresses.items())),
            "--seconds",
            str(part * self.seconds),
            "--rate",
            str(rate),
            "--seed",
            str(seed),
            "--tap",
            str(self.folder / f"clients-{seed}.tap"),
            stdout=asyncio.subprocess.PIPE,
            cwd=Path(__file__).parents[2],
        )
        out, _ = await process.communicate()
        self.log_event("clients", seed=seed, counts=out.decode().strip())

    async def _stop_all(self) -> None:
        for process in self.running.values():
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for process in self.running.values():
            try:
                await asyncio.wait_for(process.wait(), 10)
            except (asyncio.TimeoutError, TimeoutError):
                process.kill()

    def reasons(self) -> list[str]:
        """Why agents voted, in their own words."""
        lines = []
        for path in sorted(self.folder.glob("agent*.log")):
            for line in path.read_text().splitlines():
                if '"decision"' in line and '"vote ' in line:
                    lines.append(f"{path.stem.split('-')[0]}: {json.loads(line)['text']}")
        return lines


async def clients(
    addresses: list[str],
    seconds: float,
    rate: float,
    seed: int,
    tap: FileTap | None,
    like: dict[str, Any] | None = None,
    ends: Path | None = None,
) -> dict[str, int]:
    """Light clients as a process of their own runs them; like: kinds, retries, keys, try_share, else the day's."""
    more = dict(like or {})
    kinds = [Kind(**kind) for kind in more.pop("kinds", ())] or KINDS
    load = Load(kinds, addresses, rate, seed, tap=tap, **more)
    await load.run(seconds)
    load.close()
    if ends is not None:
        ends.write_text("".join(f"{json.dumps(row)}\n" for row in load.ended))
    return {f"{operation} {how}": count for (operation, how), count in sorted(load.counts.items())}

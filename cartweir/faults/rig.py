"""The processes of one run with faults: controllers behind a proxy, receivers and light agents."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import sys
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from ..agent.control_plane import write_atomically
from ..controller.directory import create_founding_directory
from ..controller.settings import ControllerDocument, read_controller
from ..hosting.clock import monotonic
from ..proto import agent_pb2 as pb
from ..standin.cut import Cut
from ..wire.calls import CallError, Channel
from .consistency_check import ConsistencyReport, check_consistency
from .light_agent import LightAgent, LightAgentOptions
from .ports import free_addresses

SETTINGS = """\
[controller]
name = {name}
cluster = rig
listen = {listen}
directory = {folder}/dir-{name}
heartbeat = {heartbeat}ms
election = {election}ms
absent = {absent}ms
stuck = 2s
agents_quiet = 1500ms
compact = 1000000
admit = {admit}
[members]
{members}
[routes]
{routes}
{release}
[waves]
bake = {bake}ms
grace = {grace}ms
repeat = 1s
machines = {machines}
{steps}
[log]
format = json
"""


RELEASE = """\
[release]
control = share
shares = 0.1, 0.35, 1
caps = 0.14, 0.49, 1
on_votes = {on_votes}
back_votes = {on_votes}
vote_life = 5s
vote_allowance = 2000"""
STEPS = """\
[steps owners]
names = {names}
target = {target}
build = 2
before = 2"""

RECEIVERS = "receivers"  # the name of the receivers' process
EPHEMERAL = "127.0.0.1:0"
FAULT_DURATIONS = (0.3, 0.8, 1.5, 3.0)  # seconds
FAULT_KINDS = (  # a kind that is named twice is drawn twice as often
    "kill",
    "kill",
    "stop",
    "stop",
    "apart",
    "one-way",
    "from-agents",
    "from-machines",
    "slow",
    "reset",
    "all",
    "slow-disk",
    "torn",
    "torn",
)
PROCESS_FAULT_KINDS = ("kill", "stop", "all")
DISK_FAULT_KINDS = ("slow-disk", "torn")
OWNER_SHARE = 0.6  # of the faults, at the owner of a duty, where they do the most damage
FSYNC_DELAYS = (0.05, 0.2, 0.6)  # seconds
OFFER_INTERVAL = 8_000_000  # microseconds
STOP_TIMEOUT = 10  # seconds from SIGTERM to SIGKILL
POLL_INTERVAL = 0.03  # seconds between two rounds of questions
VOTE_RETRY_DELAY = 0.05  # seconds


@dataclass
class RigConfig:
    """What a run consists of; times are in milliseconds.

    Attributes:
        controllers, agents: how many there are; the agents are light ones.
        heartbeat, election, bake, grace: as in the controllers' settings.
        steps: the names of the steps; empty for no such duty.
        votes: whether the light agents vote.
        admit: agents that a controller admits a second.
        files: whether light agents keep their stage in files. Hundreds that sync files on one disk do not
            behave as on machines of their own.
        unfenced: receivers accept late effects: a seeded fault.
        release: the [release] section of the controllers' settings; empty for the default.
        receivers: the address of receivers that run elsewhere; None: the rig starts its own.
    """

    controllers: int = 3
    agents: int = 12
    heartbeat: int = 60
    election: int = 300
    bake: int = 300
    grace: int = 500
    steps: tuple = ("add", "copy", "drop", "check")
    votes: bool = True
    admit: int = 200
    files: bool = True
    unfenced: bool = False
    release: str = ""
    receivers: str | None = None


class Vote(NamedTuple):
    """What an agent votes on, and its choice."""

    build: int
    stage: int
    choice: int


class Rig:
    """The processes of one run, and the faults between and in them.

    Attributes:
        controller_names: the names of the controllers' processes.
        listen_addresses: where each process listens, by name.
        agent_addresses: where agents reach the controllers, through the proxy.
        proxy: stands between all processes, and delays, holds or breaks what passes.
        record_path: the file of the receivers.
        events: what happened, for the record of the run.
        followed_stages: the stages that light agents followed, in order.
        acknowledged_votes: agent, build and stage of the ballots that were answered ok.
        machine_count: of the fleet, as builds are offered to it.
        fault_counts: by kind.
    """

    def __init__(self, folder: Path, config: RigConfig, seed: int = 1) -> None:
        """The folder is created by `start`, and keeps logs, settings and records."""
        self.release_section = config.release or RELEASE.format(on_votes=max(1, config.agents // 2))
        self.folder, self.config, self.seed = folder, config, seed
        self.controller_names = [chr(ord("a") + i) for i in range(config.controllers)]
        self.random = random.Random(seed)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.documents: dict[str, ControllerDocument] = {}
        self.agents: list[LightAgent] = []
        self.events: list[dict[str, Any]] = []
        self.followed_stages: list[dict[str, Any]] = []
        self.acknowledged_votes: list[tuple] = []
        self.machine_count = 10
        self.started_at = monotonic()
        self.fault_counts: Counter = Counter()

    def record_event(self, event: str, **facts: Any) -> None:
        """Keeps an event with its time."""
        row = {"time": monotonic(), "event": event, **facts}
        (self.followed_stages if event == "stage" else self.events).append(row)
        if event == "vote":
            self.acknowledged_votes.append((facts["agent"], facts["build"], facts["stage"]))

    # Start

    async def start(self) -> None:
        """Writes the settings, and starts all processes and agents.

        Raises:
            OSError: the folder cannot be written, or there are not enough free ports.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        config, names = self.config, self.controller_names
        listen = dict(zip([*names, RECEIVERS], free_addresses(len(names) + 1), strict=True))
        listen[RECEIVERS] = config.receivers or listen[RECEIVERS]
        self.listen_addresses, self.record_path = listen, self.folder / "receivers.jsonl"
        self.proxy = Cut(self._routes(), self.record_event)
        proxy_addresses = await self.proxy.start(EPHEMERAL)
        for name in names:
            self._write_settings(name, proxy_addresses)
        await asyncio.gather(*map(self.start_process, names if config.receivers else [RECEIVERS, *names]))
        self.agent_addresses = [proxy_addresses[f"agents-{name}"] for name in names]
        self.agents = [
            LightAgent(
                number,
                self.agent_addresses,
                self.record_event,
                LightAgentOptions(
                    votes=config.votes,
                    seed=self.seed,
                    stage_file=self.folder / f"agent{number}.stage" if config.files else None,
                ),
            )
            for number in range(config.agents)
        ]

    def _routes(self) -> list[tuple[str, str, str]]:
        """Returns name, listening address and target of each route of the proxy."""
        listen, names = self.listen_addresses, self.controller_names
        routes = [(f"{a}-{b}", EPHEMERAL, listen[b]) for a in names for b in names if a != b]
        routes += [
            (f"{name}-{service}", EPHEMERAL, listen[RECEIVERS])
            for name in names
            for service in ("machines", "steps")
        ]
        routes += [(f"agents-{name}", EPHEMERAL, listen[name]) for name in names]
        return routes

    def _write_settings(self, name: str, proxy_addresses: dict[str, str]) -> None:
        """Writes the settings of a controller, and creates its directory."""
        config, names, listen = self.config, self.controller_names, self.listen_addresses
        steps = STEPS.format(names=", ".join(config.steps), target=proxy_addresses[f"{name}-steps"])
        path = self.folder / f"{name}.ini"
        path.write_text(
            SETTINGS.format(
                name=name,
                listen=listen[name],
                folder=self.folder,
                heartbeat=config.heartbeat,
                election=config.election,
                absent=3 * config.election,
                admit=config.admit,
                members="\n".join(f"{other} = {listen[other]}" for other in names),
                routes="\n".join(
                    f"{other} = {proxy_addresses[f'{name}-{other}']}" for other in names if other != name
                ),
                release=self.release_section,
                bake=config.bake,
                grace=config.grace,
                machines=proxy_addresses[f"{name}-machines"],
                steps=steps if config.steps else "",
            )
        )
        self.documents[name] = read_controller(path)
        create_founding_directory(self.documents[name])

    async def start_process(self, name: str) -> None:
        """Starts a controller or the receivers, on a disk whose faults can be set."""
        arguments = (
            [
                "standin",
                "receivers",
                "--record",
                str(self.record_path),
                "--listen",
                self.listen_addresses[RECEIVERS],
            ]
            if name == RECEIVERS
            else ["controller", "run", "--settings", str(self.folder / f"{name}.ini")]
        )
        if name == RECEIVERS and self.config.unfenced:
            arguments.append("--unfenced")
        with open(self.folder / f"{name}.log", "a") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cartweir.faults.faulty_disk",
                str(self._disk_fault_file(name)),
                *arguments,
                stdout=log,
                stderr=log,
                cwd=Path(__file__).parents[2],
            )

    def _disk_fault_file(self, name: str) -> Path:
        return self.folder / f"{name}.disk"

    # Questions

    async def ask(self, name: str, **question: Any) -> Any:
        """Asks a controller; returns None if it does not answer, or refuses."""
        channel = Channel(self.listen_addresses[name], 300_000)
        try:
            message = pb.Text(json=json.dumps(question)).SerializeToString()
            answer = await channel.unary("/cartweir.v1.Controller/Ask", message, 1_500_000)
            return json.loads(pb.Text.FromString(answer.message).json)
        except CallError:
            return None
        finally:
            channel.close()

    async def wait_for_status(
        self, condition: Callable[[dict[str, Any]], bool], seconds: float = 40.0
    ) -> dict[str, Any]:
        """Waits until the status of some controller meets a condition; returns that status.

        Raises:
            TimeoutError: no status met it in time; the text has the last one.
        """
        end, last = monotonic() + int(seconds * 1e6), None
        while monotonic() < end:
            for name in self.controller_names:
                if self.is_running(name) and (status := await self.ask(name, ask="status")) is not None:
                    last = status
                    if condition(status):
                        return status
            await asyncio.sleep(POLL_INTERVAL)
        raise TimeoutError(f"no controller's status met the condition within {seconds:g} s; last: {last}")

    async def wait_for_owner(self, duty: str = "release", seconds: float = 20.0) -> str:
        """Waits until a duty has an owner, as the leader says; returns the owner's name."""
        status = await self.wait_for_status(
            lambda s: s["role"] == "leader" and s["duties"][duty]["owner"] is not None, seconds
        )
        return status["duties"][duty]["owner"]

    async def offer_build(self, build: int) -> bool:
        """Offers a build through any controller; returns whether it was taken."""
        for name in self.controller_names:
            if (
                self.is_running(name)
                and (answer := await self.ask(name, ask="offer", build=build, machines=self.machine_count))
                and answer.get("taken")
            ):
                return True
        return False

    async def cast_votes(
        self, controller: str, agents: Iterable[int], vote: Vote, first_serial: int = 0
    ) -> list[int]:
        """Sends ballots of agents that do not run to one controller until each is answered.

        Args:
            controller: its name.
            agents: their numbers.
            vote: the same of all agents.
            first_serial: added to an agent's number, the serial number of its ballot.

        Returns:
            The answers.
        """
        channel = Channel(self.listen_addresses[controller], 500_000)

        async def cast(number: int) -> int:
            ballot = pb.Ballot(
                agent=number,
                build=vote.build,
                stage=vote.stage,
                choice=vote.choice,
                serial=first_serial + number,
            )
            while True:
                try:
                    answer = await channel.unary(
                        "/cartweir.v1.Conveyor/Vote", ballot.SerializeToString(), 2_500_000
                    )
                    return pb.Verdict.FromString(answer.message).answer
                except CallError:
                    await asyncio.sleep(VOTE_RETRY_DELAY)

        answers = await asyncio.gather(*map(cast, agents))
        channel.close()
        return answers

    def is_running(self, name: str) -> bool:
        """Whether a process has been started and has not ended; one that is stopped counts as running."""
        return name in self.processes and self.processes[name].returncode is None

    # Faults

    def send_signal(self, name: str, number: int) -> None:
        """Sends a signal to a process, if it runs."""
        if self.is_running(name):
            self.record_event("signal", who=name, number=signal.Signals(number).name)
            self.fault_counts[signal.Signals(number).name] += 1
            self.processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kills a process, and waits for its end."""
        self.send_signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    def command_proxy(self, *command: str) -> None:
        """Gives the proxy a command: a route, what to do, and perhaps a way (see standin/cut.py)."""
        self.fault_counts[command[1]] += 1
        self.proxy.command(list(command))

    def set_disk_fault(self, name: str, **fault: Any) -> None:
        """Sets the disk fault of a controller or of the receivers from now on.

        `slow` is the time that each fsync takes longer, in seconds; `tear` names a signal (see
        faulty_disk.py). Without either, the disk is sound again.
        """
        self.record_event("disk", who=name, **fault)
        self.fault_counts["disk"] += bool(fault)
        if fault:
            write_atomically(self._disk_fault_file(name), json.dumps(fault))
        else:
            self._disk_fault_file(name).unlink(missing_ok=True)

    def isolate(self, name: str, what: str = "hold", way: str = "both") -> None:
        """Gives the proxy a command for all routes between a controller and its peers.

        By default it holds all messages; `pass` ends the isolation.
        """
        for other in self.controller_names:
            if other != name:
                for route in (f"{name}-{other}", f"{other}-{name}"):
                    self.command_proxy(route, what, way)

    async def inject_random_fault(self, say: Callable[[str], None]) -> None:
        """Draws one fault, and ends it after its time; `say` gets a line on it."""
        rng = self.random
        name = rng.choice(self.controller_names)
        if rng.random() < OWNER_SHARE:
            with contextlib.suppress(TimeoutError):
                name = await self.wait_for_owner(
                    rng.choice(("release", "steps owners") if self.config.steps else ("release",)), 3
                )
        duration = rng.choice(FAULT_DURATIONS)
        kind = rng.choice(FAULT_KINDS)
        self.record_event("trouble", kind=kind, who=name, seconds=duration)
        say(f"{(monotonic() - self.started_at) / 1e6:5.1f} s  {kind}: {name}, {duration:g} s")
        if kind in PROCESS_FAULT_KINDS:
            await self._inject_process_fault(kind, name, duration)
        elif kind in DISK_FAULT_KINDS:
            await self._inject_disk_fault(kind, name, duration)
        else:
            await self._inject_network_fault(kind, name, duration)

    async def _inject_process_fault(self, kind: str, name: str, duration: float) -> None:
        match kind:
            case "kill":
                if self.is_running(name):
                    await self.kill(name)
                    await asyncio.sleep(duration)
                    await self.start_process(name)
            case "stop":
                self.send_signal(name, signal.SIGSTOP)
                await asyncio.sleep(duration)
                self.send_signal(name, signal.SIGCONT)
            case "all":
                has_own_receivers = not self.config.receivers
                names = [*self.controller_names, RECEIVERS] if has_own_receivers else self.controller_names
                await asyncio.gather(*(self.kill(each) for each in names if self.is_running(each)))
                await asyncio.gather(*(self.start_process(each) for each in names))

    async def _inject_network_fault(self, kind: str, name: str, duration: float) -> None:
        others = [other for other in self.controller_names if other != name]
        match kind:
            case "apart":
                self.isolate(name)
                await asyncio.sleep(duration)
                self.isolate(name, "pass")
            case "one-way":
                for other in others:
                    self.command_proxy(f"{name}-{other}", "hold", "out")
                await asyncio.sleep(duration)
                for other in others:
                    self.command_proxy(f"{name}-{other}", "pass")
            case "from-agents" | "from-machines":
                route = f"agents-{name}" if kind == "from-agents" else f"{name}-machines"
                self.command_proxy(route, "hold")
                await asyncio.sleep(duration)
                self.command_proxy(route, "pass")
            case "slow":
                for other in others:
                    self.command_proxy(f"{other}-{name}", "delay", "150ms")
                await asyncio.sleep(duration)
                for other in others:
                    self.command_proxy(f"{other}-{name}", "pass")
            case "reset":
                self.command_proxy("all", "reset")

    async def _inject_disk_fault(self, kind: str, name: str, duration: float) -> None:
        match kind:
            case "slow-disk":
                self.set_disk_fault(name, slow=self.random.choice(FSYNC_DELAYS))
                await asyncio.sleep(duration)
                self.set_disk_fault(name)
            case "torn":  # killed or stopped with half of a write on disk
                self.set_disk_fault(name, tear=self.random.choice(("SIGKILL", "SIGSTOP")))
                await asyncio.sleep(duration)
                self.set_disk_fault(name)  # it may not have written anything meanwhile
                self.send_signal(name, signal.SIGCONT)
                if not self.is_running(name):
                    await self.start_process(name)

    # End

    async def stop_and_check(self) -> ConsistencyReport:
        """Ends all processes, and checks what receivers and light agents saw."""
        await self.stop()
        return check_consistency(
            list(self.documents.values()), self.record_path, self.followed_stages, self.acknowledged_votes
        )

    async def stop(self) -> None:
        """Ends all processes by SIGTERM, and writes the record of the run."""
        self.proxy.command(["all", "pass"])
        for agent in self.agents:
            agent.close()
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                await asyncio.wait_for(process.wait(), STOP_TIMEOUT)
            except TimeoutError:
                process.kill()
                await process.wait()
        if not self.record_path.exists():
            self.record_path.touch()
        with open(self.folder / "facts.jsonl", "w") as file:
            file.writelines(json.dumps(row) + "\n" for row in self.events)

    async def run_faults(
        self, seconds: float, say: Callable[[str], None] = lambda text: None
    ) -> ConsistencyReport:
        """Offers builds while faults are injected; then a leader has to be found without faults."""
        await self.start()
        end, build, next_offer_at = monotonic() + int(seconds * 1e6), 2, 0
        try:
            await self.wait_for_owner()
            while monotonic() < end:
                if monotonic() >= next_offer_at and await self.offer_build(build):
                    build, next_offer_at = build + 1, monotonic() + OFFER_INTERVAL
                await self.inject_random_fault(say)
                await asyncio.sleep(self.random.uniform(0.05, 0.6))
            self.proxy.command(["all", "pass"])
            await self.wait_for_owner(seconds=15)
        finally:
            report = await self.stop_and_check()
        return report


async def run_rig(
    folder: Path, config: RigConfig, seed: int, seconds: float, say: Callable[[str], None]
) -> tuple[ConsistencyReport, Rig]:
    """Runs a rig with random faults; returns the report and the rig."""
    rig = Rig(folder, config, seed)
    return await rig.run_faults(seconds, say), rig

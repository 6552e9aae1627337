"""The processes of one run: controllers behind cuts, receivers, light agents; and what befalls them."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import json
import random
import signal
import socket
import sys
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..agent.control_plane import write_atomically
from ..controller.directory import create_founding_directory
from ..controller.settings import ControllerDocument, read_controller
from ..hosting.clock import monotonic
from ..proto import agent_pb2 as pb
from ..standin.cut import Cut
from ..wire.calls import CallError, Channel
from .consistency_check import ConsistencyReport, check_consistency
from .light_agent import LightAgent

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


# Ports are handed out below the range from which Linux draws ports of its own (32768 and up), so that no outgoing
# connection takes one while a process that listens there is restarted.
FIRST_PORT = 12_000
PORTS_PER_PROCESS = 256
PORT_RANGES = 80


@functools.cache
def _claim_ports() -> tuple[socket.socket, Iterator[int]]:
    """Claims a range of ports for this process, and returns its ports in turn.

    The claim is a UDP socket bound to the first port of the range. It is released when the process ends, however it ends,
    so two processes on one machine never hand out the same ports.
    """
    claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for number in range(PORT_RANGES):
        first = FIRST_PORT + number * PORTS_PER_PROCESS
        with contextlib.suppress(OSError):
            claim.bind(("127.0.0.1", first))
            return claim, itertools.cycle(range(first + 1, first + PORTS_PER_PROCESS))
    claim.close()
    raise OSError(f"all {PORT_RANGES} port ranges from {FIRST_PORT} are claimed by other processes")


def _can_listen(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_addresses(count: int) -> list[str]:
    """Returns addresses on which nothing listens, from the port range that this process has claimed."""
    _, ports = _claim_ports()
    free = filter(_can_listen, itertools.islice(ports, PORTS_PER_PROCESS - 1))
    found = [f"127.0.0.1:{port}" for port in itertools.islice(free, count)]
    if len(found) < count:
        raise OSError(f"only {len(found)} of {count} ports are free in the range of this process")
    return found


@dataclass
class RigConfig:
    """Of a run. Times in milliseconds."""

    controllers: int = 3
    agents: int = 12
    heartbeat: int = 60
    election: int = 300
    bake: int = 300
    grace: int = 500
    steps: tuple = ("add", "copy", "drop", "check")
    votes: bool = True  # of the light agents
    admit: int = 200  # agents that a controller lets listen a second
    files: bool = True  # of the light agents; hundreds that sync theirs on one disk are no fleet on machines of their own


class Rig:
    """Raises OSError where ports or the folder cannot be had. unfenced: receivers that take all, a fault put in. release:
    the [release] section, as text. receivers: their address where they run elsewhere."""

    def __init__(
        self,
        folder: Path,
        scale: RigConfig,
        seed: int = 1,
        unfenced: bool = False,
        release: str = "",
        receivers: str | None = None,
    ) -> None:
        self.release_section = release or RELEASE.format(on_votes=max(1, scale.agents // 2))
        self.external_receivers = receivers
        self.folder, self.config, self.seed, self.unfenced = folder, scale, seed, unfenced
        self.controller_names = [chr(ord("a") + i) for i in range(scale.controllers)]
        self.random = random.Random(seed)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.documents: dict[str, ControllerDocument] = {}
        self.agents: list[LightAgent] = []
        self.events: list[dict[str, Any]] = []
        self.followed_stages: list[dict[str, Any]] = []
        self.acknowledged_votes: list[tuple] = []
        self.machine_count = 10  # of the fleet, as builds are offered to it
        self.started_at = monotonic()
        self.fault_counts: Counter = Counter()

    def record_event(self, event: str, **facts: Any) -> None:
        row = {"time": monotonic(), "event": event, **facts}
        (self.followed_stages if event == "stage" else self.events).append(row)
        if event == "vote":
            self.acknowledged_votes.append((facts["agent"], facts["build"], facts["stage"]))

    # ---- making ----
    async def start(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        scale, names = self.config, self.controller_names
        listen = dict(zip([*names, "receivers"], free_addresses(len(names) + 1)))
        listen["receivers"] = self.external_receivers or listen["receivers"]
        self.listen_addresses, self.record_path = listen, self.folder / "receivers.jsonl"
        pairs = [(f"{a}-{b}", "127.0.0.1:0", listen[b]) for a in names for b in names if a != b]
        pairs += [
            (f"{a}-{what}", "127.0.0.1:0", listen["receivers"])
            for a in names
            for what in ("machines", "steps")
        ]
        pairs += [(f"agents-{a}", "127.0.0.1:0", listen[a]) for a in names]
        self.proxy = Cut(pairs, self.record_event)
        ways = await self.proxy.start("127.0.0.1:0")
        for name in names:
            path = self.folder / f"{name}.ini"
            path.write_text(
                SETTINGS.format(
                    name=name,
                    listen=listen[name],
                    folder=self.folder,
                    heartbeat=scale.heartbeat,
                    election=scale.election,
                    absent=3 * scale.election,
                    admit=scale.admit,
                    members="\n".join(f"{n} = {listen[n]}" for n in names),
                    routes="\n".join(f"{n} = {ways[f'{name}-{n}']}" for n in names if n != name),
                    release=self.release_section,
                    bake=scale.bake,
                    grace=scale.grace,
                    machines=ways[f"{name}-machines"],
                    steps=STEPS.format(names=", ".join(scale.steps), target=ways[f"{name}-steps"])
                    if scale.steps
                    else "",
                )
            )
            self.documents[name] = read_controller(path)
            create_founding_directory(self.documents[name])
        await asyncio.gather(
            *map(self.start_process, names if self.external_receivers else ["receivers", *names])
        )
        self.agent_addresses = addresses = [ways[f"agents-{a}"] for a in names]
        self.agents = [
            LightAgent(
                number,
                addresses,
                self.record_event,
                votes=scale.votes,
                seed=self.seed,
                stage_file=self.folder / f"agent{number}.stage" if scale.files else None,
            )
            for number in range(scale.agents)
        ]

    async def start_process(self, name: str) -> None:
        """A process of the program, in its own folder's log."""
        arguments = (
            [
                "standin",
                "receivers",
                "--record",
                str(self.record_path),
                "--listen",
                self.listen_addresses["receivers"],
            ]
            if (name == "receivers")
            else ["controller", "run", "--settings", str(self.folder / f"{name}.ini")]
        )
        if name == "receivers" and self.unfenced:
            arguments.append("--unfenced")
        with open(self.folder / f"{name}.log", "a") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cartweir.faults.faulty_disk",
                str(self._disk(name)),
                *arguments,
                stdout=log,
                stderr=log,
                cwd=Path(__file__).parents[2],
            )

    def _disk(self, name: str) -> Path:
        return self.folder / f"{name}.disk"

    # ---- asking ----
    async def ask(self, name: str, **asked: Any) -> Any:
        """None: no answer, or refused."""
        channel = Channel(self.listen_addresses[name], 300_000)
        try:
            message = pb.Text(json=json.dumps(asked)).SerializeToString()
            answer = await channel.unary("/cartweir.v1.Controller/Ask", message, 1_500_000)
            return json.loads(pb.Text.FromString(answer.message).json)
        except CallError:
            return None
        finally:
            channel.close()

    async def wait_for_status(
        self, holds: Callable[[dict[str, Any]], bool], seconds: float = 40.0
    ) -> dict[str, Any]:
        """A controller's status that holds. Raises TimeoutError with the last one seen."""
        end, last = monotonic() + int(seconds * 1e6), None
        while monotonic() < end:
            for name in self.controller_names:
                if self.is_running(name) and (status := await self.ask(name, ask="status")) is not None:
                    last = status
                    if holds(status):
                        return status
            await asyncio.sleep(0.03)
        raise TimeoutError(f"no controller came to it within {seconds:g} s; last: {last}")

    async def wait_for_owner(self, duty: str = "release", seconds: float = 20.0) -> str:
        status = await self.wait_for_status(
            lambda s: s["role"] == "leader" and s["duties"][duty]["owner"] is not None, seconds
        )
        return status["duties"][duty]["owner"]

    async def offer_build(self, build: int) -> bool:
        for name in self.controller_names:
            if (
                self.is_running(name)
                and (answer := await self.ask(name, ask="offer", build=build, machines=self.machine_count))
                and answer.get("taken")
            ):
                return True
        return False

    async def cast_votes(
        self, through: str, numbers: Iterable[int], build: int, stage: int, choice: int, serial: int = 0
    ) -> list[int]:
        """Of agents that are not there, told to one controller under serial + number until each is answered: the answers."""
        channel = Channel(self.listen_addresses[through], 500_000)

        async def tell(number: int) -> int:
            ballot = pb.Ballot(agent=number, build=build, stage=stage, choice=choice, serial=serial + number)
            while True:
                try:
                    answer = await channel.unary(
                        "/cartweir.v1.Conveyor/Vote", ballot.SerializeToString(), 2_500_000
                    )
                    return pb.Verdict.FromString(answer.message).answer
                except CallError:
                    await asyncio.sleep(0.05)

        answers = await asyncio.gather(*map(tell, numbers))
        channel.close()
        return answers

    def is_running(self, name: str) -> bool:
        return name in self.processes and self.processes[name].returncode is None

    # ---- faults ----
    def send_signal(self, name: str, number: int) -> None:
        if self.is_running(name):
            self.record_event("signal", who=name, number=signal.Signals(number).name)
            self.fault_counts[signal.Signals(number).name] += 1
            self.processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        self.send_signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    def command_proxy(self, *command: str) -> None:
        self.fault_counts[command[1]] += 1
        self.proxy.command(list(command))

    def set_disk_fault(self, name: str, **fault: Any) -> None:
        """Of a controller or the receivers, from now on: slow (seconds) or tear (a signal), see faulty_disk.py; none: sound again."""
        self.record_event("disk", who=name, **fault)
        self.fault_counts["disk"] += bool(fault)
        if fault:
            write_atomically(self._disk(name), json.dumps(fault))
        else:
            self._disk(name).unlink(missing_ok=True)

    def isolate(self, name: str, what: str = "hold", way: str = "both") -> None:
        """From its peers: all routes from it and to it."""
        for other in self.controller_names:
            if other != name:
                for route in (f"{name}-{other}", f"{other}-{name}"):
                    self.command_proxy(route, what, way)

    async def inject_random_fault(self, note: Callable[[str], None]) -> None:
        """One drawn fault, and its end."""
        chance = self.random
        name = chance.choice(self.controller_names)
        if chance.random() < 0.6:  # where it hurts most
            with contextlib.suppress(TimeoutError):
                name = await self.wait_for_owner(
                    chance.choice(("release", "steps owners") if self.config.steps else ("release",)), 3
                )
        span = chance.choice((0.3, 0.8, 1.5, 3.0))
        kind = chance.choice(
            (
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
        )
        self.record_event("trouble", kind=kind, who=name, seconds=span)
        note(f"{(monotonic() - self.started_at) / 1e6:5.1f} s  {kind}: {name}, {span:g} s")
        match kind:
            case "kill":
                if self.is_running(name):
                    await self.kill(name)
                    await asyncio.sleep(span)
                    await self.start_process(name)
            case "stop":
                self.send_signal(name, signal.SIGSTOP)
                await asyncio.sleep(span)
                self.send_signal(name, signal.SIGCONT)
            case "apart":
                self.isolate(name)
                await asyncio.sleep(span)
                self.isolate(name, "pass")
            case "one-way":
                for other in self.controller_names:
                    if other != name:
                        self.command_proxy(f"{name}-{other}", "hold", "out")
                await asyncio.sleep(span)
                for other in self.controller_names:
                    if other != name:
                        self.command_proxy(f"{name}-{other}", "pass")
            case "from-agents" | "from-machines":
                route = f"agents-{name}" if kind == "from-agents" else f"{name}-machines"
                self.command_proxy(route, "hold")
                await asyncio.sleep(span)
                self.command_proxy(route, "pass")
            case "slow":
                for other in self.controller_names:
                    if other != name:
                        self.command_proxy(f"{other}-{name}", "delay", "150ms")
                await asyncio.sleep(span)
                for other in self.controller_names:
                    if other != name:
                        self.command_proxy(f"{other}-{name}", "pass")
            case "reset":
                self.command_proxy("all", "reset")
            case "slow-disk":
                self.set_disk_fault(name, slow=chance.choice((0.05, 0.2, 0.6)))
                await asyncio.sleep(span)
                self.set_disk_fault(name)
            case "torn":  # killed or stopped with half of a write on disk
                how = chance.choice(("SIGKILL", "SIGSTOP"))
                self.set_disk_fault(name, tear=how)
                await asyncio.sleep(span)
                self.set_disk_fault(name)  # where it wrote nothing meanwhile
                self.send_signal(name, signal.SIGCONT)
                if not self.is_running(name):
                    await self.start_process(name)
            case "all":
                struck = (
                    self.controller_names
                    if self.external_receivers
                    else [*self.controller_names, "receivers"]
                )
                await asyncio.gather(*(self.kill(n) for n in struck if self.is_running(n)))
                await asyncio.gather(*(self.start_process(n) for n in struck))

    # ---- the end ----
    async def stop_and_check(self) -> ConsistencyReport:
        await self.stop()
        return check_consistency(
            list(self.documents.values()), self.record_path, self.followed_stages, self.acknowledged_votes
        )

    async def stop(self) -> None:
        """Ends all by SIGTERM."""
        self.proxy.command(["all", "pass"])
        for agent in self.agents:
            agent.close()
        for name, process in self.processes.items():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                await asyncio.wait_for(process.wait(), 10)
            except (asyncio.TimeoutError, TimeoutError):
                process.kill()
                await process.wait()
        if not self.record_path.exists():
            self.record_path.touch()
        with open(self.folder / "facts.jsonl", "w") as file:
            file.writelines(json.dumps(row) + "\n" for row in self.events)

    async def run_faults(
        self, seconds: float, note: Callable[[str], None] = lambda text: None
    ) -> ConsistencyReport:
        """Builds are offered and voted on while faults are drawn; quiet at the end, in which a leader has to be found."""
        await self.start()
        end, build, next_offer = monotonic() + int(seconds * 1e6), 2, 0
        try:
            await self.wait_for_owner()
            while monotonic() < end:
                if monotonic() >= next_offer and await self.offer_build(build):
                    build, next_offer = build + 1, monotonic() + 8_000_000
                await self.inject_random_fault(note)
                await asyncio.sleep(self.random.uniform(0.05, 0.6))
            self.proxy.command(["all", "pass"])
            await self.wait_for_owner(seconds=15)
        finally:
            verdict = await self.stop_and_check()
        return verdict


async def run_rig(
    folder: Path, scale: RigConfig, seed: int, seconds: float, unfenced: bool, note: Callable[[str], None]
) -> tuple[ConsistencyReport, Rig]:
    rig = Rig(folder, scale, seed, unfenced)
    return await rig.run_faults(seconds, note), rig

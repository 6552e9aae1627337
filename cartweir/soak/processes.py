"""The processes of a run: how agents and servers are started, signalled and ended, by their own ids."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from ..hosting.clock import monotonic
from ..hosting.process_resources import open_descriptors, peak_resident_bytes
from .appliance import SERVING, ApplianceMake
from .hostile_plan import HostilePlan, HostileResult
from .plan import ProcessPlan
from .rules import AgentLife

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT = 20.0  # seconds
ERROR_SIGNS = ("internal_error", "invariant_violated", "Traceback", "Error:")


async def _spawn(*command: str, **options: Any) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-s", "-B", "-m", *command, cwd=ROOT, **options
    )


async def run_hostile_clients(plan: HostilePlan) -> HostileResult:
    """Runs hostile clients in a process of their own, until the time of their plan is over."""
    process = await _spawn("cartweir.soak.hostile_clients", plan.to_json(), stdout=asyncio.subprocess.PIPE)
    output, _ = await process.communicate()
    return HostileResult(**json.loads(output))


@dataclass(eq=False)
class ServerProcess:
    """One server, restarted as often as a run wants.

    Attributes:
        make: How it serves.
        record: The file that it writes.
        process: The running process; None between two.
        started_at: When it began to listen, in microseconds of the monotonic clock.
    """

    make: ApplianceMake
    record: Path
    process: asyncio.subprocess.Process | None = None
    started_at: int = 0

    async def start(self, warm: bool = False) -> None:
        """Starts it, and returns once it listens; warm: it has been there for long."""
        make = replace(self.make, warm_time=0) if warm else self.make
        self.process = await _spawn(
            "cartweir.soak.appliance",
            make.to_json(),
            str(self.record),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(START_TIMEOUT):
            await self.process.stdout.readline()
        self.started_at = monotonic()

    def set_mode(self, mode: str) -> None:
        """Tells it a mode, if it runs."""
        if self.process is not None:
            with contextlib.suppress(OSError):
                self.process.stdin.write(f"{mode}\n".encode())

    async def kill(self) -> None:
        """Ends it at once."""
        process, self.process = self.process, None
        if process is not None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def restart(self) -> None:
        """Ends it at once, and starts it anew."""
        await self.kill()
        await self.start()
        self.set_mode(SERVING)


@dataclass(eq=False)
class AgentProcess:
    """One agent, restarted as often as a run wants.

    Attributes:
        number: Its number.
        folder: Where its configuration, plan, records and log are.
        plan: Its faults.
        configuration: What its configuration file says, besides what changes from one process to the next.
        lives: Its processes so far.
        process: The running one.
    """

    number: int
    folder: Path
    plan: ProcessPlan
    configuration: dict[str, Any]
    lives: list[AgentLife] = field(default_factory=list)
    process: asyncio.subprocess.Process | None = None

    @property
    def record(self) -> Path:
        """The file of its shim."""
        return self.folder / "shim.txt"

    def log_file(self, life: int) -> Path:
        """Returns the file with what one of its processes wrote on standard error."""
        return self.folder / f"log-{life}.txt"

    def write_configuration(self, **changes: Any) -> None:
        """Replaces the configuration file."""
        self.configuration.update(changes)
        part = self.folder / "config.part"
        part.write_text(json.dumps(self.configuration))
        part.replace(self.folder / "config.json")

    async def start(self, known: dict[str, Any]) -> None:
        """Starts a process with a list that it knows."""
        life = AgentLife(self.number, len(self.lives), monotonic(), known["index"])
        self.lives.append(life)
        self.write_configuration(known=known)
        plan = self.folder / "plan.json"
        plan_of_life = replace(self.plan, seed=self.plan.seed + life.life)
        plan_of_life.write(plan)
        with open(self.log_file(life.life), "wb") as log:
            self.process = await _spawn(
                "cartweir.soak.shim",
                str(plan),
                str(self.record),
                "cartweir.node",
                env={**os.environ, "EDGE_CONFIG": str(self.folder / "config.json")},
                stderr=log,
            )

    def measure(self) -> None:
        """Notes what the process takes of memory and descriptors, if it runs."""
        if self.process is None or self.process.returncode is not None:
            return
        life = self.lives[-1]
        life.peak_memory = max(life.peak_memory, peak_resident_bytes(self.process.pid))
        life.peak_descriptors = max(life.peak_descriptors, open_descriptors(self.process.pid))

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process still runs."""
        life = self.lives[-1]
        if self.process.returncode is not None:
            return
        self.measure()
        if number == signal.SIGTERM and not life.terminated_at:
            life.terminated_at = monotonic()
        elif number == signal.SIGKILL:
            life.killed_at = monotonic()
        elif number == signal.SIGHUP:
            life.hung_up_at.append(monotonic())
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        """Waits for the end of the process, and notes how it ended."""
        life = self.lives[-1]
        code = await self.process.wait()
        if not life.killed_at or code != -signal.SIGKILL:
            life.exit_code = code
        log = self.log_file(life.life).read_text(errors="replace")
        life.errors += [line for line in log.splitlines() if any(sign in line for sign in ERROR_SIGNS)]

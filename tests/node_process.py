"""A node as a process of its own with limits, its stand-ins in this process, hostile clients beside it."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import os
import resource
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path

from node_harness import (
    RELEASED,
    SETTINGS,
    Appliance,
    Discovery,
    NodeClient,
    ReleaseService,
    entry,
    request_bytes,
)

from cartweir.faults.ports import free_addresses
from cartweir.hosting.process_resources import open_descriptors, peak_resident_bytes
from cartweir.soak.hostile_plan import Attack, HostilePlan, HostileResult
from cartweir.soak.processes import run_hostile_clients

ROOT = Path(__file__).parents[1]
MEGABYTE = 1_000_000
READY_SECONDS = 20
ANSWER_GRACE = 0.55  # seconds after its time limit within which an answer is not lost yet
TIME_LIMIT = 1.0  # seconds, of the other clients


@dataclass
class Served:
    """What other clients got: statuses, None for none in time, and the seconds until then."""

    statuses: list[int | None] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)

    @property
    def share(self) -> float:
        return self.statuses.count(200) / len(self.statuses)

    @property
    def unanswered(self) -> int:
        return self.statuses.count(None)


@dataclass
class NodeProcess:
    """A running node.

    Attributes:
        address: The address that clients connect to.
        process: The process.
        appliances: The appliances in its list.
        log: The file with its standard error.
        peak_descriptors: Descriptors that were seen at most.
    """

    address: str
    process: asyncio.subprocess.Process
    appliances: list[Appliance]
    log: Path
    peak_descriptors: int = 0

    @property
    def peak_memory(self) -> int:
        return peak_resident_bytes(self.process.pid)

    @property
    def stalled_seconds(self) -> float:
        """How long its loop stood still, by its own log."""
        lines = [line for line in self.log.read_text().splitlines() if " stalled " in line]
        return sum(int(line.rpartition("milliseconds=")[2]) for line in lines) / 1000

    async def client(self) -> NodeClient:
        host, port = self.address.split(":")
        return NodeClient(*await asyncio.open_connection(host, int(port)))

    async def serve(self, seconds: float, rate: float = 50.0) -> Served:
        """Has other clients ask at a rate, one request a connection; returns what they got."""
        served, began, tasks = Served(), time.monotonic(), []
        while time.monotonic() - began < seconds:
            tasks.append(asyncio.ensure_future(self._ask(f"usual-{len(tasks)}-{began:.6f}", served)))
            self.peak_descriptors = max(self.peak_descriptors, open_descriptors(self.process.pid))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)
        return served

    async def _ask(self, request_id: str, served: Served) -> None:
        began, status = time.monotonic(), None
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(TIME_LIMIT + ANSWER_GRACE):
                client = await self.client()
                data = request_bytes(request_id, X_Timeout=f"{TIME_LIMIT * 1000:.0f}m")
                status, _, _ = await client.exchange(data)
                client.writer.close()
        served.statuses.append(status)
        served.waits.append(time.monotonic() - began)

    async def attack(self, attack: Attack, connections: int, seconds: float, **more: float) -> HostileResult:
        """Runs hostile clients in a process of their own."""
        plan = HostilePlan(attack, self.address, "/order/x", connections, seconds, **more)
        return await run_hostile_clients(plan)


@functools.cache
def compile_program() -> None:
    """Compiles the program as the deploy file's build does: a process that compiles takes more memory."""
    subprocess.run([sys.executable, "-m", "compileall", "-q", "cartweir"], cwd=ROOT, check=True)


def limited(descriptors: int) -> Callable[[], None]:
    """Returns what sets the limit on descriptors in a new process."""
    return lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))


@contextlib.asynccontextmanager
async def node_process(
    folder: Path, *appliances: Appliance, memory_mb: int = 32, sockets: int = 1024
) -> AsyncIterator[NodeProcess]:
    """Runs a node under its limits, ready to serve."""
    compile_program()
    for appliance in appliances:
        await appliance.start()
    endpoints = [entry(f"s{number}", appliance) for number, appliance in enumerate(appliances)]
    discovery, release_service = await Discovery(endpoints).start(), await ReleaseService().start()
    address, file, log = free_addresses(1)[0], folder / "config.json", folder / "node.log"
    configuration = {
        "name": "n0",
        "listen": address,
        "discovery": discovery.address,
        "seed": "ff",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "pipeline": {"address": release_service.address, "news": RELEASED},
        "settings": SETTINGS,
        "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
    }
    file.write_text(json.dumps(configuration))
    with log.open("wb") as stderr:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-s",
            "-m",
            "cartweir.node",
            cwd=ROOT,
            env={**os.environ, "EDGE_CONFIG": str(file)},
            stderr=stderr,
            preexec_fn=limited(sockets),
        )
    node = NodeProcess(address, process, list(appliances), log)
    try:
        await _until_ready(node)
        yield node
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        for server in (discovery, release_service, *appliances):
            server.stop()


async def _until_ready(node: NodeProcess) -> None:
    async with asyncio.timeout(READY_SECONDS):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = await node.client()
                status, _, _ = await client.exchange(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                client.writer.close()
                if status == 200:
                    return
            await asyncio.sleep(0.02)

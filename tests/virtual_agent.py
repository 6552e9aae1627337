"""One process of an agent on virtual time.

It consists of the node's engine host and discovery client, connected as by the node's daemon, and a slow
sequence of invocations, each of which succeeds wherever it is sent.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Any

from announcement_clock import AgentProcess, Send
from virtual_discovery import VirtualDiscovery
from virtual_time import TimerAdapter

from cartweir.hosting.alarms import AlarmScheduler
from cartweir.hosting.backoff import Backoff
from cartweir.hosting.engine_host import EngineHost
from cartweir.interface import RELEASED, SUCCEEDED, Appliance, Dispatch, Stage
from cartweir.node.appliance_pools import ApplianceOptions, AppliancePools
from cartweir.node.daemon import RECONNECT_DELAYS
from cartweir.node.discovery import DiscoveryClient

SERVICE_TIME = 0.005
INVOCATION_INTERVAL = 0.05  # seconds between invocations
OPERATION = "view"
TIME_LIMIT = 1_000_000  # microseconds


class ResponseCounts:
    """The clients; counts their responses."""

    def __init__(self) -> None:
        self.succeeded = self.failed = 0

    def succeed(self, head: Any, body: Any, tail: Any) -> None:
        self.succeeded += 1

    def throttle(self, retry_after: int) -> None:
        self.failed += 1

    def terminate(self) -> None:
        self.failed += 1


class PendingAnswer:
    """An attempt that succeeds unless it is abandoned."""

    def __init__(self, timer: asyncio.TimerHandle) -> None:
        self._timer = timer

    def abandon(self, late: bool) -> None:
        self._timer.cancel()


class VirtualAgent:
    """The environment of an engine host."""

    def __init__(
        self, platform: VirtualDiscovery, settings: Mapping[str, Any], seed: int, listed: Mapping[str, Any]
    ) -> None:
        self.platform, self.loop, self.trace = platform, platform.loop, platform.trace
        self.process = AgentProcess(len(self.trace.processes), self.loop.time())
        self.trace.processes.append(self.process)
        platform.process = self.process
        platform.log_line(f"agent starts with list {listed['index']}")
        self.alive, self.answers = True, ResponseCounts()
        self._subscribe_later = False
        self.discovery: DiscoveryClient | None = None
        self.alarms = AlarmScheduler(TimerAdapter(self.loop), self.now, self._alarm)
        self.appliance_pools = AppliancePools(
            ApplianceOptions(250_000, 250_000, 0, 100), self.now, self.log_event
        )
        self.engine_host = self.appliance_pools.engine_host = EngineHost(self, settings, seed)
        backoff = None if settings["must_ask"] else Backoff(*RECONNECT_DELAYS, random.Random(seed + 2))
        self.discovery = DiscoveryClient(
            self.engine_host, self.appliance_pools, platform.address, self.now, self.log_event, backoff
        )
        self.discovery.start(listed)
        if self._subscribe_later or not settings["must_ask"]:
            self.discovery.subscribe()
        self.engine_host.apply_stage(Stage(1, 2, RELEASED, 1.0, 60_000_000))
        self._accept_next()

    def _alarm(self) -> None:
        if self.alive:
            self.engine_host.run_timers()

    def _accept_next(self) -> None:
        if self.alive:
            self.engine_host.accept(
                self.answers, self.engine_host.operations[OPERATION], self.now(), TIME_LIMIT
            )
            self.loop.call_later(INVOCATION_INTERVAL, self._accept_next)

    def sighup(self, address: str) -> None:
        """Receives SIGHUP with another address in the configuration."""
        self.platform.move(address)
        self.discovery.move(address)

    def kill(self) -> None:
        self.platform.log_line("agent ends")
        self.alive, self.process.end = False, self.loop.time()
        for task in asyncio.all_tasks():
            if task is not asyncio.current_task():
                task.cancel()

    # ---- the environment of the engine host ----
    def now(self) -> int:
        return self.loop.microseconds()

    def schedule_alarm(self, due: int) -> None:
        self.alarms.schedule(due)

    def run_soon(self, do: Callable[[], None]) -> None:
        self.loop.call_soon(do)

    def start(self, dispatch: Dispatch, call: Any) -> PendingAnswer:
        if self.alive:
            self.trace.sends.append(Send(self.process, self.loop.time(), dispatch.appliance.id))
        return PendingAnswer(self.loop.call_later(SERVICE_TIME, self._served, dispatch))

    def _served(self, dispatch: Dispatch) -> None:
        if self.alive:
            self.engine_host.dispatch_ended(dispatch, SUCCEEDED, None, ((), [], ()))

    def subscribe(self) -> None:
        if self.discovery is None:
            self._subscribe_later = True
        elif self.alive:
            self.discovery.subscribe()

    def fetch_list(self) -> None:
        if self.alive:
            self.discovery.fetch()

    def probe(self, appliance: Appliance) -> None:
        raise AssertionError("no probes are allowed by these settings")

    def vote(self, build: int, stage: int, verdict: str) -> None:
        pass

    def message(self, to: int | None, figures: list[int]) -> None:
        pass

    def log_event(self, event: str, level: str = "info", **facts: Any) -> None:
        if event not in ("dispatch", "answer", "list", "left"):
            self.platform.log_line(
                f"agent: {event} " + " ".join(f"{name}={value}" for name, value in facts.items())
            )

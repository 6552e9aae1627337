"""One process of an agent on virtual time: the node's EngineHost and Discovery, wired as its daemon does, with a
trickle of invocations each of which succeeds wherever it is sent.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Any

from told_clock import Life, Send
from virtual_discovery import VirtualDiscovery
from virtual_time import TimerAdapter

from cartweir.hosting.alarms import AlarmScheduler
from cartweir.hosting.backoff import Backoff
from cartweir.hosting.engine_host import EngineHost
from cartweir.interface import RELEASED, SUCCEEDED, Appliance, Dispatch, Stage
from cartweir.node.daemon import RECONNECT
from cartweir.node.discovery import Discovery
from cartweir.node.links import Links, Reach

SERVICE_TIME = 0.005
TRICKLE = 0.05  # seconds between invocations
OPERATION = "view"
TIME_LIMIT = 1_000_000  # microseconds


class Answers:
    """The clients: they count how they are answered."""

    def __init__(self) -> None:
        self.succeeded = self.failed = 0

    def succeed(self, head: Any, body: Any, tail: Any) -> None:
        self.succeeded += 1

    def throttle(self, retry_after: int) -> None:
        self.failed += 1

    def terminate(self) -> None:
        self.failed += 1


class PendingAnswer:
    """An attempt that will succeed unless it is abandoned."""

    def __init__(self, timer: asyncio.TimerHandle) -> None:
        self._timer = timer

    def abandon(self, late: bool) -> None:
        self._timer.cancel()


class VirtualAgent:
    """The World of a EngineHost."""

    def __init__(
        self, platform: VirtualDiscovery, settings: Mapping[str, Any], seed: int, listed: Mapping[str, Any]
    ) -> None:
        self.platform, self.loop, self.trace = platform, platform.loop, platform.trace
        self.life = Life(len(self.trace.lives), self.loop.time())
        self.trace.lives.append(self.life)
        platform.life = self.life
        platform.note(f"agent starts with list {listed['index']}")
        self.alive, self.answers = True, Answers()
        self._subscribe_later = False
        self.discovery: Discovery | None = None
        self.alarms = AlarmScheduler(TimerAdapter(self.loop), self.now, self._alarm)
        self.links = Links(Reach(250_000, 250_000, 0, 100), self.now, self.log_event)
        self.engine_host = self.links.engine_host = EngineHost(self, settings, seed)
        backoff = None if settings["must_ask"] else Backoff(*RECONNECT, random.Random(seed + 2))
        self.discovery = Discovery(
            self.engine_host, self.links, platform.address, self.now, self.log_event, backoff
        )
        self.discovery.start(listed)
        if self._subscribe_later or not settings["must_ask"]:
            self.discovery.subscribe()
        self.engine_host.apply_stage(Stage(1, 2, RELEASED, 1.0, 60_000_000))
        self._take()

    def _alarm(self) -> None:
        if self.alive:
            self.engine_host.run_timers()

    def _take(self) -> None:
        if self.alive:
            self.engine_host.accept(
                self.answers, self.engine_host.operations[OPERATION], self.now(), TIME_LIMIT
            )
            self.loop.call_later(TRICKLE, self._take)

    def hang_up(self, address: str) -> None:
        """SIGHUP."""
        self.platform.move(address)
        self.discovery.move(address)

    def kill(self) -> None:
        self.platform.note("agent ends")
        self.alive, self.life.end = False, self.loop.time()
        for task in asyncio.all_tasks():
            if task is not asyncio.current_task():
                task.cancel()

    # ---- the World ----
    def now(self) -> int:
        return self.loop.microseconds()

    def schedule_alarm(self, due: int) -> None:
        self.alarms.schedule(due)

    def run_soon(self, do: Callable[[], None]) -> None:
        self.loop.call_soon(do)

    def start(self, dispatch: Dispatch, call: Any) -> PendingAnswer:
        if self.alive:
            self.trace.sends.append(Send(self.life, self.loop.time(), dispatch.appliance.id))
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
            self.platform.note(
                f"agent: {event} " + " ".join(f"{name}={value}" for name, value in facts.items())
            )

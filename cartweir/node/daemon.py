"""The daemon: one agent on one loop, from what the platform told it to its end."""

from __future__ import annotations

import asyncio
import gc
import random
import signal
import sys
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop

from ..hosting import clock, internal_errors
from ..hosting.alarms import AlarmScheduler
from ..hosting.backoff import Backoff
from ..hosting.clock import Clock, arrival_selector
from ..hosting.engine_host import EngineHost
from ..interface import Appliance, Dispatch
from .config import Config, ConfigError, read
from .desk import Desk
from .discovery import Discovery
from .front import Call, Front
from .links import Attempt, Links, Reach
from .peers import Peers

MS, S = 1_000, 1_000_000
HEARTBEAT = 20 * MS
PROBE_TIMEOUT = 250 * MS
RECONNECT = 50 * MS, S
RESERVE = 24  # descriptors for what is neither a client nor an appliance
END_CHECK = 20 * MS
READY_WITHIN = (
    5 * S
)  # of the start: so long a new process waits for a word of discovery before it takes clients


class Daemon:
    """Being the seat's World, it hands each wish to the part that carries it out."""

    def __init__(self, config: Config, reread: Callable[[], Config] = read) -> None:
        self.config, self.reread = config, reread
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(HEARTBEAT, arrival_selector(self.loop))
        settings = config.decision_settings
        room = max(16, config.sockets - RESERVE)
        idle = settings["idle_time"]
        self.links = Links(
            Reach(settings["connect_timeout"], PROBE_TIMEOUT, idle * 6 // 10, room // 2),
            self.clock.now,
            self.log_event,
        )
        self.alarms = AlarmScheduler(IOLoop.current(), self.clock.now, lambda: self.engine_host.run_timers())
        self._to_say: list[Callable[[], None]] = []  # wishes of the decisions before there is whom to tell
        self.discovery: Discovery | None = None
        self.engine_host = self.links.engine_host = EngineHost(self, settings, config.seed)
        # where lists are pushed nobody asks for the watch; it is opened anew here, however long discovery is away
        backoff = None if settings["must_ask"] else Backoff(*RECONNECT, random.Random(config.seed + 2))
        self.discovery = Discovery(
            self.engine_host, self.links, config.discovery, self.clock.now, self.log_event, backoff
        )
        self.desk = Desk(
            self.engine_host,
            config.desk,
            settings["vote_timeout"],
            Backoff(*RECONNECT, random.Random(config.seed + 1)),
            self.log_event,
        )
        self.peers = (
            Peers(self.engine_host, config.peer_listen, config.peers, config.peers_all, self.log_event)
            if (settings["may_message"] and config.peer_listen)
            else None
        )
        self.front = Front(self.engine_host, self.clock, room // 2, self.log_event, self._ready)
        self.started_at = self.clock.now()
        self.ended = asyncio.Event()

    # ---- the World ----
    def now(self) -> int:
        return self.clock.now()

    def schedule_alarm(self, due: int) -> None:
        self.alarms.schedule(due)

    def run_soon(self, do: Callable[[], None]) -> None:
        self.loop.call_soon(do)

    def start(self, dispatch: Dispatch, call: Call) -> Attempt:
        return self.links.start(dispatch, call)

    def probe(self, appliance: Appliance) -> None:
        self.links.probe(appliance)

    def vote(self, build: int, stage: int, verdict: str) -> None:
        self.desk.vote(build, stage, verdict)

    def subscribe(self) -> None:
        if self.discovery is None:  # asked for in the module's own first moment
            self._to_say.append(self.subscribe)
        else:
            self.discovery.subscribe()

    def fetch_list(self) -> None:
        self.discovery.fetch()

    def message(self, to: int | None, figures: list[int]) -> None:
        if self.peers is not None:
            self.peers.message(to, figures)

    def log_event(self, event: str, level: str = "info", **facts: Any) -> None:
        if level != "debug" and event not in ("dispatch", "answer", "left"):
            print(
                f"{self.clock.now() / 1e6:.3f} {event}",
                *(f"{name}={value}" for name, value in facts.items()),
                file=sys.stderr,
                flush=True,
            )

    # ---- its life ----
    def start_up(self) -> str:
        """Returns the address that clients may use. Raises OSError where it cannot listen."""
        self.discovery.start(self.config.listed)
        for say in self._to_say:
            say()
        if not self.engine_host.settings["must_ask"]:
            self.discovery.subscribe()
        self.desk.start(self.config.stage)
        address = self.front.listen(self.config.listen)
        self._beat()
        self.log_event(
            "started",
            listen=address,
            me=self.engine_host.settings["me"],
            agents=self.engine_host.settings["agents"],
            appliances=len(self.engine_host.appliance_list.appliances),
        )
        return address

    def _ready(self) -> bool:
        """Whether clients may come: not before the list that was kept has been checked against discovery, if that answers in time."""
        return self.discovery.synchronized or self.clock.now() >= self.started_at + READY_WITHIN

    def _beat(self) -> None:
        stalled = self.clock.measure_stall()
        if stalled > 100 * MS:
            self.log_event("stalled", level="warning", milliseconds=stalled // 1000)
        self.loop.call_later(HEARTBEAT / 1e6, self._beat)

    def reload(self) -> None:
        """SIGHUP: discovery and desk may be elsewhere. A configuration that can't be read changes nothing."""
        try:
            config = self.reread()
        except ConfigError as error:
            self.log_event("config_bad", level="warning", why=str(error))
            return
        self.log_event("reloaded", discovery=config.discovery, desk=config.desk)
        self.discovery.move(config.discovery)
        self.desk.move(config.desk)

    def terminate(self) -> None:
        """SIGTERM: what has been taken, and what still comes, is answered; then the end."""
        if not self.front.draining:
            self.log_event("draining", held=len(self.engine_host.calls))
            self.front.drain()
            self._check_end()

    def _check_end(self) -> None:
        if self.front.busy or self.engine_host.calls:
            self.loop.call_later(END_CHECK / 1e6, self._check_end)
            if self.engine_host.calls and self.clock.now() >= self.front.ends_by:
                # time limits of other customers are longer than what is left: an answer that tells where to go beats none
                self.log_event("giving_up", level="warning", held=len(self.engine_host.calls))
                self.engine_host.give_up_all()
        else:
            self.log_event("stopped", refused=self.front.refused, evicted=self.front.evicted)
            self.ended.set()


async def run(config: Config) -> None:
    """Until it is told to end. Raises OSError where it cannot listen."""
    daemon = Daemon(config)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: internal_errors.log_internal_error(
            daemon.log_event, context.get("message"), context.get("exception")
        )
    )
    loop.add_signal_handler(signal.SIGTERM, daemon.terminate)
    loop.add_signal_handler(signal.SIGINT, daemon.terminate)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    daemon.start_up()
    gc.freeze()
    gc.set_threshold(10_000, 10, 10)
    await daemon.ended.wait()


def main(config: Config) -> None:
    with asyncio.Runner(loop_factory=clock.new_event_loop) as runner:
        runner.run(run(config))

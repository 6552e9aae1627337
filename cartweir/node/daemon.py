"""The node's daemon: one agent on one event loop, from its configuration to its end."""

from __future__ import annotations

import asyncio
import gc
import random
import signal
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop

from ..hosting import clock, internal_errors
from ..hosting.alarms import AlarmScheduler
from ..hosting.backoff import Backoff
from ..hosting.clock import Clock, arrival_selector
from ..hosting.engine_host import EngineHost
from ..hosting.log_stream import LogStream
from ..hosting.process_resources import ResidentMemory, open_descriptors
from ..interface import Appliance, Dispatch
from ..logic.executed_requests import remembered_ids_limit
from ..logic.id_table import PLACE_BYTES
from ..logic.request_memory import request_memory_limit
from .appliance_pools import ApplianceOptions, AppliancePools, Attempt
from .client_connection import ClientCall
from .config import Config, ConfigError, read
from .discovery import DiscoveryClient
from .front import Front, FrontLimits
from .peers import Peers
from .release_service import ReleaseServiceClient

# Times in microseconds.
MS, S = 1_000, 1_000_000
HEARTBEAT = 20 * MS
STALL_TIME = 100 * MS  # stalls longer than this are logged
PROBE_TIMEOUT = 250 * MS
RECONNECT_DELAYS = 50 * MS, S  # shortest and longest
DRAIN_CHECK_INTERVAL = 20 * MS
COUNTS_INTERVAL = 30 * S
MEMORY_PARTS = 10  # of the limit; each one that is reached for the first time is logged
READY_WITHIN = 5 * S  # of the start: a new process waits this long for discovery before it invites clients

RESERVED_SOCKETS = 24  # descriptors for what is neither a client nor an appliance
MIN_SOCKETS = 16  # for clients and appliances together
GC_THRESHOLDS = 10_000, 10, 10

UNLOGGED_EVENTS = ("dispatch", "answer", "left")  # one or more for each request


class Daemon:
    """One agent.

    It is the environment of its engine host, and passes each action to the part that carries it out.
    """

    def __init__(self, config: Config, reread: Callable[[], Config] = read) -> None:
        self.config, self.reread = config, reread
        self.loop = asyncio.get_running_loop()
        self._log_stream = LogStream()
        self._logged_counts: dict[str, int] = {}
        self.clock = Clock(HEARTBEAT, arrival_selector(self.loop))
        settings = config.decision_settings
        sockets = max(MIN_SOCKETS, config.sockets - RESERVED_SOCKETS)
        idle_time = settings["idle_time"]
        self.appliance_pools = AppliancePools(
            ApplianceOptions(settings["connect_timeout"], PROBE_TIMEOUT, idle_time * 6 // 10, sockets // 2),
            self.clock.now,
            self.log_event,
        )
        self.alarms = AlarmScheduler(
            IOLoop.current(),
            self.clock.now,
            lambda: self.engine_host.run_timers(),  # noqa: PLW0108 - the engine host is made below
        )
        self._deferred_actions: list[Callable[[], None]] = []  # of the decisions, before the parts are made
        self.discovery: DiscoveryClient | None = None
        self.engine_host = self.appliance_pools.engine_host = EngineHost(self, settings, config.seed)
        # Where lists are pushed the decisions do not ask for the watch: the client reopens it with a backoff,
        # however long discovery is unreachable.
        backoff = None if settings["must_ask"] else Backoff(*RECONNECT_DELAYS, random.Random(config.seed + 2))
        self.discovery = DiscoveryClient(
            self.engine_host,
            self.appliance_pools,
            config.discovery,
            self.clock.now,
            self.log_event,
            backoff,
        )
        self.release_service = ReleaseServiceClient(
            self.engine_host,
            config.release_service,
            settings["vote_timeout"],
            Backoff(*RECONNECT_DELAYS, random.Random(config.seed + 1)),
            self.log_event,
        )
        self.peers = (
            Peers(self.engine_host, config.peer_listen, config.peers, config.peers_all, self.log_event)
            if (settings["may_message"] and config.peer_listen)
            else None
        )
        self._resident_memory = ResidentMemory()
        self.front = Front(
            self.engine_host, self.clock, self._front_limits(sockets // 2), self.log_event, self._ready
        )
        self.started_at = self.clock.now()
        self._memory_part = 0  # the highest part of the limit that the memory has reached
        self.ended = asyncio.Event()

    def _front_limits(self, clients: int) -> FrontLimits:
        """Divides the memory that is free at the start."""
        memory_limit, resident = self.config.memory_limit, self._resident_memory.measure()
        remembered_ids = remembered_ids_limit(memory_limit, resident)
        request_bytes = request_memory_limit(memory_limit, resident + remembered_ids * PLACE_BYTES)
        return FrontLimits(clients, request_bytes, remembered_ids)

    # ---- the environment of the engine host ----
    def now(self) -> int:
        """Returns the time in microseconds."""
        return self.clock.now()

    def schedule_alarm(self, due: int) -> None:
        """Runs the decisions' timers at that time."""
        self.alarms.schedule(due)

    def run_soon(self, do: Callable[[], None]) -> None:
        """Calls a function in the next turn of the loop."""
        self.loop.call_soon(do)

    def start(self, dispatch: Dispatch, call: ClientCall) -> Attempt:
        """Sends a dispatch."""
        return self.appliance_pools.start(dispatch, call)

    def probe(self, appliance: Appliance) -> None:
        """Sends a health check."""
        self.appliance_pools.probe(appliance)

    def vote(self, build: int, stage: int, verdict: str) -> None:
        """Sends a vote."""
        self.release_service.vote(build, stage, verdict)

    def subscribe(self) -> None:
        """Opens a watch on the list of appliances."""
        if self.discovery is None:  # the decisions ask as they are made
            self._deferred_actions.append(self.subscribe)
        else:
            self.discovery.subscribe()

    def fetch_list(self) -> None:
        """Requests the whole list of appliances once."""
        self.discovery.fetch()

    def message(self, to: int | None, figures: list[int]) -> None:
        """Sends figures to an agent, or to all (None)."""
        if self.peers is not None:
            self.peers.message(to, figures)

    def log_event(self, event: str, level: str = "info", **facts: Any) -> None:
        """Writes an event to standard error, unless it is one of each request or of level debug."""
        if level != "debug" and event not in UNLOGGED_EVENTS:
            fields = "".join(f" {name}={value}" for name, value in facts.items())
            self._log_stream.write(f"{self.clock.now() / 1e6:.3f} {event}{fields}\n")

    # ---- from start to end ----
    def start_up(self) -> str:
        """Starts all parts and returns the address that clients may use.

        Raises:
            OSError: The address cannot be bound.
        """
        self.discovery.start(self.config.known_list)
        for action in self._deferred_actions:
            action()
        if not self.engine_host.settings["must_ask"]:
            self.discovery.subscribe()
        self.release_service.start(self.config.stage)
        address = self.front.listen(self.config.listen)
        self._beat()
        self.loop.call_later(COUNTS_INTERVAL / 1e6, self._log_counts_again)
        self.log_event(
            "started",
            listen=address,
            me=self.engine_host.settings["me"],
            agents=self.engine_host.settings["agents"],
            appliances=len(self.engine_host.appliance_list.appliances),
        )
        return address

    def _log_counts(self) -> None:
        """Logs what became of requests and connections since the start, if anything has."""
        counts = {
            **self.engine_host.counts,
            **{f"refused_{status}": count for status, count in self.front.refused.items()},
            **{f"closed_{reason}": count for reason, count in self.front.closed.items()},
            **{f"violated_{name}": count for name, count in self.engine_host.guard.violations.items()},
        }
        if counts != self._logged_counts:
            self._logged_counts = counts
            self.log_event("counts", **dict(sorted(counts.items())))
            self._log_resources("resources")

    def _log_resources(self, event: str) -> None:
        """Logs what this process takes, and what for."""
        self.log_event(
            event,
            resident_kb=self._resident_memory.measure() // 1024,
            limit_kb=self.config.memory_limit // 1024,
            requests_kb=self.front.memory.held // 1024,
            requests_limit_kb=self.front.memory.limit // 1024,
            remembered_ids_kb=self.front.executed.memory // 1024,
            descriptors=open_descriptors(),
            clients=len(self.front.clients),
            open_requests=len(self.engine_host.calls),
            appliance_connections=self.appliance_pools.connection_count,
        )

    def _check_memory(self) -> None:
        """Logs each part of the memory limit that is reached for the first time."""
        part = self._resident_memory.measure() * MEMORY_PARTS // self.config.memory_limit
        if part > self._memory_part:
            self._memory_part = part
            self._log_resources("memory_reached")

    def _log_counts_again(self) -> None:
        self._log_counts()
        self.loop.call_later(COUNTS_INTERVAL / 1e6, self._log_counts_again)

    def _ready(self) -> bool:
        """Whether to invite clients: once discovery has confirmed the kept list, or READY_WITHIN is over."""
        return self.discovery.synchronized or self.clock.now() >= self.started_at + READY_WITHIN

    def _beat(self) -> None:
        stalled = self.clock.measure_stall()
        if stalled > STALL_TIME:
            self.log_event("stalled", level="warning", milliseconds=stalled // 1000)
        self._check_memory()
        self.loop.call_later(HEARTBEAT / 1e6, self._beat)

    def reload(self) -> None:
        """Reads the configuration again (SIGHUP) and follows new addresses of the platform's services.

        A configuration that cannot be read changes nothing.
        """
        try:
            config = self.reread()
        except ConfigError as error:
            self.log_event("config_bad", level="warning", why=str(error))
            return
        self.log_event("reloaded", discovery=config.discovery, desk=config.release_service)
        self.discovery.move(config.discovery)
        self.release_service.move(config.release_service)

    def terminate(self) -> None:
        """Begins a graceful end (SIGTERM): open requests, and those that still arrive, are answered first."""
        if not self.front.draining:
            self.log_event("draining", held=len(self.engine_host.calls))
            self.front.drain()
            self._check_drained()

    def _check_drained(self) -> None:
        if self.front.busy or self.engine_host.calls:
            self.loop.call_later(DRAIN_CHECK_INTERVAL / 1e6, self._check_drained)
            if self.engine_host.calls and self.clock.now() >= self.front.drain_deadline:
                # Some time limits exceed the time for draining; a final answer is better than none.
                self.log_event("giving_up", level="warning", held=len(self.engine_host.calls))
                self.engine_host.give_up_all()
        else:
            self._log_counts()
            self.log_event(
                "stopped",
                refused=self.front.refused.total(),
                evicted=self.front.evicted,
                violations=self.engine_host.guard.violations.total(),
            )
            self.ended.set()


async def run(config: Config) -> None:
    """Runs an agent until a signal ends it.

    Raises:
        OSError: The address for clients or that for datagrams cannot be bound.
    """
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
    gc.set_threshold(*GC_THRESHOLDS)
    await daemon.ended.wait()


def main(config: Config) -> None:
    """Runs an agent on a new event loop."""
    with asyncio.Runner(loop_factory=clock.new_event_loop) as runner:
        runner.run(run(config))

"""The daemon: one agent on one event loop, from its checked settings to its end."""

from __future__ import annotations

import asyncio
import gc
import logging
import random
import secrets
import signal
import sys
import traceback
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

import structlog
from tornado.ioloop import IOLoop

from ..fleet.list_filter import ListFilter
from ..hosting.alarms import AlarmScheduler
from ..hosting.backoff import Backoff
from ..hosting.clock import Clock, arrival_selector
from ..hosting.engine_host import EngineHost
from ..hosting.event_log import EventLogger
from ..hosting.graceful_shutdown import GracefulShutdown
from ..hosting.log_stream import LogStream
from ..interface import Appliance, Dispatch, Operation
from ..proto import agent_pb2 as pb
from ..settings.schema import AgentDocument
from ..wire.calls import Channel
from ..wire.connection import Tap
from ..wire.session import SessionLimits
from .appliance_pools import ApplianceOptions, AppliancePools, Attempt
from .control_plane import PEER_MESSAGE_PATH, ConveyorClient, PeerMessenger, PersistentFence, RegistryClient
from .front import ClientCall, Front, FrontLimits
from .key_journal_file import KeyJournalFile

LOG_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
EVENTS_OF_INVOCATIONS = (
    "dispatch",
    "answer",
    "left",
)  # logged as debug, since there are several for each call
EVENT_COLUMN_WIDTH = 16


def build_operations(document: AgentDocument) -> tuple[Operation, ...]:
    """Returns the operations of the settings."""
    return tuple(
        Operation(
            name,
            section.effect,
            section.group,
            section.window,
            section.slo_time,
            section.time_limit,
            section.billed_value,
            section.late_value,
            section.stream,
        )
        for name, section in document.operations.items()
    )


def session_limits(document: AgentDocument) -> SessionLimits:
    """Returns the limits of HTTP/2 sessions."""
    return SessionLimits(document.wire.streams, document.wire.window, document.wire.header_list)


def journal_owner(document: AgentDocument) -> str:
    """Returns the owner that a key journal names: this agent at this deployment."""
    return f"agent {document.agent.me} of {document.agent.agents}, {', '.join(sorted(document.operations))}"


def appliance_options(document: AgentDocument, parts: int = 1) -> ApplianceOptions:
    """Returns how to connect to appliances.

    Args:
        document: The settings.
        parts: The number of processes among which the connections to one appliance are divided.
    """
    agent, wire, appliances = document.agent, document.wire, document.appliances
    return ApplianceOptions(
        agent.me,
        appliances.connect_timeout,
        appliances.probe_timeout,
        appliances.idle_time,
        appliances.streams,
        max(1, appliances.connections // parts),
        wire.answer,
        wire.hold,
        2 * agent.tick,
        session_limits(document),
    )


def operations_by_path(
    document: AgentDocument, operations: Mapping[str, Operation]
) -> dict[bytes, Operation]:
    """Returns the operations by the paths of their gRPC methods."""
    return {
        path.encode(): operations[name]
        for name, section in document.operations.items()
        for path in section.methods
    }


def front_limits(document: AgentDocument) -> FrontLimits:
    """Returns the limits of the server that clients call."""
    wire = document.wire
    return FrontLimits(
        wire.connections,
        wire.message,
        wire.request_memory,
        wire.request_timeout,
        session_limits(document),
    )


class ControlPlaneClients(NamedTuple):
    """The clients of one agent's control plane.

    Attributes:
        registry: Receives the list of appliances.
        conveyor: Receives stages and reports, and casts votes.
        peers: Exchanges messages with the other agents.
    """

    registry: RegistryClient
    conveyor: ConveyorClient
    peers: PeerMessenger


@dataclass(frozen=True, slots=True)
class ControlPlaneUser:
    """The agent, or the part of it, that the clients of its control plane serve.

    Attributes:
        engine_host: Gets what arrives.
        appliance_pools: Gets the appliances' addresses.
        now: The agent's clock, in microseconds.
        log_event: Logs an event.
        rng: The source of randomness.
        tap: Records what passes on the connections.
        stage_fence: Refuses outdated decisions.
    """

    engine_host: EngineHost
    appliance_pools: Any
    now: Callable[[], int]
    log_event: EventLogger
    rng: random.Random
    tap: Tap | None
    stage_fence: PersistentFence


def make_control_plane_clients(document: AgentDocument, user: ControlPlaneUser) -> ControlPlaneClients:
    """Returns the clients of the registry, the conveyor and the other agents.

    Args:
        document: The settings.
        user: Whom they serve.
    """
    agent, wire, conveyor = document.agent, document.wire, document.conveyor
    hello = pb.Hello(agent=agent.me, zone=agent.zone)
    limits = session_limits(document)

    def channel(address: str) -> Channel:
        return Channel(address, document.appliances.connect_timeout, limits, user.tap)

    def backoff() -> Backoff:
        return Backoff(wire.reconnect_least, wire.reconnect_most, user.rng)

    registry = RegistryClient(
        user.engine_host,
        user.appliance_pools,
        channel(document.registry.address),
        hello,
        document.registry.mode == "push",
        document.registry.call_timeout,
        backoff(),
        user.now,
        user.log_event,
        agent.list_file,
        ListFilter(document.registry.drop_share, document.registry.hold_time),
    )
    return ControlPlaneClients(
        registry,
        ConveyorClient(
            user.engine_host,
            [channel(address) for address in conveyor.address],
            hello,
            conveyor.vote_timeout,
            conveyor.silence,
            backoff(),
            user.log_event,
            user.now,
            user.stage_fence,
            user.rng,
        ),
        PeerMessenger(
            user.engine_host,
            agent.me,
            {number: channel(address) for number, address in document.peers.items() if number != agent.me},
            conveyor.vote_timeout,
            user.log_event,
        ),
    )


class Daemon:
    """One agent; as the environment of its engine host it passes each action to the part that does it.

    Attributes:
        document: The settings.
        log: A structlog logger.
        loop: The event loop.
        clock: The agent's clock.
        rng: The source of randomness.
        appliance_pools: The connections to appliances.
        alarms: Runs the engine's timers.
        registry: The registry's client; None until it exists.
        engine_host: Hosts the decisions.
        key_journal: The keys on disk, if a file is configured.
        conveyor: The conveyor's client.
        peers: Exchanges messages with the other agents.
        front: The server that clients call.
        ended: Set when the agent has ended.
        shutdown: Ends the agent.
    """

    def __init__(self, document: AgentDocument, log: Any, tap: Tap | None = None) -> None:
        self.document, self.log = document, log
        agent = document.agent
        self.loop = IOLoop.current()
        self.clock = Clock(agent.heartbeat, arrival_selector(asyncio.get_running_loop()))
        self.rng = random.Random(seed := secrets.randbits(63) if agent.seed is None else agent.seed)
        self.appliance_pools = AppliancePools(
            appliance_options(document), self.clock.now, self.log_event, tap
        )
        self.alarms = AlarmScheduler(self.loop, self.clock.now, self._run_timers)
        self._deferred: list[Callable[[], None]] = []  # actions from before the registry's client exists
        self.registry: RegistryClient | None = None
        settings = {**document.decision_settings(), "operations": build_operations(document)}
        self.engine_host = self.appliance_pools.engine_host = EngineHost(self, settings, seed)
        stage_fence = PersistentFence(agent.stage_file, self.log_event)
        self.key_journal: KeyJournalFile | None = None
        if agent.facts_file is not None:
            self.key_journal = KeyJournalFile(
                agent.facts_file,
                journal_owner(document),
                stage_fence.fence.seen,
                self.log_event,
                agent.facts_most,
            )
            self.engine_host.restore(self.key_journal.recalled)
            stage_fence.on_follow = self.key_journal.record_decision
        self.registry, self.conveyor, self.peers = make_control_plane_clients(
            document,
            ControlPlaneUser(
                self.engine_host,
                self.appliance_pools,
                self.clock.now,
                self.log_event,
                self.rng,
                tap,
                stage_fence,
            ),
        )
        self.front = Front(
            self.engine_host,
            operations_by_path(document, self.engine_host.operations),
            front_limits(document),
            self.clock,
            self.log_event,
            {PEER_MESSAGE_PATH: self.peers.handle_message} if document.allowed.may_message else {},
            tap,
        )
        self.ended = asyncio.Event()
        self.shutdown = GracefulShutdown(
            self.clock.now,
            agent.tick,
            agent.drain_time,
            self.front,
            lambda: len(self.engine_host.calls),
            self.engine_host.give_up_all,
            self._end,
            self.log_event,
        )

    def _run_timers(self) -> None:
        self.engine_host.run_timers()

    # ---- the environment of the engine host ----
    def now(self) -> int:
        """Returns the time in microseconds."""
        return self.clock.now()

    def schedule_alarm(self, due: int) -> None:
        """Has the engine's timers run at this time."""
        self.alarms.schedule(due)

    def run_soon(self, do: Callable[[], None]) -> None:
        """Calls a function in the next turn of the event loop."""
        self.loop.add_callback(do)

    def start(self, dispatch: Dispatch, call: ClientCall) -> Attempt:
        """Starts an attempt; records first that it may bind its key, if it may."""
        if (
            self.key_journal is not None
            and dispatch.invocation.key
            and self.engine_host.binds_key(dispatch.appliance)
        ):
            self.key_journal.record_binding(dispatch.invocation.key, dispatch.appliance.build)
        return self.appliance_pools.start(dispatch, call)

    def probe(self, appliance: Appliance) -> None:
        """Starts a health check."""
        self.appliance_pools.probe(appliance)

    def vote(self, build: int, stage: int, verdict: str) -> None:
        """Casts a vote."""
        self.conveyor.vote(build, stage, verdict)

    def subscribe(self) -> None:
        """Watches the list of appliances."""
        if self.registry is None:  # the engine asks for it while it is being made
            self._deferred.append(self.subscribe)
        else:
            self.registry.subscribe()

    def fetch_list(self) -> None:
        """Asks for the list of appliances once."""
        self.registry.fetch()

    def message(self, to: int | None, figures: list[int]) -> None:
        """Sends figures to another agent, or to all of them if `to` is None."""
        self.peers.message(to, figures)

    def log_event(self, event: str, level: str = "info", **fields: Any) -> None:
        """Logs an event with its fields."""
        write_event(self.log, event, level, **fields)

    # ---- start and end ----
    def start_up(self) -> str:
        """Starts to serve clients.

        Returns:
            The address that they may use.

        Raises:
            OSError: The address cannot be listened on.
        """
        address = self.front.listen(self.document.agent.listen)
        self.registry.start()
        for act in self._deferred:
            act()
        self.conveyor.start()
        self._heartbeat()
        self.log_event(
            "started", listen=address, me=self.document.agent.me, agents=self.document.agent.agents
        )
        return address

    def _heartbeat(self) -> None:
        stalled = self.clock.measure_stall()
        if stalled:
            self.log_event("stalled", level="warning", milliseconds=stalled // 1000)
        self.loop.call_later(self.clock.heartbeat / 1e6, self._heartbeat)

    def on_signal(self) -> None:
        """Drains at the first signal, and ends the agent at the second one."""
        self.shutdown.on_signal()

    def _end(self) -> None:
        self.front.close()
        self.appliance_pools.close()
        self.log_event("stopped", violations=self.engine_host.guard.violations.total())
        self.ended.set()


def write_event(log: Any, event: str, level: str, **fields: Any) -> None:
    """Writes a line of the log; events of single invocations are written as debug."""
    getattr(log, "debug" if event in EVENTS_OF_INVOCATIONS else level)(event, **fields)


def log_unhandled_exception(log_event: EventLogger, context: dict[str, Any]) -> None:
    """Logs an exception that nothing has handled, with the place that raised it; the agent goes on.

    Args:
        log_event: Logs an event.
        context: What the event loop tells its exception handler.
    """
    error = context.get("exception")
    where = traceback.extract_tb(error.__traceback__)[-1] if error and error.__traceback__ else None
    log_event(
        "internal_error",
        level="error",
        what=context.get("message"),
        error=repr(error),
        where=f"{where.name}:{where.lineno}" if where else None,
    )


def make_logger(form: str, level: str, **bound: Any) -> Any:
    """Returns a structlog logger on standard error.

    Args:
        form: `json`, or `console` for lines that people read.
        level: The lowest level that is written.
        bound: Fields of every line.
    """
    render = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty(), pad_event_to=EVENT_COLUMN_WIDTH)
    )
    return structlog.wrap_logger(
        structlog.WriteLogger(LogStream()),
        wrapper_class=structlog.make_filtering_bound_logger(LOG_LEVELS[level]),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            render,
        ],
        **bound,
    )


async def run(document: AgentDocument, tap: Tap | None = None) -> None:
    """Runs an agent until signals end it.

    Raises:
        OSError: The address cannot be listened on.
    """
    daemon = Daemon(document, make_logger(document.log.format, document.log.level), tap)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: log_unhandled_exception(daemon.log_event, context))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.on_signal)
    daemon.start_up()
    gc.freeze()
    await daemon.ended.wait()

"""The daemon: one agent on one loop, from checked settings to its end."""

from __future__ import annotations

import asyncio
import gc
import random
import secrets
import signal
import sys
import traceback
from collections.abc import Callable, Mapping
from typing import Any

import structlog
from tornado.ioloop import IOLoop

from ..fleet.list_filter import ListFilter
from ..hosting.alarms import AlarmScheduler
from ..hosting.backoff import Backoff
from ..hosting.clock import Clock, arrival_selector
from ..hosting.engine_host import EngineHost
from ..hosting.graceful_shutdown import GracefulShutdown
from ..interface import Appliance, Dispatch, Operation
from ..proto import agent_pb2 as pb
from ..settings.schema import AgentDocument
from ..wire.calls import Channel
from ..wire.connection import Tap
from ..wire.session import SessionLimits
from .appliance_pools import ApplianceOptions, AppliancePools, Attempt
from .control_plane import PEER_MESSAGE_PATH, ConveyorClient, PeerMessenger, PersistentFence, RegistryClient
from .front import ClientCall, EventLogger, Front, FrontLimits
from .key_journal_file import KeyJournalFile


def build_operations(document: AgentDocument) -> tuple[Operation, ...]:
    return tuple(
        Operation(
            name,
            o.effect,
            o.group,
            o.window,
            o.slo_time,
            o.time_limit,
            o.billed_value,
            o.late_value,
            o.stream,
        )
        for name, o in document.operations.items()
    )


def session_limits(document: AgentDocument) -> SessionLimits:
    return SessionLimits(document.wire.streams, document.wire.window, document.wire.header_list)


def journal_owner(document: AgentDocument) -> str:
    """Whose facts a file holds: this agent's, at this deployment."""
    return f"agent {document.agent.me} of {document.agent.agents}, {', '.join(sorted(document.operations))}"


def appliance_options(document: AgentDocument, parts: int = 1) -> ApplianceOptions:
    """parts: among which the connections to one appliance are divided."""
    agent, wire, reach = document.agent, document.wire, document.appliances
    return ApplianceOptions(
        agent.me,
        reach.connect_timeout,
        reach.probe_timeout,
        reach.idle_time,
        reach.streams,
        max(1, reach.connections // parts),
        wire.answer,
        wire.hold,
        2 * agent.tick,
        session_limits(document),
    )


def operations_by_path(
    document: AgentDocument, operations: Mapping[str, Operation]
) -> dict[bytes, Operation]:
    return {path.encode(): operations[name] for name, o in document.operations.items() for path in o.methods}


def front_limits(document: AgentDocument) -> FrontLimits:
    wire = document.wire
    return FrontLimits(wire.connections, wire.streams, wire.window, wire.message, wire.header_list)


def make_control_plane_clients(
    document: AgentDocument,
    engine_host: EngineHost,
    appliance_pools: Any,
    now: Callable[[], int],
    log_event: EventLogger,
    chance: random.Random,
    limits: SessionLimits,
    tap: Tap | None,
    stage_fence: PersistentFence | None = None,
) -> tuple[RegistryClient, ConveyorClient, PeerMessenger]:
    """links: whoever is to know the appliances' addresses."""
    agent, wire, conveyor = document.agent, document.wire, document.conveyor
    hello = pb.Hello(agent=agent.me, zone=agent.zone)

    def channel(address: str) -> Channel:
        return Channel(address, document.appliances.connect_timeout, limits, tap)

    def backoff() -> Backoff:
        return Backoff(wire.reconnect_least, wire.reconnect_most, chance)

    registry = RegistryClient(
        engine_host,
        appliance_pools,
        channel(document.registry.address),
        hello,
        document.registry.mode == "push",
        document.registry.call_timeout,
        backoff(),
        now,
        log_event,
        agent.list_file,
        ListFilter(document.registry.drop_share, document.registry.hold_time),
    )
    return (
        registry,
        ConveyorClient(
            engine_host,
            [channel(address) for address in conveyor.address],
            hello,
            conveyor.vote_timeout,
            conveyor.silence,
            backoff(),
            log_event,
            now,
            stage_fence or PersistentFence(agent.stage_file, log_event),
            chance,
        ),
        PeerMessenger(
            engine_host,
            agent.me,
            {number: channel(address) for number, address in document.peers.items() if number != agent.me},
            conveyor.vote_timeout,
            log_event,
        ),
    )


class Daemon:
    """Being the seat's World, it hands each wish to the part that carries it out. `log`: a structlog logger."""

    def __init__(self, document: AgentDocument, log: Any, tap: Tap | None = None) -> None:
        self.document, self.log = document, log
        agent = document.agent
        self.loop = IOLoop.current()
        self.clock = Clock(agent.heartbeat, arrival_selector(asyncio.get_running_loop()))
        self.chance = random.Random(seed := secrets.randbits(63) if agent.seed is None else agent.seed)
        limits = session_limits(document)
        self.appliance_pools = AppliancePools(
            appliance_options(document), self.clock.now, self.log_event, tap
        )
        self.alarms = AlarmScheduler(self.loop, self.clock.now, lambda: self.engine_host.run_timers())
        self._to_say: list[Callable[[], None]] = []  # wishes of the decisions before there is whom to tell
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
            self.engine_host,
            self.appliance_pools,
            self.clock.now,
            self.log_event,
            self.chance,
            limits,
            tap,
            stage_fence,
        )
        self.front = Front(
            self.engine_host,
            operations_by_path(document, self.engine_host.operations),
            front_limits(document),
            self.clock,
            self.log_event,
            {PEER_MESSAGE_PATH: self.peers.heard} if document.allowed.may_message else {},
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

    # ---- the World ----
    def now(self) -> int:
        return self.clock.now()

    def schedule_alarm(self, due: int) -> None:
        self.alarms.schedule(due)

    def run_soon(self, do: Callable[[], None]) -> None:
        self.loop.add_callback(do)

    def start(self, dispatch: Dispatch, call: ClientCall) -> Attempt:
        if (
            self.key_journal is not None
            and dispatch.invocation.key
            and self.engine_host.binds_key(dispatch.appliance)
        ):
            self.key_journal.record_binding(dispatch.invocation.key, dispatch.appliance.build)
        return self.appliance_pools.start(dispatch, call)

    def probe(self, appliance: Appliance) -> None:
        self.appliance_pools.probe(appliance)

    def vote(self, build: int, stage: int, verdict: str) -> None:
        self.conveyor.vote(build, stage, verdict)

    def subscribe(self) -> None:
        if self.registry is None:  # asked for in the module's own first moment
            self._to_say.append(self.subscribe)
        else:
            self.registry.subscribe()

    def fetch_list(self) -> None:
        self.registry.fetch()

    def message(self, to: int | None, figures: list[int]) -> None:
        self.peers.message(to, figures)

    def log_event(self, event: str, level: str = "info", **facts: Any) -> None:
        write_event(self.log, event, level, **facts)

    # ---- its life ----
    def start_up(self) -> str:
        """Returns the address that clients may use. Raises OSError where it cannot listen."""
        address = self.front.listen(self.document.agent.listen)
        self.registry.start()
        for say in self._to_say:
            say()
        self.conveyor.start()
        self._beat()
        self.log_event(
            "started", listen=address, me=self.document.agent.me, agents=self.document.agent.agents
        )
        return address

    def _beat(self) -> None:
        stalled = self.clock.measure_stall()
        if stalled:
            self.log_event("stalled", level="warning", milliseconds=stalled // 1000)
        self.loop.call_later(self.clock.heartbeat / 1e6, self._beat)

    def on_signal(self) -> None:
        self.shutdown.on_signal()

    def _end(self) -> None:
        self.front.close()
        self.appliance_pools.close()
        self.log_event("stopped")
        self.ended.set()


def write_event(log: Any, event: str, level: str, **facts: Any) -> None:
    """One line; what comes with each invocation is for debugging."""
    getattr(log, "debug" if event in ("dispatch", "answer", "left") else level)(event, **facts)


def log_unhandled_exception(log_event: EventLogger, context: dict[str, Any]) -> None:
    """An exception that nobody was there for: logged with its place, and the agent goes on."""
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
    """A structlog logger on standard error: lines for people, or JSON."""
    render = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty(), pad_event_to=16)
    )
    names = {"debug": 10, "info": 20, "warning": 30, "error": 40}
    return structlog.wrap_logger(
        structlog.WriteLogger(sys.stderr),
        wrapper_class=structlog.make_filtering_bound_logger(names[level]),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            render,
        ],
        **bound,
    )


async def run(document: AgentDocument, tap: Tap | None = None) -> None:
    """Until signalled to end. Raises OSError where it cannot listen."""
    daemon = Daemon(document, make_logger(document.log.format, document.log.level), tap)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: log_unhandled_exception(daemon.log_event, context))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.on_signal)
    daemon.start_up()
    gc.freeze()
    await daemon.ended.wait()

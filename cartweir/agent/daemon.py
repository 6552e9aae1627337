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
from ..hosting.alarms import Alarms
from ..hosting.clock import Clock, turns_of
from ..hosting.ending import Ending
from ..hosting.seat import Seat
from ..hosting.waits import Waits
from ..interface import Appliance, Dispatch, Operation
from ..proto import agent_pb2 as pb
from ..settings.schema import AgentDocument
from ..wire.calls import Channel
from ..wire.link import Tap
from ..wire.session import Limits
from .front import Bounds, ClientCall, Front, Note
from .keep import Keep
from .links import Attempt, Links, Reach
from .news import TELL, ConveyorNews, Peers, RegistryNews, Stamps


def operations_of(document: AgentDocument) -> tuple[Operation, ...]:
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


def limits_of(document: AgentDocument) -> Limits:
    return Limits(document.wire.streams, document.wire.window, document.wire.header_list)


def owner_of(document: AgentDocument) -> str:
    """Whose facts a file holds: this agent's, at this deployment."""
    return f"agent {document.agent.me} of {document.agent.agents}, {', '.join(sorted(document.operations))}"


def reach_of(document: AgentDocument, parts: int = 1) -> Reach:
    """parts: among which the connections to one appliance are divided."""
    agent, wire, reach = document.agent, document.wire, document.appliances
    return Reach(
        agent.me,
        reach.connect_timeout,
        reach.probe_timeout,
        reach.idle_time,
        reach.streams,
        max(1, reach.connections // parts),
        wire.answer,
        wire.hold,
        2 * agent.tick,
        limits_of(document),
    )


def methods_of(document: AgentDocument, operations: Mapping[str, Operation]) -> dict[bytes, Operation]:
    return {path.encode(): operations[name] for name, o in document.operations.items() for path in o.methods}


def bounds_of(document: AgentDocument) -> Bounds:
    wire = document.wire
    return Bounds(wire.connections, wire.streams, wire.window, wire.message, wire.header_list)


def make_news(
    document: AgentDocument,
    seat: Seat,
    links: Any,
    now: Callable[[], int],
    note: Note,
    chance: random.Random,
    limits: Limits,
    tap: Tap | None,
    stamps: Stamps | None = None,
) -> tuple[RegistryNews, ConveyorNews, Peers]:
    """links: whoever is to know the appliances' addresses."""
    agent, wire, conveyor = document.agent, document.wire, document.conveyor
    hello = pb.Hello(agent=agent.me, zone=agent.zone)

    def channel(address: str) -> Channel:
        return Channel(address, document.appliances.connect_timeout, limits, tap)

    def waits() -> Waits:
        return Waits(wire.reconnect_least, wire.reconnect_most, chance)

    registry = RegistryNews(
        seat,
        links,
        channel(document.registry.address),
        hello,
        document.registry.mode == "push",
        document.registry.call_timeout,
        waits(),
        now,
        note,
        agent.list_file,
        ListFilter(document.registry.drop_share, document.registry.hold_time),
    )
    return (
        registry,
        ConveyorNews(
            seat,
            [channel(address) for address in conveyor.address],
            hello,
            conveyor.vote_timeout,
            conveyor.silence,
            waits(),
            note,
            now,
            stamps or Stamps(agent.stage_file, note),
            chance,
        ),
        Peers(
            seat,
            agent.me,
            {number: channel(address) for number, address in document.peers.items() if number != agent.me},
            conveyor.vote_timeout,
            note,
        ),
    )


class Daemon:
    """Being the seat's World, it hands each wish to the part that carries it out. `log`: a structlog logger."""

    def __init__(self, document: AgentDocument, log: Any, tap: Tap | None = None) -> None:
        self.document, self.log = document, log
        agent = document.agent
        self.loop = IOLoop.current()
        self.clock = Clock(agent.heartbeat, turns_of(asyncio.get_running_loop()))
        self.chance = random.Random(seed := secrets.randbits(63) if agent.seed is None else agent.seed)
        limits = limits_of(document)
        self.links = Links(reach_of(document), self.clock.now, self.note, tap)
        self.alarms = Alarms(self.loop, self.clock.now, lambda: self.seat.alarm())
        self._to_say: list[Callable[[], None]] = []  # wishes of the decisions before there is whom to tell
        self.registry: RegistryNews | None = None
        settings = {**document.decision_settings(), "operations": operations_of(document)}
        self.seat = self.links.seat = Seat(self, settings, seed)
        stamps = Stamps(agent.stage_file, self.note)
        self.keep: Keep | None = None
        if agent.facts_file is not None:
            self.keep = Keep(
                agent.facts_file, owner_of(document), stamps.fence.seen, self.note, agent.facts_most
            )
            self.seat.recall(self.keep.recalled)
            stamps.on_follow = self.keep.decided
        self.registry, self.conveyor, self.peers = make_news(
            document, self.seat, self.links, self.clock.now, self.note, self.chance, limits, tap, stamps
        )
        self.front = Front(
            self.seat,
            methods_of(document, self.seat.operations),
            bounds_of(document),
            self.clock,
            self.note,
            {TELL: self.peers.heard} if document.allowed.may_message else {},
            tap,
        )
        self.ended = asyncio.Event()
        self.ending = Ending(
            self.clock.now,
            agent.tick,
            agent.drain_time,
            self.front,
            lambda: len(self.seat.calls),
            self.seat.give_up_all,
            self._end,
            self.note,
        )

    # ---- the World ----
    def now(self) -> int:
        return self.clock.now()

    def alarm_at(self, due: int) -> None:
        self.alarms.ask(due)

    def soon(self, do: Callable[[], None]) -> None:
        self.loop.add_callback(do)

    def start(self, dispatch: Dispatch, call: ClientCall) -> Attempt:
        if self.keep is not None and dispatch.invocation.key and self.seat.binds(dispatch.appliance):
            self.keep.bind(dispatch.invocation.key, dispatch.appliance.build)
        return self.links.start(dispatch, call)

    def probe(self, appliance: Appliance) -> None:
        self.links.probe(appliance)

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

    def note(self, event: str, level: str = "info", **facts: Any) -> None:
        note_line(self.log, event, level, **facts)

    # ---- its life ----
    def start_up(self) -> str:
        """Returns the address that clients may use. Raises OSError where it cannot listen."""
        address = self.front.listen(self.document.agent.listen)
        self.registry.start()
        for say in self._to_say:
            say()
        self.conveyor.start()
        self._beat()
        self.note("started", listen=address, me=self.document.agent.me, agents=self.document.agent.agents)
        return address

    def _beat(self) -> None:
        stalled = self.clock.beat()
        if stalled:
            self.note("stalled", level="warning", milliseconds=stalled // 1000)
        self.loop.call_later(self.clock.heartbeat / 1e6, self._beat)

    def signalled(self) -> None:
        self.ending.signalled()

    def _end(self) -> None:
        self.front.close()
        self.links.close()
        self.note("stopped")
        self.ended.set()


def note_line(log: Any, event: str, level: str, **facts: Any) -> None:
    """One line; what comes with each invocation is for debugging."""
    getattr(log, "debug" if event in ("dispatch", "answer", "left") else level)(event, **facts)


def tell_fault(note: Note, context: dict[str, Any]) -> None:
    """An exception that nobody was there for: logged with its place, and the agent goes on."""
    error = context.get("exception")
    where = traceback.extract_tb(error.__traceback__)[-1] if error and error.__traceback__ else None
    note(
        "internal_error",
        level="error",
        what=context.get("message"),
        error=repr(error),
        where=f"{where.name}:{where.lineno}" if where else None,
    )


def make_log(form: str, level: str, **bound: Any) -> Any:
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
    daemon = Daemon(document, make_log(document.log.format, document.log.level), tap)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: tell_fault(daemon.note, context))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.signalled)
    daemon.start_up()
    gc.freeze()
    await daemon.ended.wait()

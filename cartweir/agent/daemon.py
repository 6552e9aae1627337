"""The daemon: one agent on one loop, from checked settings to its end."""
from __future__ import annotations

import asyncio
import gc
import heapq
import random
import secrets
import signal
import sys
import traceback
from collections.abc import Callable
from typing import Any

import structlog
from tornado.ioloop import IOLoop

from ..interface import Appliance, Dispatch, Operation
from ..proto import agent_pb2 as pb
from ..settings.schema import AgentDocument
from ..wire.calls import Channel
from ..wire.link import Tap
from ..wire.session import Limits
from .clock import Clock, turns_of
from .front import Bounds, ClientCall, Front
from .links import Attempt, Links, Reach
from .news import TELL, ConveyorNews, Peers, RegistryNews, Waits
from .seat import Seat


def operations_of(document: AgentDocument) -> tuple[Operation, ...]:
    return tuple(Operation(name, o.effect, o.group, o.window, o.slo_time, o.time_limit, o.billed_value, o.late_value,
                           o.stream) for name, o in document.operations.items())


class Daemon:
    """Being the seat's World, it hands each wish to the part that carries it out. `log`: a structlog logger."""

    def __init__(self, document: AgentDocument, log: Any, tap: Tap | None = None) -> None:
        self.document, self.log = document, log
        agent, wire, reach = document.agent, document.wire, document.appliances
        self.loop = IOLoop.current()
        self.clock = Clock(agent.heartbeat, turns_of(asyncio.get_running_loop()))
        self.chance = random.Random(seed := secrets.randbits(63) if agent.seed is None else agent.seed)
        limits = Limits(wire.streams, wire.window, wire.header_list)
        self.links = Links(
            Reach(agent.me, reach.connect_timeout, reach.probe_timeout, reach.idle_time, reach.streams, reach.connections,
                  wire.answer, wire.hold, 2 * agent.tick, limits), self.clock.now, self.note, tap)
        self._alarm: tuple[int, Any] | None = None
        self._dues: list[int] = []          # alarms that were asked for
        self._to_say: list[Callable[[], None]] = []     # wishes of the decisions before there is whom to tell
        self.registry: RegistryNews | None = None
        self.conveyor: ConveyorNews | None = None
        known = {**document.known(), "operations": operations_of(document)}
        self.seat = self.links.seat = Seat(self, known, seed)
        hello = pb.Hello(agent=agent.me, zone=agent.zone)

        def channel(address: str) -> Channel:
            return Channel(address, reach.connect_timeout, limits, tap)

        def waits() -> Waits:
            return Waits(wire.reconnect_least, wire.reconnect_most, self.chance)

        self.registry = RegistryNews(
            self.seat, self.links, channel(document.registry.address), hello, document.registry.mode == "push",
            document.registry.call_timeout, waits(), self.clock.now, self.note, agent.list_file)
        self.conveyor = ConveyorNews(self.seat, channel(document.conveyor.address), hello,
                                     document.conveyor.vote_timeout, waits(), self.note, self.clock.now)
        self.peers = Peers(self.seat, agent.me, {
            number: channel(address) for number, address in document.peers.items() if number != agent.me},
            document.conveyor.vote_timeout, self.note)
        methods = {path.encode(): self.seat.operations[name]
                   for name, operation in document.operations.items() for path in operation.methods}
        self.front = Front(self.seat, methods, Bounds(wire.connections, wire.streams, wire.window, wire.message,
                                                      wire.header_list), self.clock, self.note,
                           {TELL: self.peers.heard} if document.allowed.may_message else {}, tap)
        self._ending = 0
        self.ended = asyncio.Event()

    # ---- the World ----
    def now(self) -> int:
        return self.clock.now()

    def alarm_at(self, due: int) -> None:
        """Each one that is asked for fires: the engine may have run what an earlier one was for, and asked anew."""
        heapq.heappush(self._dues, due)
        self._schedule()

    def _schedule(self) -> None:
        if self._dues and (self._alarm is None or self._dues[0] < self._alarm[0]):
            if self._alarm is not None:
                self.loop.remove_timeout(self._alarm[1])
            due = self._dues[0]
            self._alarm = (due, self.loop.call_later(max(0, due - self.clock.now()) / 1e6, self._fire))

    def _fire(self) -> None:
        """The loop's clock is finer than ours: it may wake us up to 1 us early, and then is asked again."""
        self._alarm, now, due = None, self.clock.now(), False
        while self._dues and self._dues[0] <= now:
            heapq.heappop(self._dues)
            due = True
        if due:
            self.seat.alarm()
        self._schedule()

    def soon(self, do: Callable[[], None]) -> None:
        self.loop.add_callback(do)

    def start(self, dispatch: Dispatch, call: ClientCall) -> Attempt:
        return self.links.start(dispatch, call)

    def probe(self, appliance: Appliance) -> None:
        self.links.probe(appliance)

    def vote(self, build: int, stage: int, verdict: str) -> None:
        self.conveyor.vote(build, stage, verdict)

    def subscribe(self) -> None:
        if self.registry is None:           # asked for in the module's own first moment
            self._to_say.append(self.subscribe)
        else:
            self.registry.subscribe()

    def fetch_list(self) -> None:
        self.registry.fetch()

    def message(self, to: int | None, figures: list[int]) -> None:
        self.peers.message(to, figures)

    def note(self, event: str, level: str = "info", **facts: Any) -> None:
        if event in ("dispatch", "answer", "left"):
            level = "debug"
        getattr(self.log, level)(event, **facts)

    def fault(self, context: dict[str, Any]) -> None:
        """An exception that nobody was there for: logged with its place, and the agent goes on."""
        error = context.get("exception")
        where = traceback.extract_tb(error.__traceback__)[-1] if error and error.__traceback__ else None
        self.note("internal_error", level="error", what=context.get("message"), error=repr(error),
                  where=f"{where.name}:{where.lineno}" if where else None)

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
        """The first time: drain. The second: answer what is owed, and end."""
        self._ending += 1
        if self._ending == 1:
            self.note("draining", held=len(self.seat.calls))
            self.front.drain()
            self._deadline = self.clock.now() + self.document.agent.drain_time
            self._drained()
        elif self._ending == 2:
            self._give_up()

    def _drained(self) -> None:
        if self.ended.is_set():
            return
        if self.clock.now() >= self._deadline:
            self._give_up()
        elif self.seat.calls or self.front.unsent:
            self.loop.call_later(self.document.agent.tick / 1e6, self._drained)
        else:
            self._end()

    def _give_up(self) -> None:
        self.note("giving_up", level="warning", held=len(self.seat.calls))
        self.seat.give_up_all()
        # a turn for what has just been said to reach the sockets
        self.loop.call_later(self.document.agent.tick / 1e6, self._end)

    def _end(self) -> None:
        if not self.ended.is_set():
            self.front.close()
            self.links.close()
            self.note("stopped")
            self.ended.set()


def make_log(form: str, level: str, **bound: Any) -> Any:
    """A structlog logger on standard error: lines for people, or JSON."""
    render = structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer(
        colors=sys.stderr.isatty(), pad_event_to=16)
    names = {"debug": 10, "info": 20, "warning": 30, "error": 40}
    return structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr), wrapper_class=structlog.make_filtering_bound_logger(names[level]),
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True), render],
        **bound)


async def run(document: AgentDocument, tap: Tap | None = None) -> None:
    """Until signalled to end. Raises OSError where it cannot listen."""
    daemon = Daemon(document, make_log(document.log.format, document.log.level), tap)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: daemon.fault(context))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.signalled)
    daemon.start_up()
    gc.freeze()
    await daemon.ended.wait()

"""The appliances' side: connections to each, and the attempts and probes that run on them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from google.protobuf.message import DecodeError
from tornado.ioloop import IOLoop

from .. import interface as ours
from ..hosting.engine_host import EngineHost
from ..hosting.pools import ConnectionPools
from ..hosting.tcp import connect, spawn, split_address
from ..interface import Appliance, Dispatch
from ..proto import health_pb2
from ..wire import grpc
from ..wire.connection import Connection, Tap
from ..wire.grpc import Headers, MalformedError, MessageScanner
from ..wire.session import SessionLimits, Stream
from . import grpc_mapping
from .front import ClientCall

PROBE = b"/grpc.health.v1.Health/Check"
EventLogger = Callable[..., None]


@dataclass(frozen=True, slots=True)
class ApplianceOptions:
    """How appliances are reached; times in microseconds, sizes in bytes."""

    me: int
    connect_timeout: int
    probe_timeout: int
    idle_time: int
    streams: int
    connections: int
    answer: int  # largest message of an answer
    hold: int  # an answer is held back up to this size
    margin: int  # before the client's time is up, a begun answer is broken off
    limits: SessionLimits


class AppliancePools(ConnectionPools["Pool"]):
    """All connections to appliances of one agent."""

    def __init__(
        self, reach: ApplianceOptions, now: Callable[[], int], log_event: EventLogger, tap: Tap | None = None
    ) -> None:
        super().__init__(lambda address: Pool(self, address))
        self.reach, self.now, self.log_event, self.tap = reach, now, log_event, tap
        self.loop = IOLoop.current()
        self.engine_host: EngineHost | None = None  # set once the seat is there

    def start(self, dispatch: Dispatch, call: ClientCall) -> Attempt:
        attempt = Attempt(self, dispatch, call)
        self.pool(dispatch.appliance).send(attempt)
        return attempt

    def probe(self, appliance: Appliance) -> None:
        self.pool(appliance).send(ProbeAttempt(self, appliance))

    def close(self) -> None:
        for pool in list(self.pools.values()):
            pool.close()


class Pool:
    """Connections to one address. What finds no room on them waits here, though no longer than a connection may
    take, and the decisions are asked once more before it goes."""

    def __init__(self, appliance_pools: AppliancePools, address: str) -> None:
        self.appliance_pools, self.address = appliance_pools, address
        self.open: list[ApplianceLink] = []
        self._opening = 0
        self._waiting: deque[_Sent] = deque()
        self._retired = False

    def send(self, sent: _Sent) -> None:
        link = None if self._waiting else next((link for link in self.open if link.room), None)
        if link is not None:
            sent.go(link)
            return
        sent.arm(self)
        self._waiting.append(sent)
        self.flow()

    def back(self, sent: _Sent) -> None:
        """Those who decide have been asked, and it may go: the first to do so."""
        self._waiting.appendleft(sent)
        self.flow()

    def flow(self) -> None:
        """Send what waits as far as there is room, and see to more room."""
        while self._waiting:
            if self._waiting[0].over:
                self._waiting.popleft()
                continue
            link = next((link for link in self.open if link.room), None)
            if link is None:
                break
            sent = self._waiting.popleft()
            goes = sent.still_goes()
            if goes:
                sent.go(link)
            elif goes is not None:
                sent.unsent()
        streams, busy = self.appliance_pools.reach.streams, sum(not link.suspect for link in self.open)
        while (
            len(self._waiting) > self._opening * streams
            and busy + self._opening < self.appliance_pools.reach.connections
        ):
            self._opening += 1
            spawn(self._connect())

    async def _connect(self) -> None:
        """A connection counts once the other side's settings have come: a process that stands still has its
        connections accepted all the same, and nothing may be known to have run there."""
        reach, began = self.appliance_pools.reach, self.appliance_pools.now()
        try:
            stream = await connect(*split_address(self.address), reach.connect_timeout)
        except (OSError, ValueError) as error:
            self._opening -= 1
            self._failed(str(getattr(error, "strerror", None) or error))
            return
        owner = ApplianceLink(self)
        owner.link = Connection(stream, True, reach.limits, owner, self.appliance_pools.tap)
        left = began + reach.connect_timeout - self.appliance_pools.now()
        self.appliance_pools.loop.call_later(max(0, left) / 1e6, owner.unsettled)

    def settled(self, link: ApplianceLink) -> None:
        self._opening -= 1
        self.open.append(link)
        if self._retired:
            link.suspect = True
        self.flow()
        link.idle_check()

    def never_settled(self, why: str) -> None:
        self._opening -= 1
        self._failed(why)

    def _failed(self, why: str) -> None:
        """No connection: what waits for one has not been sent, unless others may still take it."""
        self.appliance_pools.log_event("unconnected", level="debug", address=self.address, why=why)
        if not self._opening and all(link.suspect for link in self.open):
            waiting, self._waiting = self._waiting, deque()
            for sent in waiting:
                sent.unsent()

    def lost(self, link: ApplianceLink) -> None:
        if link in self.open:
            self.open.remove(link)
        self.flow()

    def retire(self) -> None:
        self._retired = True
        for link in list(self.open):
            link.suspect = True
            link.idle_check()

    def close(self) -> None:
        for link in list(self.open):
            link.link.close("agent ends")


class ApplianceLink:
    """Owner of one link to an appliance."""

    link: Connection

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.settled = False  # the other side's settings have come
        self.suspect = False  # carries what it has, and nothing new
        self._used = pool.appliance_pools.now()
        self._timer: Any = None
        self._pings = 0

    @property
    def room(self) -> bool:
        session = self.link.session
        return (
            session.can_open_stream
            and not self.suspect
            and len(session.streams) < self.pool.appliance_pools.reach.streams
        )

    # ---- the link's owner ----
    def on_stream(self, stream: Stream, headers: Headers) -> None:
        stream.reset()  # an appliance opens none

    def on_settings(self) -> None:
        if not self.settled:
            self.settled = True
            self.pool.settled(self)
        else:
            self.pool.flow()

    def unsettled(self) -> None:
        if not self.settled:
            self.link.close("no settings in time")

    def on_goaway(self, code: int) -> None:
        self.suspect = True
        self.idle_check()
        self.pool.flow()

    def on_lost(self, link: Connection, why: str) -> None:
        if self._timer is not None:
            self.pool.appliance_pools.loop.remove_timeout(self._timer)
            self._timer = None
        self.pool.appliance_pools.log_event(
            "appliance_link_lost", level="debug", address=self.pool.address, why=why
        )
        if self.settled:
            self.pool.lost(self)
        else:
            self.settled = True  # it counts no more
            self.pool.never_settled(why)

    # ---- use ----
    def freed(self) -> None:
        """A stream has ended."""
        self._used = self.pool.appliance_pools.now()
        if self.suspect:
            self.idle_check()
        self.pool.flow()

    def doubt(self) -> None:
        """An attempt on it got no answer in time: nothing new goes this way until a ping has come back, since
        a connection whose other end has vanished looks just like a slow one."""
        if self.link.closed or self.link.session.pending_pings:
            return
        self._pings += 1
        payload = self._pings.to_bytes(8, "big")
        self.link.session.ping(payload)
        self.pool.appliance_pools.loop.call_later(
            self.pool.appliance_pools.reach.connect_timeout / 1e6, self._unanswered, payload
        )

    def _unanswered(self, payload: bytes) -> None:
        if self.link.closed or self.suspect:
            return
        if payload in self.link.session.pending_pings:
            self.suspect = True
            self.idle_check()

    def idle_check(self) -> None:
        """Closed when it has carried nothing for the idle time, or at once if nothing more may go there."""
        if self.link.closed:
            return
        appliance_pools = self.pool.appliance_pools
        quiet = not self.link.session.streams
        since = appliance_pools.now() - self._used
        if quiet and (self.suspect or since >= appliance_pools.reach.idle_time):
            appliance_pools.loop.add_callback(self.link.close, "idle")
        elif self._timer is None:
            wait = (
                max(appliance_pools.reach.idle_time - since, 1000)
                if quiet
                else appliance_pools.reach.idle_time
            )
            self._timer = appliance_pools.loop.call_later(wait / 1e6, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.idle_check()


class _Sent:
    """What goes out on a stream of its own: an attempt or a probe."""

    patience: int

    def __init__(self, appliance_pools: AppliancePools) -> None:
        self.appliance_pools = appliance_pools
        self.over = False
        self.stream: Stream | None = None
        self._link: ApplianceLink | None = None
        self._pool: Pool | None = None  # in which it waits for a connection
        self._timer: Any = None
        self.began = appliance_pools.now()

    def arm(self, pool: Pool) -> None:
        """Waits for a connection from now on."""
        self._pool = pool
        wait = min(self.patience, self.appliance_pools.reach.connect_timeout)
        self._timer = self.appliance_pools.loop.call_later(wait / 1e6, self._out_of_time)

    def still_goes(self) -> bool | None:
        """It has waited; False: it must not go out any more; None: that is being asked."""
        return True

    def cleared(self, goes: bool) -> None:
        """The answer to what was asked."""
        if not self.over and goes:
            self._pool.back(self)
        elif not self.over:
            self.unsent()

    def go(self, link: ApplianceLink) -> None:
        self._link = link
        if self._timer is not None:
            self.appliance_pools.loop.remove_timeout(self._timer)
        left = self.began + self.patience - self.appliance_pools.now()
        self._timer = self.appliance_pools.loop.call_later(max(0, left) / 1e6, self._out_of_time)
        self.stream = link.link.session.open(self.headers(max(left, 1)), self)
        self.send_body()

    def headers(self, left: int) -> list[tuple[bytes, bytes]]:
        raise NotImplementedError

    def send_body(self) -> None:
        raise NotImplementedError

    def unsent(self) -> None:
        raise NotImplementedError

    def out_of_time(self) -> None:
        raise NotImplementedError

    def _out_of_time(self) -> None:
        self._timer = None
        if self.over:
            return
        if self._link is None:
            self.unsent()
            return
        self._drop(doubt=True)
        self.done()
        self.out_of_time()

    def _drop(self, doubt: bool) -> None:
        if self.stream is not None and not self.stream.closed:
            self.stream.reset()
            if doubt:
                self._link.doubt()

    def done(self) -> None:
        """Nothing more is heard of it."""
        self.over = True
        if self._timer is not None:
            self.appliance_pools.loop.remove_timeout(self._timer)
            self._timer = None
        if self._link is not None:
            self._link.freed()

    def on_sent(self, stream: Stream, size: int) -> None:
        pass


class Attempt(_Sent):
    """One dispatch on its way: its answer is held until it is whole or too large to hold, and then passed on."""

    def __init__(self, appliance_pools: AppliancePools, dispatch: Dispatch, call: ClientCall) -> None:
        super().__init__(appliance_pools)
        self.dispatch, self.call = dispatch, call
        self.patience = dispatch.timeout or max(1, dispatch.invocation.deadline - self.began)
        self.head: Headers = ()
        self.body: list[bytes] = []
        self.held = 0
        self.walk = MessageScanner(appliance_pools.reach.answer)
        self.passing = False

    # ---- out ----
    def headers(self, left: int) -> list[tuple[bytes, bytes]]:
        invocation, asked = self.dispatch.invocation, self.call.request
        return grpc.request_headers(
            asked.path,
            self.appliance_pools.addresses.get(self.dispatch.appliance.id, "").encode(),
            left,
            [
                *asked.metadata,
                (grpc_mapping.AGENT_HEADER, b"%d" % self.appliance_pools.reach.me),
                (grpc_mapping.DISPATCH_HEADER, b"%d.%d" % (invocation.id, self.dispatch.number)),
            ],
        )

    def still_goes(self) -> bool | None:
        return self.appliance_pools.engine_host.may_send(self.dispatch)

    def send_body(self) -> None:
        for piece in self.call.body[:-1]:
            self.stream.send_data(piece)
        self.stream.send_data(self.call.body[-1], end=True)

    def abandon(self, late: bool) -> None:
        if not self.over:
            self._drop(doubt=late)
            self.done()

    # ---- in ----
    def on_headers(self, stream: Stream, headers: Headers) -> None:
        self.head = headers
        if self.dispatch.invocation.operation.stream and grpc.find(headers, b":status") == b"200":
            self._pass_on()

    def on_data(self, stream: Stream, data: bytes) -> None:
        try:
            self.walk.feed(data)
        except MalformedError as error:
            self.appliance_pools.log_event("bad_answer", appliance=self.dispatch.appliance.id, why=str(error))
            stream.reset()
            self._end(ours.ERROR)
            return
        if self.passing:
            self.call.data(data)  # granted anew as the client takes it
            return
        stream.acknowledge(len(data))
        self.body.append(data)
        self.held += len(data)
        if self.held > self.appliance_pools.reach.hold:
            self._pass_on()

    def _pass_on(self) -> None:
        if not self.appliance_pools.engine_host.claim_answer(self.dispatch):
            self.stream.reset()  # another attempt's answer is being passed on
            self._end(ours.CANCELLED)
            return
        self.passing = True
        self.call.begin(self.stream, self.head, self.body)
        self.body = []
        # from here on the client's time alone counts
        self.appliance_pools.loop.remove_timeout(self._timer)
        left = (
            self.dispatch.invocation.deadline - self.appliance_pools.reach.margin - self.appliance_pools.now()
        )
        self._timer = self.appliance_pools.loop.call_later(max(0, left) / 1e6, self._out_of_time)

    def on_end(self, stream: Stream, trailers: Headers) -> None:
        if not stream.end_sent:
            stream.reset(0)  # answered before it had read the whole request
        how = grpc_mapping.outcome_of(self.head, trailers, self.walk.whole)
        answer = None if self.passing or how != ours.SUCCEEDED else (self.head, self.body, trailers)
        if self.passing and how == ours.SUCCEEDED:
            answer = ((), [], trailers)
        self._end(how, grpc_mapping.load_of(trailers), answer)

    def on_aborted(self, stream: Stream, how: str, code: int) -> None:
        self._end(grpc_mapping.GONE[how])

    def unsent(self) -> None:
        if not self.over:
            self._end(ours.UNCONNECTED)

    def out_of_time(self) -> None:
        self.appliance_pools.engine_host.dispatch_ended(self.dispatch, ours.TIMEOUT, passed=self.passing)

    def _end(self, how: str, load: Mapping[str, float] | None = None, answer: tuple | None = None) -> None:
        if not self.over:
            self.done()
            self.appliance_pools.engine_host.dispatch_ended(self.dispatch, how, load, answer, self.passing)


class ProbeAttempt(_Sent):
    """One Check of grpc.health.v1."""

    def __init__(self, appliance_pools: AppliancePools, appliance: Appliance) -> None:
        super().__init__(appliance_pools)
        self.appliance, self.patience = appliance, appliance_pools.reach.probe_timeout
        self.head: Headers = ()
        self.body = bytearray()

    def headers(self, left: int) -> list[tuple[bytes, bytes]]:
        return grpc.request_headers(
            PROBE,
            self.appliance_pools.addresses.get(self.appliance.id, "").encode(),
            left,
            [(grpc_mapping.AGENT_HEADER, b"%d" % self.appliance_pools.reach.me)],
        )

    def send_body(self) -> None:
        self.stream.send_data(grpc.frame(health_pb2.HealthCheckRequest().SerializeToString()), end=True)

    def on_headers(self, stream: Stream, headers: Headers) -> None:
        self.head = headers

    def on_data(self, stream: Stream, data: bytes) -> None:
        stream.acknowledge(len(data))
        if len(self.body) < 1024:
            self.body += data

    def on_end(self, stream: Stream, trailers: Headers) -> None:
        serving = False
        if grpc.status_of(self.head, trailers) == 0:
            try:
                (message,) = grpc.messages(bytes(self.body))
                serving = health_pb2.HealthCheckResponse.FromString(message).status == 1
            except (MalformedError, ValueError, DecodeError):
                serving = False
        self._answer(serving, grpc_mapping.load_of(trailers))

    def on_aborted(self, stream: Stream, how: str, code: int) -> None:
        self._answer(False, None)

    def unsent(self) -> None:
        if not self.over:
            self._answer(False, None)

    def out_of_time(self) -> None:
        self.appliance_pools.engine_host.probe_ended(
            self.appliance, False, self.appliance_pools.now() - self.began, None
        )

    def _answer(self, serving: bool, load: Mapping[str, float] | None) -> None:
        if not self.over:
            self.done()
            self.appliance_pools.engine_host.probe_ended(
                self.appliance, serving, self.appliance_pools.now() - self.began, load
            )

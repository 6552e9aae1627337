"""Connections to appliances, and the attempts and probes that run on them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from google.protobuf.message import DecodeError
from tornado.ioloop import IOLoop

from .. import interface as ours
from ..hosting.engine_host import Answer, EngineHost
from ..hosting.event_log import EventLogger
from ..hosting.pools import ConnectionPools
from ..hosting.tcp import connect, spawn, split_address
from ..interface import Appliance, Dispatch
from ..proto import health_pb2
from ..wire import grpc
from ..wire.connection import Connection, Tap
from ..wire.grpc import Headers, MalformedError, MessageScanner
from ..wire.pieces import append_piece
from ..wire.session import SessionLimits, Stream
from . import grpc_mapping
from .front import ClientCall

PROBE_PATH = b"/grpc.health.v1.Health/Check"
PROBE_ANSWER_BYTES = 1024  # of a probe's answer that are kept; an answer that says "serving" is much shorter
MIN_IDLE_CHECK_US = 1000


@dataclass(frozen=True, slots=True)
class ApplianceOptions:
    """How to connect to appliances; times in microseconds, sizes in bytes.

    Attributes:
        me: The agent's number.
        connect_timeout: How long a connection may take to be made.
        probe_timeout: How long a probe may take.
        idle_time: How long a connection stays open without carrying anything.
        streams: The most streams at a time on one connection.
        connections: The most connections to one appliance.
        answer: The largest message of an answer.
        hold: The size up to which an answer is held back until it is complete.
        margin: How long before the client's time limit an answer that is being passed on is broken off.
        limits: The limits of each HTTP/2 session.
    """

    me: int
    connect_timeout: int
    probe_timeout: int
    idle_time: int
    streams: int
    connections: int
    answer: int
    hold: int
    margin: int
    limits: SessionLimits


class AppliancePools(ConnectionPools["AppliancePool"]):
    """The connection pools of one agent.

    Attributes:
        options: How to connect.
        now: The agent's clock, in microseconds.
        log_event: Logs an event.
        tap: Records what passes on the connections.
        loop: The event loop.
        engine_host: Gets the results of attempts and probes; set once it exists.
    """

    def __init__(
        self,
        options: ApplianceOptions,
        now: Callable[[], int],
        log_event: EventLogger,
        tap: Tap | None = None,
    ) -> None:
        super().__init__(lambda address: AppliancePool(self, address))
        self.options = options
        self.now = now
        self.log_event = log_event
        self.tap = tap
        self.loop = IOLoop.current()
        self.engine_host: EngineHost | None = None

    def start(self, dispatch: Dispatch, call: ClientCall) -> Attempt:
        """Starts an attempt."""
        attempt = Attempt(self, dispatch, call)
        self.pool(dispatch.appliance).send(attempt)
        return attempt

    def probe(self, appliance: Appliance) -> None:
        """Starts a probe."""
        self.pool(appliance).send(ProbeAttempt(self, appliance))

    def close(self) -> None:
        """Closes all connections."""
        for pool in list(self.pools.values()):
            pool.close()


class AppliancePool:
    """The connections to one address.

    An exchange that finds no room on them waits here, though no longer than a connection may take to be made.
    The decisions are asked once more before it goes out.

    Attributes:
        pools: The pools of the agent.
        address: The address.
        open: The connections that can be used or still carry something.
    """

    def __init__(self, pools: AppliancePools, address: str) -> None:
        self.pools, self.address = pools, address
        self.open: list[ApplianceConnection] = []
        self._opening = 0
        self._waiting: deque[Exchange] = deque()
        self._retired = False

    def send(self, exchange: Exchange) -> None:
        """Sends an exchange at once if a connection has room for it, or else as soon as one has."""
        connection = (
            None
            if self._waiting
            else next((candidate for candidate in self.open if candidate.has_room), None)
        )
        if connection is not None:
            exchange.send_on(connection)
            return
        exchange.wait_in(self)
        self._waiting.append(exchange)
        self.send_waiting()

    def send_next(self, exchange: Exchange) -> None:
        """Sends an exchange before all others that wait, because the decisions have allowed it."""
        self._waiting.appendleft(exchange)
        self.send_waiting()

    def send_waiting(self) -> None:
        """Sends what waits as far as there is room, and opens more connections if that is not enough."""
        while self._waiting:
            if self._waiting[0].over:
                self._waiting.popleft()
                continue
            connection = next((candidate for candidate in self.open if candidate.has_room), None)
            if connection is None:
                break
            exchange = self._waiting.popleft()
            may_send = exchange.may_send()
            if may_send:
                exchange.send_on(connection)
            elif may_send is not None:
                exchange.not_sent()
        options, usable = self.pools.options, sum(not connection.suspect for connection in self.open)
        while (
            len(self._waiting) > self._opening * options.streams
            and usable + self._opening < options.connections
        ):
            self._opening += 1
            spawn(self._connect())

    async def _connect(self) -> None:
        """Opens a connection, which counts once the appliance's settings have arrived.

        The kernel accepts connections to a process that stands still, too, and the agent could not know
        whether anything has run there.
        """
        options, began = self.pools.options, self.pools.now()
        try:
            stream = await connect(*split_address(self.address), options.connect_timeout)
        except (OSError, ValueError) as error:
            self._opening -= 1
            self._failed(str(getattr(error, "strerror", None) or error))
            return
        owner = ApplianceConnection(self)
        owner.connection = Connection(stream, True, options.limits, owner, self.pools.tap)
        left = began + options.connect_timeout - self.pools.now()
        self.pools.loop.call_later(max(0, left) / 1e6, owner.close_if_unsettled)

    def settled(self, connection: ApplianceConnection) -> None:
        """Takes a connection into use, now that the appliance's settings have arrived."""
        self._opening -= 1
        self.open.append(connection)
        if self._retired:
            connection.suspect = True
        self.send_waiting()
        connection.close_if_idle()

    def never_settled(self, why: str) -> None:
        """Handles that a connection ended before the appliance's settings arrived."""
        self._opening -= 1
        self._failed(why)

    def _failed(self, why: str) -> None:
        """Reports what waits as not sent, unless another connection may still take it."""
        self.pools.log_event("unconnected", level="debug", address=self.address, why=why)
        if not self._opening and all(connection.suspect for connection in self.open):
            waiting, self._waiting = self._waiting, deque()
            for exchange in waiting:
                exchange.not_sent()

    def lost(self, connection: ApplianceConnection) -> None:
        """Forgets a connection that has ended."""
        if connection in self.open:
            self.open.remove(connection)
        self.send_waiting()

    def retire(self) -> None:
        """Closes each connection once it carries nothing; nothing new goes on it."""
        self._retired = True
        for connection in list(self.open):
            connection.suspect = True
            connection.close_if_idle()

    def close(self) -> None:
        """Closes all connections."""
        for connection in list(self.open):
            connection.connection.close("agent ends")


class ApplianceConnection:
    """One connection to an appliance.

    Attributes:
        connection: The HTTP/2 connection, set once it is made.
        pool: The pool that it belongs to.
        settled: Whether the appliance's settings have arrived.
        suspect: Whether nothing new may be sent on it; it carries on with what it has.
    """

    connection: Connection

    def __init__(self, pool: AppliancePool) -> None:
        self.pool = pool
        self.settled = False
        self.suspect = False
        self._used = pool.pools.now()  # when it last carried something
        self._timer: Any = None
        self._pings = 0

    @property
    def has_room(self) -> bool:
        """Whether another stream may be opened."""
        session = self.connection.session
        return (
            session.can_open_stream
            and not self.suspect
            and len(session.streams) < self.pool.pools.options.streams
        )

    # ---- events of the connection ----
    def on_stream(self, stream: Stream, headers: Headers) -> None:
        """Resets a stream that the appliance opens; it has none to open."""
        stream.reset()

    def on_settings(self) -> None:
        """Takes the connection into use, or applies new settings."""
        if not self.settled:
            self.settled = True
            self.pool.settled(self)
        else:
            self.pool.send_waiting()

    def close_if_unsettled(self) -> None:
        """Closes the connection if the appliance's settings have not arrived in time."""
        if not self.settled:
            self.connection.close("no settings in time")

    def on_goaway(self, code: int) -> None:
        """Sends nothing new, because the appliance takes no more streams."""
        self.suspect = True
        self.close_if_idle()
        self.pool.send_waiting()

    def on_lost(self, connection: Connection, why: str) -> None:
        """Handles the end of the connection."""
        if self._timer is not None:
            self.pool.pools.loop.remove_timeout(self._timer)
            self._timer = None
        self.pool.pools.log_event("appliance_link_lost", level="debug", address=self.pool.address, why=why)
        if self.settled:
            self.pool.lost(self)
        else:
            self.settled = True  # settings can no longer arrive
            self.pool.never_settled(why)

    # ---- use ----
    def stream_ended(self) -> None:
        """Notes that a stream has ended, which makes room for another."""
        self._used = self.pool.pools.now()
        if self.suspect:
            self.close_if_idle()
        self.pool.send_waiting()

    def check_alive(self) -> None:
        """Sends a ping, because an attempt got no answer in time.

        A connection whose other end has vanished looks like a slow one. It becomes suspect if the ping is not
        answered within the connect timeout.
        """
        if self.connection.closed or self.connection.session.pending_pings:
            return
        self._pings += 1
        payload = self._pings.to_bytes(8, "big")
        self.connection.session.ping(payload)
        self.pool.pools.loop.call_later(
            self.pool.pools.options.connect_timeout / 1e6, self._check_ping, payload
        )

    def _check_ping(self, payload: bytes) -> None:
        if self.connection.closed or self.suspect:
            return
        if payload in self.connection.session.pending_pings:
            self.suspect = True
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Closes the connection if it has carried nothing for the idle time, or at once if it is suspect."""
        if self.connection.closed:
            return
        pools = self.pool.pools
        idle = not self.connection.session.streams
        since = pools.now() - self._used
        if idle and (self.suspect or since >= pools.options.idle_time):
            pools.loop.add_callback(self.connection.close, "idle")
        elif self._timer is None:
            wait = (
                max(pools.options.idle_time - since, MIN_IDLE_CHECK_US) if idle else pools.options.idle_time
            )
            self._timer = pools.loop.call_later(wait / 1e6, self._check_idle)

    def _check_idle(self) -> None:
        self._timer = None
        self.close_if_idle()


class Exchange:
    """A request and its answer on a stream of their own: an attempt or a probe.

    Attributes:
        pools: The pools of the agent.
        timeout: How long it may take from its start, in microseconds.
        over: Whether it has ended.
        stream: Its stream, once it has been sent.
        began: When it was started, in microseconds.
    """

    timeout: int

    def __init__(self, pools: AppliancePools) -> None:
        self.pools = pools
        self.over = False
        self.stream: Stream | None = None
        self._connection: ApplianceConnection | None = None
        self._pool: AppliancePool | None = None  # where it waits for a connection
        self._timer: Any = None
        self.began = pools.now()

    def wait_in(self, pool: AppliancePool) -> None:
        """Starts to wait for a connection of a pool."""
        self._pool = pool
        wait = min(self.timeout, self.pools.options.connect_timeout)
        self._timer = self.pools.loop.call_later(wait / 1e6, self._on_timeout)

    def may_send(self) -> bool | None:
        """Whether it may still go out after waiting; None if that is being asked, and `cleared` follows."""
        return True

    def cleared(self, may_send: bool) -> None:
        """Sends it, or reports it as not sent, once it is known whether it may still go out."""
        if not self.over and may_send:
            self._pool.send_next(self)
        elif not self.over:
            self.not_sent()

    def send_on(self, connection: ApplianceConnection) -> None:
        """Sends the request on a connection."""
        self._connection = connection
        if self._timer is not None:
            self.pools.loop.remove_timeout(self._timer)
        left = self.began + self.timeout - self.pools.now()
        self._timer = self.pools.loop.call_later(max(0, left) / 1e6, self._on_timeout)
        self.stream = connection.connection.session.open(self.headers(max(left, 1)), self)
        self.send_body()

    def headers(self, left: int) -> list[tuple[bytes, bytes]]:
        """Returns the request's headers; the appliance has so many microseconds left to answer."""
        raise NotImplementedError

    def send_body(self) -> None:
        """Sends the request's body."""
        raise NotImplementedError

    def not_sent(self) -> None:
        """Reports that the request has never been sent."""
        raise NotImplementedError

    def timed_out(self) -> None:
        """Reports that no answer has come in time."""
        raise NotImplementedError

    def _on_timeout(self) -> None:
        self._timer = None
        if self.over:
            return
        if self._connection is None:
            self.not_sent()
            return
        self._drop(check_alive=True)
        self.finish()
        self.timed_out()

    def _drop(self, check_alive: bool) -> None:
        if self.stream is not None and not self.stream.closed:
            self.stream.reset()
            if check_alive:
                self._connection.check_alive()

    def finish(self) -> None:
        """Ends it; nothing more is reported of it."""
        self.over = True
        if self._timer is not None:
            self.pools.loop.remove_timeout(self._timer)
            self._timer = None
        if self._connection is not None:
            self._connection.stream_ended()

    def on_sent(self, stream: Stream, size: int) -> None:
        """Ignores how much of the request has been sent."""


class Attempt(Exchange):
    """One dispatch on its way.

    Its answer is held back until it is complete or too large to hold, and then passed on.

    Attributes:
        dispatch: The dispatch.
        call: The client's call.
        head: The answer's headers.
        body: The pieces of the answer's body that are held back.
        held: Their size in bytes.
        scanner: Checks the answer's messages.
        passing: Whether the answer is being passed on.
    """

    def __init__(self, pools: AppliancePools, dispatch: Dispatch, call: ClientCall) -> None:
        super().__init__(pools)
        self.dispatch, self.call = dispatch, call
        self.timeout = dispatch.timeout or max(1, dispatch.invocation.deadline - self.began)
        self.head: Headers = ()
        self.body: list[bytes] = []
        self.held = 0
        self.scanner = MessageScanner(pools.options.answer)
        self.passing = False

    # ---- the request ----
    def headers(self, left: int) -> list[tuple[bytes, bytes]]:
        """Returns the headers of the client's call with those of the dispatch."""
        invocation, request = self.dispatch.invocation, self.call.request
        return grpc.request_headers(
            request.path,
            self.pools.addresses.get(self.dispatch.appliance.id, "").encode(),
            left,
            [
                *request.metadata,
                (grpc_mapping.AGENT_HEADER, b"%d" % self.pools.options.me),
                (grpc_mapping.DISPATCH_HEADER, b"%d.%d" % (invocation.id, self.dispatch.number)),
            ],
        )

    def may_send(self) -> bool | None:
        """Asks the decisions whether the dispatch may still go out."""
        return self.pools.engine_host.may_send(self.dispatch)

    def send_body(self) -> None:
        """Sends the body of the client's call."""
        for piece in self.call.body[:-1]:
            self.stream.send_data(piece)
        self.stream.send_data(self.call.body[-1], end=True)

    def abandon(self, late: bool) -> None:
        """Stops waiting for the answer.

        Args:
            late: Whether this is because the dispatch has timed out.
        """
        if not self.over:
            self._drop(check_alive=late)
            self.finish()

    # ---- the answer ----
    def on_headers(self, stream: Stream, headers: Headers) -> None:
        """Takes the answer's headers; passes the answer of a streaming operation on from here."""
        self.head = headers
        if self.dispatch.invocation.operation.stream and grpc.find(headers, b":status") == b"200":
            self._pass_on()

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Holds a piece of the answer back, or passes it on."""
        try:
            self.scanner.feed(data)
        except MalformedError as error:
            self.pools.log_event("bad_answer", appliance=self.dispatch.appliance.id, why=str(error))
            stream.reset()
            self._end(ours.RESET)  # the appliance may have answered well
            return
        if self.passing:
            self.call.data(data)  # acknowledged as the client takes it
            return
        stream.acknowledge(len(data))
        append_piece(self.body, data)
        self.held += len(data)
        if self.held > self.pools.options.hold:
            self._pass_on()

    def _pass_on(self) -> None:
        if not self.pools.engine_host.claim_answer(self.dispatch):
            self.stream.reset()  # another attempt's answer is being passed on
            self._end(ours.CANCELLED)
            return
        self.passing = True
        self.call.begin(self.stream, self.head, self.body)
        self.body = []
        # from here on only the client's time limit counts
        self.pools.loop.remove_timeout(self._timer)
        left = self.dispatch.invocation.deadline - self.pools.options.margin - self.pools.now()
        self._timer = self.pools.loop.call_later(max(0, left) / 1e6, self._on_timeout)

    def on_end(self, stream: Stream, trailers: Headers) -> None:
        """Ends the dispatch with the answer, which is complete."""
        if not stream.end_sent:
            stream.reset(0)  # the appliance has answered before it had read the whole request
        result = grpc_mapping.result_of(self.head, trailers, self.scanner.whole)
        answer = None if self.passing or result != ours.SUCCEEDED else (self.head, self.body, trailers)
        if self.passing and result == ours.SUCCEEDED:
            answer = ((), [], trailers)
        self._end(result, grpc_mapping.load_of(trailers), answer)

    def on_aborted(self, stream: Stream, how: str, code: int) -> None:
        """Ends the dispatch without an answer."""
        self._end(grpc_mapping.ABORTED_RESULTS[how])

    def not_sent(self) -> None:
        """Ends the dispatch as not connected."""
        if not self.over:
            self._end(ours.UNCONNECTED)

    def timed_out(self) -> None:
        """Ends the dispatch as timed out."""
        self.pools.engine_host.dispatch_ended(self.dispatch, ours.TIMEOUT, passed=self.passing)

    def _end(
        self, result: str, load: Mapping[str, float] | None = None, answer: Answer | None = None
    ) -> None:
        if not self.over:
            self.finish()
            self.pools.engine_host.dispatch_ended(self.dispatch, result, load, answer, self.passing)


class ProbeAttempt(Exchange):
    """One Check of grpc.health.v1.

    Attributes:
        appliance: The appliance that is probed.
        head: The answer's headers.
        body: The beginning of the answer's body.
    """

    def __init__(self, pools: AppliancePools, appliance: Appliance) -> None:
        super().__init__(pools)
        self.appliance, self.timeout = appliance, pools.options.probe_timeout
        self.head: Headers = ()
        self.body = bytearray()

    def headers(self, left: int) -> list[tuple[bytes, bytes]]:
        """Returns the headers of the health check."""
        return grpc.request_headers(
            PROBE_PATH,
            self.pools.addresses.get(self.appliance.id, "").encode(),
            left,
            [(grpc_mapping.AGENT_HEADER, b"%d" % self.pools.options.me)],
        )

    def send_body(self) -> None:
        """Sends the health check."""
        self.stream.send_data(grpc.frame(health_pb2.HealthCheckRequest().SerializeToString()), end=True)

    def on_headers(self, stream: Stream, headers: Headers) -> None:
        """Takes the answer's headers."""
        self.head = headers

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Takes a piece of the answer, as far as one is needed."""
        stream.acknowledge(len(data))
        if len(self.body) < PROBE_ANSWER_BYTES:
            self.body += data

    def on_end(self, stream: Stream, trailers: Headers) -> None:
        """Ends the probe with the answer."""
        serving = False
        if grpc.status_of(self.head, trailers) == 0:
            try:
                (message,) = grpc.messages(bytes(self.body))
                serving = health_pb2.HealthCheckResponse.FromString(message).status == 1
            except (MalformedError, ValueError, DecodeError):
                serving = False
        self._answer(serving, grpc_mapping.load_of(trailers))

    def on_aborted(self, stream: Stream, how: str, code: int) -> None:
        """Ends the probe without an answer."""
        self._answer(False, None)

    def not_sent(self) -> None:
        """Ends the probe without an answer."""
        if not self.over:
            self._answer(False, None)

    def timed_out(self) -> None:
        """Ends the probe without an answer."""
        self.pools.engine_host.probe_ended(self.appliance, False, self.pools.now() - self.began, None)

    def _answer(self, serving: bool, load: Mapping[str, float] | None) -> None:
        if not self.over:
            self.finish()
            self.pools.engine_host.probe_ended(self.appliance, serving, self.pools.now() - self.began, load)

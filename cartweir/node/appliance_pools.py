"""The appliances' side of the node: connection pools, and the dispatches and probes sent on them.

A connection carries one request at a time. Until its last byte is with the kernel a request cannot have run,
and the outcome of a lost one reflects that.
"""

from __future__ import annotations

import asyncio
import socket
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from .. import interface as ours
from ..hosting.engine_host import EngineHost
from ..hosting.pools import ConnectionPools
from ..hosting.tcp import NonBlockingSocket, PendingConnection
from ..interface import Appliance, Dispatch
from . import http1, protocol
from .client_connection import ClientCall
from .http1 import HttpError, Response, ResponseParser
from .idle_limit import IdleLimit

EventLogger = Callable[..., None]

# Times in microseconds.
SWEEP_INTERVAL = 100_000
IDLE_LIMIT_DECAY_INTERVAL = 10_000_000
REST_TIME = 20_000  # a second copy of a response may arrive some milliseconds after it
CLIENT_CHECK_AGE = 1_000  # of an invocation; until then the loop itself has noticed a client that left
NO_IDLE_LIMIT = 1 << 60
MAX_LOGGED_REASON = 200  # characters

HOST_HEADER = (b"Host", b"backend.local")


@dataclass(frozen=True, slots=True)
class ApplianceOptions:
    """How appliances are reached; times in microseconds.

    Attributes:
        connect_timeout: For making a connection.
        probe_timeout: For a probe, including its wait for a connection.
        idle_time: After which an idle connection is closed, well before the appliance would; 0: never.
        max_connections: Connections to all appliances.
    """

    connect_timeout: int
    probe_timeout: int
    idle_time: int
    max_connections: int


class AppliancePools(ConnectionPools["AppliancePool"]):
    """All connections to appliances.

    Attributes:
        engine_host: Told the outcomes; set once it exists.
        idle: Idle connections, the one idle for longest first.
        connection_count: Connections that are open or being made.
        starved: Pools with waiting requests that may open no connection, in the order in which they asked.
    """

    def __init__(self, options: ApplianceOptions, now: Callable[[], int], log_event: EventLogger) -> None:
        super().__init__(lambda address: AppliancePool(self, address))
        self.options, self.now, self.log_event = options, now, log_event
        self.loop = asyncio.get_event_loop()
        self.engine_host: EngineHost | None = None
        self.idle: OrderedDict[ApplianceConnection, None] = OrderedDict()
        self.connection_count = 0
        self.starved: dict[AppliancePool, None] = {}
        self.idle_limit = IdleLimit(options.idle_time)
        self.loop.call_later(SWEEP_INTERVAL / 1e6, self._sweep)
        self.loop.call_later(IDLE_LIMIT_DECAY_INTERVAL / 1e6, self._decay_idle_limit)

    def start(self, dispatch: Dispatch, call: ClientCall) -> Attempt:
        """Sends a dispatch, unless its client has left."""
        attempt = Attempt(self, dispatch, call)
        if dispatch.sent - dispatch.invocation.arrived_at > CLIENT_CHECK_AGE and call.client_left():
            dispatch.unsent = True
            # the invocation was held, and its client has left meanwhile
            self.loop.call_soon(call.close_client)
            self.loop.call_soon(attempt.fail_unsent, ours.OBSOLETE)
        else:
            self.pool(dispatch.appliance).send(attempt)
        return attempt

    def probe(self, appliance: Appliance) -> None:
        """Sends a health check."""
        self.pool(appliance).send(ProbeAttempt(self, appliance))

    def make_room(self) -> bool:
        """Returns whether one more connection may be made; closes the one idle for longest if need be."""
        if self.connection_count >= self.options.max_connections and self.idle:
            next(iter(self.idle)).close()
        return self.connection_count < self.options.max_connections

    def on_capacity(self) -> None:
        """A connection was closed or has become idle: a starved pool may make one."""
        if self.starved:
            self.loop.call_soon(self._serve_starved)

    def _serve_starved(self) -> None:
        while self.starved:
            pool = next(iter(self.starved))
            if pool.waiting and not self.make_room():
                return
            del self.starved[pool]
            pool.open_more()

    def _sweep(self) -> None:
        if self.idle_limit.limit:
            oldest = self.now() - self.idle_limit.limit
            while self.idle and (connection := next(iter(self.idle))).last_used < oldest:
                connection.close()
        self.loop.call_later(SWEEP_INTERVAL / 1e6, self._sweep)

    def _decay_idle_limit(self) -> None:
        self.idle_limit.decay()
        self.loop.call_later(IDLE_LIMIT_DECAY_INTERVAL / 1e6, self._decay_idle_limit)


class AppliancePool:
    """Connections to one address.

    A request that finds no connection waits here, no longer than it may take to make one, and the decisions
    are asked once more before it is sent. After each response a connection rests: a late second copy of that
    response would otherwise be taken for the response to the next request.

    Attributes:
        idle: Idle connections; the one used last is reused first, once it has rested.
        opening: Connections being made.
        waiting: Requests that wait for a connection.
        last_input: When anything last arrived from the address.
        retired: Nothing new is sent here; connections are closed once they are idle.
    """

    def __init__(self, pools: AppliancePools, address: str) -> None:
        self.pools, self.address = pools, address
        self.idle: list[ApplianceConnection] = []
        self.opening: set[PendingConnection] = set()
        self.waiting: deque[_OutgoingRequest] = deque()
        self.last_input = 0
        self.retired = False
        self._rest_timer: asyncio.TimerHandle | None = None  # while a request waits for a resting connection

    def take_idle(self) -> ApplianceConnection | None:
        """Takes a connection that has rested, and on which nothing arrived since its last response."""
        now, resting, found = self.pools.now(), [], None
        while self.idle and found is None:
            connection = self.idle.pop()
            if now - connection.last_used < REST_TIME:
                resting.append(connection)
                continue
            self.pools.idle.pop(connection, None)
            if connection.socket.nothing_to_read() and now - connection.last_used < (
                self.pools.idle_limit.limit or NO_IDLE_LIMIT
            ):
                found = connection
            else:
                connection.close()
        self.idle += reversed(resting)
        return found

    def send(self, request: _OutgoingRequest) -> None:
        """Sends a request on an idle connection, or lets it wait for one."""
        connection = self.take_idle() if not self.waiting else None
        if connection is not None:
            request.send_on(connection)
            return
        request.wait_in(self)
        self.waiting.append(request)
        self.open_more()

    def open_more(self) -> None:
        """Makes a connection for each waiting request that has none being made or resting."""
        while len(self.waiting) > len(self.opening) + len(self.idle):
            if not self.pools.make_room():
                self.pools.starved[self] = None
                break
            self._open()
        if self.waiting and self.idle and self._rest_timer is None:
            left = REST_TIME - (self.pools.now() - self.idle[0].last_used)
            self._rest_timer = self.pools.loop.call_later(max(0, left) / 1e6, self._rest_over)

    def _open(self) -> None:
        """Begins to make a connection."""
        self.pools.connection_count += 1
        pending = PendingConnection(
            self.pools.loop,
            self.address,
            self.pools.options.connect_timeout,
            lambda sock, why: self._connected(pending, sock, why),
        )
        self.opening.add(pending)

    def _rest_over(self) -> None:
        self._rest_timer = None
        while self.waiting and (connection := self.take_idle()) is not None:
            self.serve_waiting(connection)
        self.open_more()

    def _connected(self, pending: PendingConnection, sock: socket.socket | None, why: str) -> None:
        self.opening.discard(pending)
        if sock is not None:
            self.serve_waiting(ApplianceConnection(self, sock))
            return
        self.pools.connection_count -= 1
        self.pools.on_capacity()
        self.pools.log_event("unconnected", level="debug", address=self.address, why=why)
        while len(self.waiting) > len(self.opening) + len(self.idle):  # no other connection is made for it
            self.waiting.popleft().fail_unsent()

    def serve_waiting(self, connection: ApplianceConnection) -> None:
        """Sends the next waiting request on a connection that can carry one."""
        while self.waiting:
            request = self.waiting.popleft()
            if request.ended:
                continue
            if not request.may_send():
                request.fail_unsent(ours.OBSOLETE)
            elif not connection.socket.closed and connection.socket.nothing_to_read():
                request.send_on(connection)
                return
            else:
                self.waiting.appendleft(request)
                connection.close()
                self.open_more()
                return
        self.make_idle(connection)

    def make_idle(self, connection: ApplianceConnection) -> None:
        """Keeps a connection that carries nothing for later use."""
        if self.retired:
            connection.close()
        elif not connection.socket.closed:
            connection.last_used = self.pools.now()
            self.idle.append(connection)
            self.pools.idle[connection] = None
            self.pools.on_capacity()
        if self.waiting:
            self.open_more()

    def close_idle(self) -> None:
        """Closes all idle connections.

        Guards against a machine that has vanished: its idle connections stay open and silent, and only a new
        connection shows that it is gone.
        """
        for connection in list(self.idle):
            connection.close()

    def retire(self) -> None:
        """Closes connections now or once they are idle; the appliance is gone or has another address."""
        self.retired = True
        self.close_idle()


class ApplianceConnection:
    """One connection to an appliance.

    Attributes:
        request: The request that waits for its response.
        last_used: When it was made, or last became idle.
        idle_time: For how long it had been idle before its latest request, in microseconds.
    """

    __slots__ = ("idle_time", "last_used", "parser", "pool", "request", "socket")

    def __init__(self, pool: AppliancePool, sock: socket.socket) -> None:
        self.pool, self.parser = pool, ResponseParser()
        self.request: _OutgoingRequest | None = None
        self.last_used, self.idle_time = pool.pools.now(), 0
        self.socket = NonBlockingSocket(pool.pools.loop, sock, self)

    def send(self, request: _OutgoingRequest, data: bytes) -> None:
        """Writes a request."""
        self.request, self.idle_time = request, self.pool.pools.now() - self.last_used
        self.parser.next()
        try:
            self.socket.write(data)
        except OSError as error:  # reported once the sender has returned
            self.pool.pools.loop.call_soon(self._lost, error.strerror or str(error), ours.UNCONNECTED)
            return
        if self.socket.unsent == len(data):
            # It has not left, and the time that it tells runs out: it is sent anew, if at all.
            self.pool.pools.loop.call_soon(self._lost, "nothing of it was taken", ours.OBSOLETE)

    def on_data(self, data: bytes) -> None:
        """Handles input from the appliance."""
        pools = self.pool.pools
        self.pool.last_input = pools.now()
        request = self.request
        if request is None:  # nothing was requested: whatever follows here is not to be trusted
            pools.log_event("late_data", address=self.pool.address, size=len(data))
            self.close()
            return
        try:
            self.parser.feed(data)
        except HttpError as error:
            self._log_bad_answer(error.reason)
            self._lost(error.reason, ours.RESET)  # the request has run, and may have succeeded
            return
        response = self.parser.response
        if response is None:
            return
        if not self.parser.has_extra_data and self.socket.has_data():
            return  # it came with more than its length covers: the next read tells what that is
        self.request = None
        length_fits = self.parser.length_fits
        pools.idle_limit.record_use(self.idle_time, False)
        if self.socket.unsent or not response.keep_alive or self.parser.has_extra_data:
            self.close()
        else:
            self.pool.make_idle(self)
        if length_fits:
            request.on_response(response)
        else:
            self._log_bad_answer("more than its length covers")
            request.on_wrong_length(response)

    def _log_bad_answer(self, why: str) -> None:
        self.pool.pools.log_event("bad_answer", address=self.pool.address, why=why[:MAX_LOGGED_REASON])

    def on_sent(self) -> None:
        """The kernel has taken the whole request."""

    def on_lost(self, why: str) -> None:
        """The connection was closed by the appliance, or broke."""
        if self.request is not None and not self.parser.in_message and self.parser.response is None:
            self.pool.pools.idle_limit.record_use(self.idle_time, True)
        self._lost(why, ours.UNCONNECTED if self.socket.unsent else ours.RESET)

    def _lost(self, why: str, outcome: str) -> None:
        request, self.request = self.request, None
        self.close()
        if request is not None:
            request.on_lost(outcome)

    def close(self) -> None:
        """Closes the connection at once."""
        if not self.socket.closed:
            self.socket.close()
            self.parser.close()
            pools = self.pool.pools
            pools.connection_count -= 1
            pools.idle.pop(self, None)
            if self in self.pool.idle:
                self.pool.idle.remove(self)
            pools.on_capacity()


class _OutgoingRequest:
    """One request to an appliance, from its wait for a connection to its end.

    Attributes:
        timeout: Microseconds from `began` to the end of the request.
        ended: Its outcome has been reported; nothing more is.
    """

    timeout = 0

    def __init__(self, pools: AppliancePools) -> None:
        self.pools, self.began, self.ended = pools, pools.now(), False
        self.pool: AppliancePool | None = None
        self.connection: ApplianceConnection | None = None
        self._timer: asyncio.TimerHandle | None = None

    def wait_in(self, pool: AppliancePool) -> None:
        """Starts the wait for a connection."""
        self.pool = pool
        wait = min(self.pools.options.connect_timeout, self.timeout)
        self._timer = self.pools.loop.call_later(wait / 1e6, self._not_connected)

    def _not_connected(self) -> None:
        if not self.ended and self.connection is None:
            if self in self.pool.waiting:
                self.pool.waiting.remove(self)
            self.fail_unsent()

    def may_send(self) -> bool:
        """Whether it is still to be sent after its wait."""
        return True

    def send_on(self, connection: ApplianceConnection) -> None:
        """Writes it on a connection, and starts the timer for its response."""
        if self._timer is not None:
            self._timer.cancel()
        self.pool, self.connection = connection.pool, connection
        left = max(1, self.began + self.timeout - self.pools.now())
        self._timer = self.pools.loop.call_later(left / 1e6, self._out_of_time)
        self.sent_at = self.pools.now()
        connection.send(self, self.encode(left))

    def encode(self, left: int) -> bytes:
        """Returns it as bytes; left: microseconds until its time is up."""
        raise NotImplementedError

    def on_response(self, response: Response) -> None:
        """The complete response has arrived."""
        raise NotImplementedError

    def on_wrong_length(self, response: Response) -> None:
        """More has arrived than the response's length covers: its body may be cut, and it has run."""
        self.on_lost(ours.RESET)

    def on_lost(self, outcome: str) -> None:
        """It ended without a response."""
        raise NotImplementedError

    def fail_unsent(self, outcome: str = ours.UNCONNECTED) -> None:
        """Ends it before anything was written."""
        if not self.ended:
            self.on_lost(outcome)

    def _out_of_time(self) -> None:
        if not self.ended:
            self.abort(late=True)
            self.on_lost(ours.TIMEOUT)

    def abort(self, late: bool) -> None:
        """Stops waiting; the connection is closed, since the response may still arrive on it.

        Args:
            late: Whether its time is up. If the appliance has also sent nothing since, the idle connections
                to it are closed as well.
        """
        connection, self.connection = self.connection, None
        if connection is None:
            if self.pool is not None and self in self.pool.waiting:
                self.pool.waiting.remove(self)  # so that no connection is made or counted for it
        else:
            connection.request = None
            connection.close()
            if late and connection.pool.last_input <= self.sent_at:
                connection.pool.close_idle()

    def finish(self) -> None:
        """Marks it as ended and stops its timer."""
        self.ended, self.connection = True, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Attempt(_OutgoingRequest):
    """One dispatch."""

    def __init__(self, pools: AppliancePools, dispatch: Dispatch, call: ClientCall) -> None:
        super().__init__(pools)
        self.dispatch, self.call = dispatch, call
        self.timeout = dispatch.timeout or max(1, dispatch.invocation.deadline - self.began)

    def wait_in(self, pool: AppliancePool) -> None:
        """Starts the wait for a connection."""
        self.dispatch.unsent = True
        super().wait_in(pool)

    def send_on(self, connection: ApplianceConnection) -> None:
        """Writes it on a connection, and starts the timer for its response."""
        self.dispatch.unsent = False
        super().send_on(connection)

    def encode(self, left: int) -> bytes:
        """Returns the client's request with the time that is left."""
        method, target, head = self.call.head
        return http1.encode_request(
            method,
            target,
            (HOST_HEADER, *head, (b"X-Timeout", b"%du" % left)),
            self.call.body,
        )

    def may_send(self) -> bool:
        """Whether the client still waits, and the decisions still want it sent."""
        if self.call.client_left():  # in the same turn in which the connection is ready
            self.pools.loop.call_soon(self.call.close_client)
            return False
        return self.pools.engine_host.may_send(self.dispatch)

    def on_response(self, response: Response) -> None:
        """Reports the outcome, with the body if it succeeded."""
        if not self.ended:
            self.finish()
            outcome = protocol.outcome_of(response)
            self.pools.engine_host.dispatch_ended(
                self.dispatch,
                outcome,
                None,
                ((), [response.body], ()) if outcome == ours.SUCCEEDED else None,
            )

    def on_lost(self, outcome: str) -> None:
        """Reports the outcome."""
        if not self.ended:
            self.finish()
            self.pools.engine_host.dispatch_ended(self.dispatch, outcome)

    def abandon(self, late: bool) -> None:
        """Stops waiting without a report; late: because its time is up."""
        if not self.ended:
            self.abort(late)
            self.finish()


class ProbeAttempt(_OutgoingRequest):
    """One health check."""

    def __init__(self, pools: AppliancePools, appliance: Appliance) -> None:
        super().__init__(pools)
        self.appliance, self.timeout = appliance, pools.options.probe_timeout

    def encode(self, left: int) -> bytes:
        """Returns the health check."""
        return http1.encode_request(b"GET", protocol.HEALTH_PATH, (HOST_HEADER,))

    def on_response(self, response: Response) -> None:
        """Reports the appliance as healthy if the status is OK."""
        self._report(response.status == protocol.OK_STATUS)

    def on_wrong_length(self, response: Response) -> None:
        """Goes by the status: nothing of the body is used."""
        self.on_response(response)

    def on_lost(self, outcome: str) -> None:
        """Reports the appliance as not healthy."""
        self._report(False)

    def _report(self, healthy: bool) -> None:
        if not self.ended:
            self.finish()
            self.pools.engine_host.probe_ended(self.appliance, healthy, self.pools.now() - self.began, None)

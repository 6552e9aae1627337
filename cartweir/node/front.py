"""The clients' side of the node: the listener, all connections, and the check of each request.

Silent connections are closed first when descriptors run short.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from ..hosting.clock import Clock
from ..hosting.engine_host import EngineHost
from ..hosting.log_limiter import LogLimiter
from ..hosting.receive_queue import queued_data, waiting_connections
from ..hosting.tcp import split_address
from ..interface import Operation
from ..logic.eviction import RETRY_INTERVAL, EvictionPolicy, Idleness
from ..logic.executed_requests import ExecutedRequests, nothing_ran
from ..logic.overload import retry_advice
from ..logic.reading_time import REQUEST_TIMEOUT
from ..logic.request_memory import RequestMemory
from . import protocol
from .client_connection import NOT_YET, ClientCall, ClientConnection, CloseReason, retry_headers
from .http1 import HttpError, Request
from .request_check import CheckedRequest, check_request

# Times in microseconds.
MS = 1000
SWEEP_INTERVAL = 100 * MS
ACCEPT_PAUSE = 10 * MS  # after a connection could not be accepted for want of resources
LINGER_TIME = 500 * MS  # for a client that is still sending to read why its connection ends
STALE_INPUT_AGE = 20 * MS  # input read so long after it arrived may be of a client that has left meanwhile

DRAIN_ACCEPT_TIME = 600 * MS  # clients still connect for so long after the order to end
DRAIN_ACCEPT_INTERVAL = 20 * MS  # between looks for connections that still wait to be accepted then
MAX_DRAIN_TIME = 3_000 * MS  # draining takes the longest time limit, at most this long, ...
DRAIN_MARGIN = 600 * MS  # ... and so much more

LISTEN_BACKLOG = 1024  # connections that wait in the kernel to be accepted
ACCEPTS_PER_TURN = 32
ACCEPT_RETRIES = 1  # at once, of an accept that failed for want of resources: that may pass in a moment
# errors of accept
NO_DESCRIPTORS = frozenset((errno.EMFILE, errno.ENFILE))
NO_RESOURCES = NO_DESCRIPTORS | {errno.ENOBUFS, errno.ENOMEM}
EventLogger = Callable[..., None]


class FrontLimits(NamedTuple):
    """What all clients together may take.

    Attributes:
        clients: Connections at a time.
        request_bytes: Bytes that their requests and responses may hold.
        remembered_ids: Ids that are remembered, since their requests may have run.
    """

    clients: int
    request_bytes: int
    remembered_ids: int


class Front:
    """Listens for clients and serves them.

    Attributes:
        max_clients: Connections of clients at a time.
        ready: Tells whether the readiness path may invite clients.
        clients: All connections.
        idle: Connections without an open request, the one idle for longest first.
        calls: Open requests by their id.
        draining: The order to end has come.
        refused: Requests refused so far, by the status of their responses.
        evicted: Connections closed so far to make room.
        closed: Connections closed so far, by reason.
        memory: The bytes that requests and responses hold.
        executed: The ids of requests that may have run.
        max_time_limit: The longest time limit of any operation.
        drain_deadline: While draining: when every open request has been answered.
    """

    def __init__(
        self,
        engine_host: EngineHost,
        clock: Clock,
        limits: FrontLimits,
        log_event: EventLogger,
        ready: Callable[[], bool] = lambda: True,
    ) -> None:
        self.engine_host, self.clock = engine_host, clock
        self.max_clients, self.memory = limits.clients, RequestMemory(limits.request_bytes)
        self.log_event, self.ready = log_event, ready
        self.loop = asyncio.get_event_loop()
        self.operations: Mapping[bytes, Operation] = {
            name.encode(): operation for name, operation in engine_host.operations.items()
        }
        self.clients: set[ClientConnection] = set()
        self.idle: OrderedDict[ClientConnection, None] = OrderedDict()
        self.calls: dict[bytes, ClientCall] = {}
        self.draining = False
        self.refused: Counter[int] = Counter()
        self.evicted = 0
        self._refusals_logged = LogLimiter()
        self.closed: Counter[CloseReason] = Counter()
        self.max_time_limit = max(
            (operation.time_limit for operation in engine_host.operations.values()), default=0
        )
        self.executed = ExecutedRequests(limits.remembered_ids, self.max_time_limit, clock.now())
        self.drain_deadline = 0
        self._listener: socket.socket | None = None
        self._accepting = True  # whether the loop watches the listener
        self._accepted_late = False  # connections may have waited for more than the turn before
        self._pause: asyncio.TimerHandle | None = None  # after a connection could not be accepted
        self._eviction = EvictionPolicy(limits.clients)
        self._retry: asyncio.TimerHandle | None = None  # while no client gives way, and many wait

    def listen(self, address: str) -> str:
        """Returns the address with the port that was bound.

        Raises:
            OSError: The address cannot be bound.
        """
        host, port = split_address(address)
        self._listener = sock = socket.socket(
            socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
        self.loop.add_reader(sock.fileno(), self._accept)
        self.loop.call_later(SWEEP_INTERVAL / 1e6, self._sweep)
        bound_host, bound_port = sock.getsockname()[:2]
        return f"{bound_host}:{bound_port}"

    # ---- connections ----
    def _accept(self, max_count: int = ACCEPTS_PER_TURN) -> bool:
        """Accepts a few connections; returns whether none waits any more.

        A few at a time, so that many new connections do not delay the clients already connected. When all
        places are taken by clients with open requests, the others wait in the kernel's queue: accepting and
        closing them would lose the requests they have sent.
        """
        failures = 0  # in a row
        for _ in range(max_count):
            if self._listener is None:
                return True
            if len(self.clients) >= self.max_clients and not self._evict():
                self._wait_for_place()
                return False
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                self._accepted_late = False
                self._eviction.update(0)
                return True
            except OSError as error:
                if error.errno not in NO_RESOURCES or (error.errno in NO_DESCRIPTORS and self._evict()):
                    continue  # that connection has broken already, or there is room now
                failures += 1
                if failures <= ACCEPT_RETRIES:
                    continue
                self._pause_accepting(error)
                return False
            failures = 0
            sock.setblocking(False)
            client = ClientConnection(self, sock)
            if self._accepted_late:
                client.arrived_at = client.last_active - queued_data(sock).age
            self.clients.add(client)
            self.idle[client] = None
        self._accepted_late = True  # what is left waits for further turns
        return False

    def _wait_for_place(self) -> None:
        """Accepts nobody until a client leaves or is old enough to give way."""
        self.set_accepting(False)
        if self._retry is None and self._eviction.many_wait:
            self._retry = self.loop.call_later(RETRY_INTERVAL / 1e6, self._end_retry)

    def _end_retry(self) -> None:
        self._retry = None
        self.set_accepting(True)

    def _pause_accepting(self, error: OSError) -> None:
        """Stops watching the listener for a moment: it would be reported again at once, in a busy loop."""
        self.set_accepting(False)
        if self._pause is None:
            self.log_event("accept_paused", level="warning", why=error.strerror)
            self._pause = self.loop.call_later(ACCEPT_PAUSE / 1e6, self._end_pause)

    def _end_pause(self) -> None:
        self._pause = None
        self.set_accepting(True)

    def set_accepting(self, accepting: bool) -> None:
        """Watches the listener for new connections, or stops watching it."""
        if self._listener is None or (accepting and self._pause is not None):
            return
        if accepting != self._accepting:
            self._accepting = accepting
            self._accepted_late = True
            if accepting:
                self.loop.add_reader(self._listener.fileno(), self._accept)
            else:
                self.loop.remove_reader(self._listener.fileno())

    def _evict(self) -> bool:
        """Closes an idle connection to make room; returns whether there was one.

        Never one whose input the loop has not had the time to read, nor one that
        has not taken its whole response.
        """
        if self._listener is not None:
            self._eviction.update(waiting_connections(self._listener))
        now = self.clock.now()
        candidates: dict[Idleness, ClientConnection] = {}
        for client in self.idle:
            idleness = client.idleness
            if (
                idleness not in candidates
                and self._eviction.may_go(idleness, now - client.last_active)
                and not client.socket.unsent
                and client.socket.nothing_to_read()
            ):
                candidates[idleness] = client
                if idleness == Idleness.SILENT:
                    break
        if not candidates:
            return False
        self.evicted += 1
        candidates[min(candidates)].close(CloseReason.EVICTED)
        return True

    def _sweep(self) -> None:
        # Scheduled first, so that an error below does not end the sweeps.
        self.loop.call_later(SWEEP_INTERVAL / 1e6, self._sweep)
        now = self.clock.now()
        for client in list(self.idle):
            self._sweep_client(client, now)
        self.set_accepting(True)

    def _sweep_client(self, client: ClientConnection, now: int) -> None:
        age, unsent = now - client.last_active, client.socket.unsent
        if unsent:  # it reads slowly, or not at all
            self.memory.charge(client, unsent)
            if unsent != client.unsent_before:
                client.last_active, client.unsent_before = now, unsent
            elif age > self.max_time_limit + LINGER_TIME:
                client.close(CloseReason.NOT_READ)
        elif client.closing:  # closing with unread input would reset what the client has not read yet
            if age > REQUEST_TIMEOUT or (age > LINGER_TIME and client.socket.nothing_to_read()):
                client.close(CloseReason.RESPONDED)
        elif client.parser.in_message:
            if age > REQUEST_TIMEOUT and client.socket.nothing_to_read():
                client.refuse(408, "no whole request in time")
        elif (
            (not client.served and age > REQUEST_TIMEOUT)
            or (client.served and self.draining and self._listener is None)
        ) and client.socket.nothing_to_read():
            client.close(CloseReason.DRAINING if client.served else CloseReason.NO_REQUEST)

    def settle(self, client: ClientConnection, call: ClientCall, throttled: bool = False) -> None:
        """Forgets the id of a request that needs no response any more, if nothing ran."""
        if nothing_ran(call.invocation, throttled):
            self.executed.release(call.id, call.operation.effect, client.ids, self.clock.now())

    def free_memory(self) -> bool:
        """Has incomplete requests give way until the limit is kept; returns whether it is."""
        while self.memory.is_exceeded():
            client = self.memory.give_way()
            if client is None:
                return False
            client.refuse(503, "no memory for a request of this size now", self._retry_headers())
        return True

    def _retry_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        return retry_headers(retry_advice(self.engine_host.settings))

    def record_refusal(self, client: ClientConnection, status: int, reason: str) -> None:
        """Counts a refused request, and logs some of them with the reason."""
        self.refused[status] += 1
        if self._refusals_logged.allows(self.clock.now()):
            self.log_event(
                "refused",
                status=status,
                why=repr(reason),
                open_request=client.call.id.decode("latin-1") if client.call else "",
                suppressed=self._refusals_logged.take_suppressed(),
            )

    # ---- requests ----
    def handle_request(self, client: ClientConnection, request: Request) -> None:
        """Checks a request and hands it to the decisions.

        Raises:
            HttpError: The request is refused.
        """
        arrived = min(self.clock.arrival_time(), client.arrived_at)
        client.arrived_at = NOT_YET
        if (not client.served or self.clock.now() - arrived > STALE_INPUT_AGE) and client.socket.at_end():
            client.close(CloseReason.CLIENT_GONE)  # the client left while it waited or the process stalled
            return
        path = request.target.partition(b"?")[0]
        if path == protocol.READY_PATH:
            client.respond(404 if self.draining else 200 if self.ready() else 503, b"")
            return
        checked = check_request(request, path, self.operations)
        if checked.id in self.calls:
            raise HttpError(409, "a request with this id is open")
        if self.executed.contains(checked.id, self.clock.now()):
            raise HttpError(409, "a request with this id may have run")
        self.memory.charge_open(client, len(request.body))
        if not self.free_memory():
            self._turn_away(client, "throttled_without_memory")
        elif not self._reserve_id(client, checked):
            self._turn_away(client, "throttled_without_id_place")
        else:
            self._take(client, checked, arrived)

    def _reserve_id(self, client: ClientConnection, checked: CheckedRequest) -> bool:
        return self.executed.reserve(
            checked.id, checked.operation.effect, client.ids, len(self.clients), self.clock.now()
        )

    def _turn_away(self, client: ClientConnection, reason: str) -> None:
        """Responds that nothing ran, and when to retry; reason: what it is counted as."""
        self.engine_host.counts[reason] += 1
        client.respond(429, b"", self._retry_headers())

    def _take(self, client: ClientConnection, checked: CheckedRequest, arrived: int) -> None:
        """Hands a request to the decisions."""
        time_limit, attributes = checked.time_limit, checked.attributes()
        if self.draining:  # answered before the end is forced
            time_limit = max(1, min(time_limit, self.drain_deadline - arrived))
        call = client.call = self.calls[checked.id] = ClientCall(client, checked)
        invocation = self.engine_host.accept(call, checked.operation, arrived, time_limit, **attributes)
        if call.client is not None:
            call.invocation = invocation

    # ---- the end ----
    def drain(self) -> None:
        """Ends each connection with its next response.

        New connections are still accepted for a while. Idle clients learn from the end of their connections
        after that while that they are to go elsewhere.
        """
        self.draining = True
        self.drain_deadline = self.clock.now() + min(self.max_time_limit, MAX_DRAIN_TIME) + DRAIN_MARGIN
        self.loop.call_later(DRAIN_ACCEPT_TIME / 1e6, self._stop_listening)

    def _stop_listening(self) -> None:
        """Closes the listener once nothing waits there, and the idle connections.

        Closing a listener resets the connections that wait to be accepted, together with the requests they
        have sent already, so they are accepted first.
        """
        if self._listener is None:
            return
        if not self._accept(LISTEN_BACKLOG) and self.clock.now() < self.drain_deadline - DRAIN_MARGIN:
            self.loop.call_later(DRAIN_ACCEPT_INTERVAL / 1e6, self._stop_listening)
            return
        self._close_listener()
        for client in list(self.idle):
            if (
                client.served
                and not (client.closing or client.parser.in_message or client.socket.unsent)
                and client.socket.nothing_to_read()
            ):
                # a request that crosses this end stays unread and is retried elsewhere
                client.close(CloseReason.DRAINING)

    def _close_listener(self) -> None:
        if self._listener is not None:
            self.set_accepting(False)
            self._listener.close()
            self._listener = None

    @property
    def busy(self) -> bool:
        """Clients may still connect, send a request, wait for a response or read one."""
        return self._listener is not None or bool(self.clients)

    def close(self) -> None:
        """Closes the listener and all connections at once."""
        self._close_listener()
        for client in list(self.clients):
            client.close(CloseReason.STOPPED)

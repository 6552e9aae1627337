"""The appliances' side: connections to each, one request at a time on each, and the attempts and probes on them.

What an attempt has proved is told apart by what has left: until the last byte is with the kernel nothing can have run.
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
from .front import Call
from .http1 import Answer, Answers, MalformedError
from .trust import Trust

EventLogger = Callable[..., None]
SWEEP = 100_000
FADE = 10_000_000
REST = 20_000  # microseconds: an answer's second copy may come some milliseconds behind it
HELD = 1_000  # microseconds in which the loop hears of a client that goes: after that it is asked


@dataclass(frozen=True, slots=True)
class Reach:
    """Times in microseconds."""

    connect_timeout: int
    probe_timeout: int
    idle_time: int  # ours end well before the other side would end them; 0: never
    most: int  # connections to all appliances


class Links(ConnectionPools["Pool"]):
    """All connections to appliances."""

    def __init__(self, reach: Reach, now: Callable[[], int], log_event: EventLogger) -> None:
        super().__init__(lambda address: Pool(self, address))
        self.reach, self.now, self.log_event = reach, now, log_event
        self.loop = asyncio.get_event_loop()
        self.engine_host: EngineHost | None = None  # set once the seat is there
        self.idle: OrderedDict[Link, None] = OrderedDict()  # the one idle for longest first
        self.count = 0  # connections that are open or being made
        self.starved: dict[Pool, None] = {}  # with requests that wait, and no room for a connection; in order
        self.trust = Trust(reach.idle_time)
        self.loop.call_later(SWEEP / 1e6, self._sweep)
        self.loop.call_later(FADE / 1e6, self._fade)

    def start(self, dispatch: Dispatch, call: Call) -> Attempt:
        attempt = Attempt(self, dispatch, call)
        if dispatch.sent - dispatch.invocation.arrived_at > HELD and call.gone():
            self.loop.call_soon(call.leave)  # it was held, and nobody waits for it any more
            self.loop.call_soon(attempt.unsent, ours.OBSOLETE)
        else:
            self.pool(dispatch.appliance).send(attempt)
        return attempt

    def probe(self, appliance: Appliance) -> None:
        self.pool(appliance).send(ProbeAttempt(self, appliance))

    def room(self) -> bool:
        """For one connection more; the one that has been idle for longest makes way."""
        if self.count >= self.reach.most and self.idle:
            next(iter(self.idle)).close()
        return self.count < self.reach.most

    def freed(self) -> None:
        """A connection was closed, or carries nothing: there is room again."""
        if self.starved:
            self.loop.call_soon(self._serve_starved)

    def _serve_starved(self) -> None:
        while self.starved:
            pool = next(iter(self.starved))
            if pool.waiting and not self.room():
                return
            del self.starved[pool]
            pool.open_more()

    def _sweep(self) -> None:
        if self.trust.limit:
            old = self.now() - self.trust.limit
            while self.idle and (link := next(iter(self.idle))).used < old:
                link.close()
        self.loop.call_later(SWEEP / 1e6, self._sweep)

    def _fade(self) -> None:
        self.trust.fade()
        self.loop.call_later(FADE / 1e6, self._fade)


class Pool:
    """Connections to one address. What finds none waits here, no longer than one may take to be made, and the decisions
    are asked once more before it goes. A connection rests behind each answer: guards against a second copy that comes
    late, which whoever is next on it would be given."""

    def __init__(self, links: Links, address: str) -> None:
        self.links, self.address = links, address
        self.idle: list[Link] = []  # the one used last goes out first, once it has rested
        self.opening: set[PendingConnection] = set()
        self.waiting: deque[_Sent] = deque()
        self.heard = 0  # when anything last came from there
        self.retired = False
        self._timer: asyncio.TimerHandle | None = None  # while somebody waits for one that rests

    def free(self) -> Link | None:
        """A connection that has rested, and on which nothing has come since its last answer."""
        now, resting, found = self.links.now(), [], None
        while self.idle and found is None:
            link = self.idle.pop()
            if now - link.used < REST:
                resting.append(link)
                continue
            self.links.idle.pop(link, None)
            if link.socket.nothing_to_read() and now - link.used < (self.links.trust.limit or 1 << 60):
                found = link
            else:
                link.close()
        self.idle += reversed(resting)
        return found

    def send(self, sent: _Sent) -> None:
        link = self.free() if not self.waiting else None
        if link is not None:
            sent.go(link)
            return
        sent.wait(self)
        self.waiting.append(sent)
        self.open_more()

    def open_more(self) -> None:
        """Nobody waits for what is neither on its way nor at rest."""
        while len(self.waiting) > len(self.opening) + len(self.idle):
            if not self.links.room():
                self.links.starved[self] = None
                break
            self.links.count += 1
            connecting = PendingConnection(
                self.links.loop,
                self.address,
                self.links.reach.connect_timeout,
                lambda sock, why: self._connected(connecting, sock, why),
            )
            self.opening.add(connecting)
        if self.waiting and self.idle and self._timer is None:
            left = REST - (self.links.now() - self.idle[0].used)
            self._timer = self.links.loop.call_later(max(0, left) / 1e6, self._rested)

    def _rested(self) -> None:
        self._timer = None
        while self.waiting and (link := self.free()) is not None:
            self.released(link)
        self.open_more()

    def _connected(self, connecting: PendingConnection, sock: socket.socket | None, why: str) -> None:
        self.opening.discard(connecting)
        if sock is not None:
            self.released(Link(self, sock))
            return
        self.links.count -= 1
        self.links.freed()
        self.links.log_event("unconnected", level="debug", address=self.address, why=why)
        while len(self.waiting) > len(self.opening) + len(self.idle):  # nobody else opens one for it
            self.waiting.popleft().unsent()

    def released(self, link: Link) -> None:
        """A connection that can carry the next one."""
        while self.waiting:
            sent = self.waiting.popleft()
            if sent.over:
                continue
            if not sent.still_goes():
                sent.unsent(ours.OBSOLETE)
            elif not link.socket.closed and link.socket.nothing_to_read():
                sent.go(link)
                return
            else:
                self.waiting.appendleft(sent)
                link.close()
                self.open_more()
                return
        self.answered(link)

    def answered(self, link: Link) -> None:
        """A connection that carries nothing."""
        if self.retired:
            link.close()
        elif not link.socket.closed:
            link.used = self.links.now()
            self.idle.append(link)
            self.links.idle[link] = None
            self.links.freed()
        if self.waiting:
            self.open_more()

    def doubt(self) -> None:
        """Guards against a machine that has vanished: its idle connections stay open and silent. A new one tells."""
        for link in list(self.idle):
            link.close()

    def retire(self) -> None:
        self.retired = True
        self.doubt()


class Link:
    """One connection."""

    __slots__ = ("pool", "socket", "reader", "sent", "used", "idle")

    def __init__(self, pool: Pool, sock: socket.socket) -> None:
        self.pool, self.reader = pool, Answers()
        self.sent: _Sent | None = None
        self.used, self.idle = pool.links.now(), 0  # idle: for how long before its latest request
        self.socket = NonBlockingSocket(pool.links.loop, sock, self)

    def go(self, sent: _Sent, data: bytes) -> None:
        self.sent, self.idle = sent, self.pool.links.now() - self.used
        self.reader.next()
        try:
            self.socket.write(data)
        except OSError as error:  # told once whoever sends it has returned
            self.pool.links.loop.call_soon(self._lost, error.strerror or str(error), ours.UNCONNECTED)

    def on_data(self, data: bytes) -> None:
        self.pool.heard = self.pool.links.now()
        sent = self.sent
        if sent is None:  # nobody asked: whatever follows here is not to be trusted
            self.close()
            return
        try:
            answer = self.reader.feed(data)
        except MalformedError as error:
            self.pool.links.log_event("bad_answer", address=self.pool.address, why=error.reason[:200])
            self._lost(error.reason, ours.RESET)  # it has run, and may have been answered well
            return
        if answer is None:
            return
        self.sent = None
        self.pool.links.trust.note(self.idle, False)
        if self.socket.unsent or not answer.stays or self.reader.surplus:
            self.close()
        else:
            self.pool.answered(self)
        sent.answered(answer)

    def on_sent(self) -> None:
        pass

    def on_lost(self, why: str) -> None:
        if self.sent is not None and not self.reader.begun:
            self.pool.links.trust.note(self.idle, True)
        self._lost(why, ours.UNCONNECTED if self.socket.unsent else ours.RESET)

    def _lost(self, why: str, how: str) -> None:
        sent, self.sent = self.sent, None
        self.close()
        if sent is not None:
            sent.lost(how)

    def close(self) -> None:
        if not self.socket.closed:
            self.socket.close()
            self.reader.close()
            self.pool.links.count -= 1
            self.pool.links.idle.pop(self, None)
            if self in self.pool.idle:
                self.pool.idle.remove(self)
            self.pool.links.freed()


class _Sent:
    """One request on its way to an appliance, from its wait for a connection to its end."""

    patience = 0

    def __init__(self, links: Links) -> None:
        self.links, self.began, self.over = links, links.now(), False
        self.pool: Pool | None = None
        self.link: Link | None = None
        self._timer: asyncio.TimerHandle | None = None

    def wait(self, pool: Pool) -> None:
        self.pool = pool
        wait = min(self.links.reach.connect_timeout, self.patience)
        self._timer = self.links.loop.call_later(wait / 1e6, self._not_connected)

    def _not_connected(self) -> None:
        if not self.over and self.link is None:
            if self in self.pool.waiting:
                self.pool.waiting.remove(self)
            self.unsent()

    def still_goes(self) -> bool:
        return True

    def go(self, link: Link) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.pool, self.link = link.pool, link
        left = max(1, self.began + self.patience - self.links.now())
        self._timer = self.links.loop.call_later(left / 1e6, self._out_of_time)
        self.left_at = self.links.now()
        link.go(self, self.text(left))

    def text(self, left: int) -> bytes:
        raise NotImplementedError

    def answered(self, answer: Answer) -> None:
        raise NotImplementedError

    def lost(self, how: str) -> None:
        raise NotImplementedError

    def unsent(self, how: str = ours.UNCONNECTED) -> None:
        if not self.over:
            self.lost(how)

    def _out_of_time(self) -> None:
        if not self.over:
            self.drop(late=True)
            self.lost(ours.TIMEOUT)

    def drop(self, late: bool) -> None:
        """Stop waiting: the connection goes with it, as its answer may still come."""
        link, self.link = self.link, None
        if link is None:
            if self.pool is not None and self in self.pool.waiting:
                self.pool.waiting.remove(self)  # nobody's connection is opened, or counted, for it
        else:
            link.sent = None
            link.close()
            if late and link.pool.heard <= self.left_at:
                link.pool.doubt()

    def done(self) -> None:
        self.over, self.link = True, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Attempt(_Sent):
    """One dispatch."""

    def __init__(self, links: Links, dispatch: Dispatch, call: Call) -> None:
        super().__init__(links)
        self.dispatch, self.call = dispatch, call
        self.patience = dispatch.timeout or max(1, dispatch.invocation.deadline - self.began)

    def text(self, left: int) -> bytes:
        method, target, head = self.call.head
        return http1.request(
            method,
            target,
            ((b"Host", b"backend.local"), *head, (b"X-Timeout", b"%du" % left)),
            self.call.body,
        )

    def still_goes(self) -> bool:
        if self.call.gone():  # in the very turn in which the connection is ready
            self.links.loop.call_soon(self.call.leave)
            return False
        return self.links.engine_host.may_send(self.dispatch)

    def answered(self, answer: Answer) -> None:
        if not self.over:
            self.done()
            how = protocol.outcome_of(answer)
            self.links.engine_host.dispatch_ended(
                self.dispatch, how, None, ((), [answer.body], ()) if how == ours.SUCCEEDED else None
            )

    def lost(self, how: str) -> None:
        if not self.over:
            self.done()
            self.links.engine_host.dispatch_ended(self.dispatch, how)

    def abandon(self, late: bool) -> None:
        if not self.over:
            self.drop(late)
            self.done()


class ProbeAttempt(_Sent):
    def __init__(self, links: Links, appliance: Appliance) -> None:
        super().__init__(links)
        self.appliance, self.patience = appliance, links.reach.probe_timeout

    def text(self, left: int) -> bytes:
        return http1.request(b"GET", protocol.HEALTHY, ((b"Host", b"backend.local"),))

    def answered(self, answer: Answer) -> None:
        self._tell(answer.status == 200)

    def lost(self, how: str) -> None:
        self._tell(False)

    def _tell(self, healthy: bool) -> None:
        if not self.over:
            self.done()
            self.links.engine_host.probe_ended(self.appliance, healthy, self.links.now() - self.began, None)

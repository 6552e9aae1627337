"""The discovery client: keeps a watch on the list of appliances open while the decisions want one, and hands on what it says.

One connection at a time, but for the moment in which a new address takes over from an old one. The decisions are told how each
call ended, since the two kinds of failure differ in what may be trusted: discovery that is away has told nobody anything, while
discovery that may be there and gave no answer may hold changes that count as told. A call that fails late looks the same whether
discovery is away or has too many callers; a watch that breaks off says that it has gone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from .. import interface as ours
from ..hosting import internal_errors
from ..hosting.backoff import Backoff
from ..hosting.engine_host import EngineHost
from ..hosting.tcp import READ_SIZE, connect, spawn, split_address
from . import http1, protocol
from .http1 import MalformedError, Pieces
from .jsonstream import JsonStream
from .links import Links

# Times in microseconds.
CONNECT_TIMEOUT = 1_000_000
ANSWER_TIMEOUT = (
    4_000_000  # for an answer: calls are worked through in turn, and whoever gives up queues again
)
HEARTBEAT_TIMEOUT = 2_800_000  # an empty line is due every 2 s
REFUSAL_TIME = (
    250_000  # a connection that ends sooner, with no byte of an answer, was refused, not worked through
)
MAX_LIST_BYTES = 16 * 1024 * 1024
EventLogger = Callable[..., None]


class CallFailed(Exception):
    """A call to discovery ended without a usable answer, or its watch ended."""


class Unreachable(CallFailed):
    """Discovery could not be reached, or went while a watch was open."""


class _Call:
    """One request to discovery and its answer as it arrives."""

    def __init__(self, stream: IOStream, now: Callable[[], int]) -> None:
        self.stream, self.now = stream, now
        self.reader = Pieces()
        self.objects = JsonStream(MAX_LIST_BYTES)
        self.current_at = (
            now()
        )  # up to when nothing can have been missed: its start, then each heartbeat and object
        self.watching = False  # a watch has told a list: it ends only when discovery does
        self._started_at = self.current_at
        self._answered = False

    def request(self, target: bytes, host: str) -> None:
        self.stream.write(http1.request(b"GET", target, ((b"Host", host.encode()),)))

    async def read(self) -> list[Any]:
        """The objects that have become whole with the next bytes. Raises CallFailed, MalformedError and ValueError."""
        data = await self._bytes(HEARTBEAT_TIMEOUT if self.watching else ANSWER_TIMEOUT)
        self._answered = True
        found = self.objects.feed(self.reader.take(data))
        if self.reader.status not in (0, 200):
            raise CallFailed(f"status {self.reader.status}")
        if self.objects.between_objects and (found or self.watching):
            self.current_at = self.now()
        return found

    async def _bytes(self, wait: int) -> bytes:
        try:
            async with asyncio.timeout(wait / 1e6):  # wait_for may swallow the word to end
                return await self.stream.read_bytes(READ_SIZE, partial=True)
        except TimeoutError:
            raise CallFailed(f"nothing for {wait // 1000} ms") from None
        except StreamClosedError as error:
            why = str(error.real_error or "closed by the other side")
            refused = not self._answered and self.now() - self._started_at < REFUSAL_TIME
            raise (Unreachable if refused or self.watching else CallFailed)(why) from None
        except UnsatisfiableReadError:
            raise CallFailed("too much to read") from None

    def close(self) -> None:
        self.stream.close()


class Discovery:
    """waits: where lists are pushed, how soon a watch that ended is opened anew; elsewhere the decisions ask for it."""

    def __init__(
        self,
        engine_host: EngineHost,
        links: Links,
        address: str,
        now: Callable[[], int],
        log_event: EventLogger,
        backoff: Backoff | None = None,
    ) -> None:
        self.engine_host, self.links, self.address, self.now, self.log_event = (
            engine_host,
            links,
            address,
            now,
            log_event,
        )
        self.backoff = backoff
        self.version: int | None = None
        self.synchronized = False  # it has told something in this process, or was out of reach
        self._told = 0  # lists and changes followed so far
        self._watch: asyncio.Task | None = None
        self._lost = False

    def start(self, listed: Mapping[str, Any]) -> None:
        """With the list held last: it may be old, and nobody knows what has been told since. What is asked for is what has
        changed: whole lists for all agents that start at once take discovery longer than they may go without."""
        try:
            self._apply(ours.CACHED, listed.get("endpoints", ()))
        except ValueError as error:
            self.log_event("list_bad", level="warning", why=str(error))
            self.engine_host.apply_list(ours.CACHED)
        else:
            self.version = _version_of(listed)
        self.engine_host.apply_list(ours.UNANSWERED, waited=None)

    def subscribe(self) -> None:
        if self._watch is None or self._watch.done():
            self._watch = spawn(self._watching(None))

    def fetch(self) -> None:
        spawn(self._fetching())

    def move(self, address: str) -> None:
        """Another address from now on; the old watch ends once the new one has told something."""
        if address != self.address:
            self.address, old = address, self._watch
            self._watch = spawn(self._watching(old))

    # ---- calls ----
    async def _watching(self, old: asyncio.Task | None) -> None:
        """Ends with the watch: whether and when to ask again is the decisions' to say."""
        call: _Call | None = None
        me = asyncio.current_task()
        failure: Exception | None = None
        began = self.now()
        try:
            after = b"" if self.version is None else b"&from=%d" % self.version
            call = await self._call(b"/api/targets?watch=1" + after)
            while True:
                for told in await call.read():
                    self._listing(told)
                    call.watching = True
                    if old is not None:
                        old.cancel()
                        old = None
                if call.reader.answer is not None:
                    raise CallFailed("the watch was ended")
                if call.watching and call.objects.between_objects and self._watch is me:
                    self.engine_host.apply_list(ours.UNCHANGED)
        except (CallFailed, MalformedError, OSError, ValueError, RecursionError, StreamClosedError) as error:
            failure = error
        except Exception as error:  # a fault of ours: told, and the watch is opened anew
            internal_errors.log_internal_error(self.log_event, "in a list", error)
            failure = error
        finally:
            if old is not None:
                old.cancel()
            if call is not None:
                call.close()
        if self._watch is me:
            if not self._lost:
                self._lost = True
                self.log_event(
                    "discovery_lost", level="warning", why=(str(failure) or type(failure).__name__)[:200]
                )
            self._watch = None
            self._failed(failure, began if call is None else call.current_at)
            if self.backoff is not None:
                await asyncio.sleep(self.backoff.next_delay())
                self.subscribe()

    async def _fetching(self) -> None:
        call: _Call | None = None
        told, began = self._told, self.now()
        try:
            call = await self._call(b"/api/targets")
            found: list[Any] = []
            while call.reader.answer is None:
                found += await call.read()
            if len(found) != 1:
                raise CallFailed(f"{len(found)} lists in an answer")
            self._listing(found[0], overtaken=told != self._told)
        except (CallFailed, MalformedError, OSError, ValueError, RecursionError, StreamClosedError) as error:
            self.log_event("fetch_failed", level="warning", why=str(error)[:200])
            self._failed(error, began)
        except Exception as error:
            internal_errors.log_internal_error(self.log_event, "in a list", error)
            self._failed(error, began)
        finally:
            if call is not None:
                call.close()

    async def _call(self, target: bytes) -> _Call:
        """Raises Unreachable."""
        try:
            stream = await connect(*split_address(self.address), CONNECT_TIMEOUT)
        except OSError as error:
            raise Unreachable(error.strerror or str(error)) from None
        if asyncio.current_task().cancelling():  # swallowed on the way: another watch stands by now
            stream.close()
            raise CallFailed("no longer wanted")
        call = _Call(stream, self.now)
        call.request(target, self.address)
        return call

    def _failed(self, failure: Exception | None, current_at: int) -> None:
        """current_at: up to when nothing can have been missed."""
        waited = self.now() - current_at
        if isinstance(failure, Unreachable):
            self.synchronized = True
            self.engine_host.apply_list(ours.UNREACHABLE, waited=waited)
        else:
            self.engine_host.apply_list(ours.UNANSWERED, waited=waited)

    # ---- what it says ----
    def _listing(self, told: Any, overtaken: bool = False) -> None:
        """overtaken: something else was told since it was asked for. Raises ValueError."""
        if not isinstance(told, dict) or not isinstance(told.get("endpoints"), list):
            raise ValueError(f"no list: {str(told)[:80]!r}")
        version = _version_of(told)
        whole = bool(told.get("snapshot"))
        if (
            version is not None
            and self.version is not None
            and version < self.version
            and (overtaken or not whole)
        ):
            self.log_event("list_old", level="warning", version=version, held=self.version)
            if overtaken:
                return  # of a call from before what is held now
            self.version = None  # changes of another life of discovery: asked anew, for the whole list
            raise ValueError(f"changes up to {version} where more was told before")
        self._apply(ours.SNAPSHOT if whole else ours.DELTA, told["endpoints"])
        self.version, self._told = version, self._told + 1
        self.synchronized = True
        if self.backoff is not None:
            self.backoff.reset()
        if self._lost:
            self._lost = False
            self.log_event("discovery_back", version=self.version)
        self.log_event("list", level="debug", version=self.version, named=len(told["endpoints"]))

    def _apply(self, how: str, entries: Any) -> None:
        rows, unread = protocol.parse_entries(entries, self.now())
        if unread:
            self.log_event("list_bad", level="warning", entries=len(unread), first=unread[0][:200])
        for row, address in rows:
            if address:
                self.links.addresses[row.id] = address
        self.links.retire_gone(self.engine_host.apply_list(how, [row for row, _ in rows]))


def _version_of(told: Mapping[str, Any]) -> int | None:
    version = told.get("index")
    return version if type(version) is int else None

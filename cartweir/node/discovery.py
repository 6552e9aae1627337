"""The list of appliances: a watch while the decisions want one, and what it says. One connection at a time, but for the
moment in which a new address takes over from an old one."""
from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from ..hosting import faults
from ..hosting.seat import Seat
from ..hosting.tcp import CHUNK, connect, spawn, split_address
from ..hosting.waits import Waits
from . import http1
from . import names
from .http1 import Malformed, Pieces
from .jsonstream import JsonStream
from .links import Links

CONNECT = 1_000_000         # microseconds
FIRST = 2_500_000           # for the first word of an answer: calls are worked through in turn
QUIET = 2_800_000           # an empty line is due every 2 s: a watch that is silent for so long has gone
MOST_LIST = 4 * 1024 * 1024
AGAIN = 50_000, 2_000_000   # of a watch that the decisions do not ask for again
Note = Callable[..., None]


class Lost(Exception):
    """The watch has ended."""


class Discovery:
    """waits: where lists are pushed, how soon a watch that ended is opened anew; elsewhere the decisions ask for it."""

    def __init__(self, seat: Seat, links: Links, address: str, now: Callable[[], int], note: Note,
                 waits: Waits | None = None) -> None:
        self.seat, self.links, self.address, self.now, self.note = seat, links, address, now, note
        self.waits = waits
        self.version: int | None = None
        self._told = 0                          # lists and changes followed so far
        self._watch: asyncio.Task | None = None
        self._lost = False

    def start(self, listed: Mapping[str, Any]) -> None:
        """With the list held last: it may be old."""
        try:
            self._apply("cached", listed.get("endpoints", ()))
        except ValueError as error:
            self.note("list_bad", level="warning", why=str(error))
            self.seat.listed("cached", ())

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

    # ---- the watch ----
    async def _watching(self, old: asyncio.Task | None) -> None:
        """Ends with the watch: whether and when to ask again is the decisions' to say."""
        stream: IOStream | None = None
        me, why = asyncio.current_task(), ""
        try:
            after = b"" if self.version is None else b"&from=%d" % self.version
            stream, reader = await self._asked(b"/api/targets?watch=1" + after)
            objects, wait = JsonStream(MOST_LIST), FIRST
            while True:
                data = await self._read(stream, wait)
                for told in objects.feed(reader.take(data)):
                    wait = QUIET
                    self._listing(told)
                    if old is not None:
                        old.cancel()
                        old = None
                if reader.status not in (0, 200):
                    raise Lost(f"status {reader.status}")
                if reader.answer is not None:
                    raise Lost("the watch was ended")
        except (Lost, Malformed, OSError, ValueError, RecursionError, StreamClosedError) as error:
            why = str(error) or type(error).__name__
        except Exception as error:              # a fault of ours: told, and the watch is opened anew
            faults.tell(self.note, "in a list", error)
            why = f"an error of the agent: {error!r}"
        finally:
            if old is not None:
                old.cancel()
            if stream is not None:
                stream.close()
        if self._watch is me:
            if not self._lost:
                self._lost = True
                self.note("discovery_lost", level="warning", why=why[:200])
            self._watch = None
            self.seat.listed("failed")
            if self.waits is not None:
                await asyncio.sleep(self.waits.again())
                self.subscribe()

    async def _fetching(self) -> None:
        stream: IOStream | None = None
        told = self._told
        try:
            stream, reader = await self._asked(b"/api/targets")
            objects, found = JsonStream(MOST_LIST), []
            while reader.answer is None:
                found += objects.feed(reader.take(await self._read(stream, FIRST)))
            if reader.answer.status != 200:
                raise Lost(f"status {reader.answer.status}")
            if len(found) != 1:
                raise Lost(f"{len(found)} lists in an answer")
            self._listing(found[0], overtaken=told != self._told)
        except (Lost, Malformed, OSError, ValueError, RecursionError, StreamClosedError) as error:
            self.note("fetch_failed", level="warning", why=str(error)[:200])
            self.seat.listed("failed")
        except Exception as error:
            faults.tell(self.note, "in a list", error)
            self.seat.listed("failed")
        finally:
            if stream is not None:
                stream.close()

    async def _asked(self, target: bytes) -> tuple[IOStream, Pieces]:
        stream = await connect(*split_address(self.address), CONNECT)
        if asyncio.current_task().cancelling():     # swallowed on the way: another watch stands by now
            stream.close()
            raise Lost("no longer wanted")
        stream.write(http1.request(b"GET", target, ((b"Host", self.address.encode()),)))
        return stream, Pieces()

    async def _read(self, stream: IOStream, wait: int) -> bytes:
        try:
            async with asyncio.timeout(wait / 1e6):     # wait_for may swallow the word to end
                return await stream.read_bytes(CHUNK, partial=True)
        except TimeoutError:
            raise Lost(f"nothing for {wait // 1000} ms") from None
        except StreamClosedError as error:
            raise Lost(str(error.real_error or "closed by the other side")) from None
        except UnsatisfiableReadError:
            raise Lost("too much to read") from None

    # ---- what it says ----
    def _listing(self, told: Any, overtaken: bool = False) -> None:
        """overtaken: something else was told since it was asked for. Raises ValueError."""
        if not isinstance(told, dict) or not isinstance(told.get("endpoints"), list):
            raise ValueError(f"no list: {str(told)[:80]!r}")
        version = told.get("index")
        version = version if type(version) is int else None
        whole = bool(told.get("snapshot"))
        if version is not None and self.version is not None and version < self.version and (overtaken or not whole):
            self.note("list_old", level="warning", version=version, held=self.version)
            if overtaken:
                return              # of a call from before what is held now
            self.version = None     # changes of another life of discovery: asked anew, for the whole list
            raise ValueError(f"changes up to {version} where more was told before")
        self._apply("whole" if whole else "changes", told["endpoints"])
        self.version, self._told = version, self._told + 1
        if self.waits is not None:
            self.waits.fine()
        if self._lost:
            self._lost = False
            self.note("discovery_back", version=self.version)
        self.note("list", level="debug", version=self.version, named=len(told["endpoints"]))

    def _apply(self, how: str, entries: Any) -> None:
        rows, unread = names.rows_of(entries, self.now())
        if unread:
            self.note("list_bad", level="warning", entries=len(unread), first=unread[0][:200])
        for row, address in rows:
            if address:
                self.links.addresses[row.ident] = address
        self.links.listed(self.seat.listed(how, [row for row, _ in rows]))

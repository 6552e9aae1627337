"""A stand-in registry: a list of appliances that is fetched or watched.

It can be late, fail, be gone, fall silent, and lose its list or go back to an older one. It limits its load:
whole lists are sent at a stated rate, and changes alone to those for whom they suffice.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque

from ..fleet.admission import AdmissionControl
from ..fleet.list_filter import registry_incarnation
from ..hosting.clock import monotonic
from ..proto import agent_pb2 as pb
from ..wire.calls import CallError, Request, Service, retry_later
from ..wire.connection import Tap
from ..wire.grpc import Status

PUT = "/cartweir.standin.Registry/Put"  # how appliances of other processes enter themselves
CHANGES = 512  # that are remembered
AGE_UNIT = 1_000  # microseconds: the ages in a list are told to this precision


class Registry(Service):
    """Serves the calls of agents and appliances.

    Attributes:
        late: Microseconds between a change and its announcement.
        admission: Limits the whole lists that are sent; None: all are.
        counts: What was sent so far, by kind.
    """

    def __init__(
        self, late: int = 0, tap: Tap | None = None, admission: AdmissionControl | None = None
    ) -> None:
        super().__init__(tap=tap)
        self.late = late  # microseconds between a change and the word of it
        self.failing = False  # fetches fail, watches break
        self.silent = False  # what is asked gets no answer
        self.admission = admission
        self.counts: Counter[str] = Counter()
        self.asked_at: deque[int] = deque(maxlen=100_000)  # when lists were asked for
        self.incarnation = time.time_ns() // 1000
        self.began_here = True  # this life, with no list of one before
        self.version = 0
        self._changes: deque[tuple[int, str]] = deque(maxlen=CHANGES)  # version, appliance
        self._told: tuple[int, int, bytes] = (-1, 0, b"")  # version, when made, the whole list
        self.entries: dict[str, pb.Entry] = {}
        self._started: dict[str, int] = {}
        self._watches: set[Request] = set()
        self.views: dict[
            int, tuple[int, int, dict[str, pb.Entry]]
        ] = {}  # by agent: the state() it is told instead
        self.handlers["/cartweir.v1.Registry/Fetch"] = self._fetch
        self.handlers["/cartweir.v1.Registry/Watch"] = self._watch
        self.handlers[PUT] = self._enter

    def put(self, entry: pb.Entry, started: int = 0) -> None:
        """A change; started: on this machine's monotonic clock, 0 for long ago."""
        if self.late:
            asyncio.get_running_loop().call_later(self.late / 1e6, self._put, entry, started)
        else:
            self._put(entry, started)

    async def _enter(self, request: Request) -> bytes:
        entry = pb.Entry.FromString(request.message)
        self.put(entry, monotonic() - entry.age if entry.age else 0)
        return b""

    def _put(self, entry: pb.Entry, started: int) -> None:
        self.version += 1
        self._started[entry.appliance] = started
        if entry.state == pb.GONE:
            self.entries.pop(entry.appliance, None)
        else:
            self.entries[entry.appliance] = entry
        self._changes.append((self.version, entry.appliance))
        self._tell(
            pb.Listing(incarnation=self.incarnation, version=self.version, entries=[self._aged(entry)])
        )

    def _aged(self, entry: pb.Entry) -> pb.Entry:
        started = self._started.get(entry.appliance, 0)
        entry.age = max(1, monotonic() - started) if started else 0
        return entry

    def _tell(self, listing: pb.Listing) -> None:
        self._watches = {watch for watch in self._watches if not watch.cancelled}
        for watch in self._watches:
            if pb.Hello.FromString(watch.message).agent not in self.views:
                watch.send(listing.SerializeToString())

    def _whole(self) -> bytes:
        """Returns the whole list, made once for all who ask in the same moment."""
        now = monotonic()
        if self._told[0] != self.version or now - self._told[1] > AGE_UNIT:
            entries = [self._aged(entry) for entry in self.entries.values()]
            listing = pb.Listing(
                incarnation=self.incarnation, version=self.version, whole=True, entries=entries
            )
            self._told = (self.version, now, listing.SerializeToString())
            self.counts["made"] += 1
        return self._told[2]

    def _since(self, hello: pb.Hello) -> bytes:
        """What has changed since the list that is held, if that is still known; else the whole one."""
        if (
            now := registry_incarnation(self.incarnation, self.began_here, hello.incarnation)
        ) != self.incarnation:
            self.incarnation, self._told = now, (-1, 0, b"")
        if (
            hello.incarnation == self.incarnation
            and hello.version <= self.version
            and (hello.version + 1 >= (self._changes[0][0] if self._changes else self.version + 1))
        ):
            names = dict.fromkeys(name for version, name in self._changes if version > hello.version)
            entries = [
                self._aged(self.entries[n]) if n in self.entries else pb.Entry(appliance=n, state=pb.GONE)
                for n in names
            ]
            self.counts["changes"] += 1
            return pb.Listing(
                incarnation=self.incarnation, version=self.version, entries=entries
            ).SerializeToString()
        self.counts["whole"] += 1
        return self._whole()

    async def _list(self, request: Request) -> bytes | None:
        """None: it gets no answer."""
        self.counts["asked"] += 1
        self.asked_at.append(monotonic())
        if self.silent:
            return None
        if self.failing:
            raise CallError(Status.UNAVAILABLE, "the registry fails")
        if self.admission is not None:
            verdict = self.admission.decide(monotonic())
            if verdict.wait is None:
                self.counts["refused"] += 1
                raise retry_later("too many ask for lists", verdict.retry_after)
            await asyncio.sleep(verdict.wait / 1e6)
        hello = pb.Hello.FromString(request.message)
        if hello.agent in self.views:  # as a copy that lags answers: whole, of its own age
            incarnation, version, entries = self.views[hello.agent]
            return pb.Listing(
                incarnation=incarnation,
                version=version,
                whole=True,
                entries=[self._aged(entry) for entry in entries.values()],
            ).SerializeToString()
        return self._since(hello)

    async def _fetch(self, request: Request) -> bytes | None:
        return await self._list(request)

    async def _watch(self, request: Request) -> None:
        listing = await self._list(request)
        if listing is not None and not request.cancelled:
            request.send(listing)
            self._watches.add(request)

    def begin_anew(self, part: float = 0.0, clock: int = 0) -> None:
        """Begins another incarnation, as after a loss: its versions start anew. Watches break.

        Args:
            part: The part of its list that it keeps.
            clock: By how many microseconds its clock is off.
        """
        kept = list(self.entries)[: round(part * len(self.entries))]
        self.entries = {name: self.entries[name] for name in kept}
        self.incarnation, self.version, self.began_here = time.time_ns() // 1000 + clock, 0, True
        self._changes.clear()
        self._told = (-1, 0, b"")
        self._break("the registry has begun anew")

    def go_back(self, to: tuple[int, int, dict[str, pb.Entry]]) -> None:
        """Goes back to what `state` gave earlier, as a copy that is put back. Watches break."""
        self.incarnation, self.version, entries = to
        self.began_here = False
        self.entries = dict(entries)
        self._changes.clear()
        self._told = (-1, 0, b"")
        self._break("the registry went back")

    def state(self) -> tuple[int, int, dict[str, pb.Entry]]:
        """Returns the incarnation, the version and the entries."""
        return self.incarnation, self.version, dict(self.entries)

    def _break(self, why: str) -> None:
        for link in list(self.connections):
            link.close(why)

    def fail(self, failing: bool) -> None:
        """Begins or ends to fail; open watches break."""
        self.failing = failing
        if failing:
            self._break("the registry fails")

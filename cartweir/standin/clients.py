"""Light gRPC clients: seeded arrivals, popular keys, retries and time limits of their own."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any

from ..agent.grpc_mapping import ANSWER, CUSTOMER, KEY, RETRY, WORK
from ..audit.decode import ATTEMPT_HEADER
from ..hosting.clock import monotonic
from ..wire import grpc
from ..wire.calls import CallError, Channel
from ..wire.connection import Tap
from ..wire.grpc import Status
from .appliance import MARK, OPERATION

CONNECT_TIMEOUT = 1_000_000  # microseconds
MIN_TIME_LEFT = 20_000  # microseconds; a call with less left of its time limit is not tried again
BODY = b"." * 200


@dataclass
class Kind:
    """A kind of calls; times in microseconds.

    Attributes:
        operation: The operation's name.
        path: The gRPC method's path.
        share: How often it is called, relative to other kinds.
        work: Mean work of a call.
        slo_time: Within which an answer counts as in time.
        time_limit: After which the client gives up.
        marked: A call carries a mark by which repeats are recognized.
    """

    operation: str
    path: str
    share: float
    work: int
    slo_time: int
    time_limit: int
    marked: bool = False


@dataclass(frozen=True)
class _Attempt:
    """One attempt at a call, as it is sent; times in microseconds."""

    kind: Kind
    address: str
    time_limit: int
    work: int
    key: int
    mark: bytes
    number: int


@dataclass
class Load:
    """What one run of clients sends, and what came of it."""

    kinds: list[Kind]
    addresses: list[str]
    rate: float  # first tries a second
    seed: int = 1
    keys: int = 20_000
    retries: int = 2
    try_share: float = 0.4  # a try is given up after at least this part of the time limit
    connections: int = 2  # to each agent
    tap: Tap | None = None
    counts: dict[tuple[str, str], int] = field(default_factory=Counter)  # by operation and end
    ended: list[tuple[int, int, bool]] = field(default_factory=list)  # began, took, succeeded, of each call
    _tries: int = 0

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        self._channels = {
            address: [Channel(address, CONNECT_TIMEOUT, tap=self.tap) for _ in range(self.connections)]
            for address in self.addresses
        }
        self._running: set[asyncio.Task] = set()
        # popular keys: the n-th of them comes 1/n as often
        self._weights = list(accumulate(1 / (n + 1) ** 0.8 for n in range(self.keys)))

    async def run(self, seconds: float) -> None:
        """Sends for so long, then waits for the last to end."""
        end = monotonic() + int(seconds * 1e6)
        due = monotonic()
        while True:
            due += int(self.chance.expovariate(self.rate) * 1e6)
            if due >= end:
                break
            if (wait := due - monotonic()) > 0:
                await asyncio.sleep(wait / 1e6)
            kind = self.chance.choices(self.kinds, [k.share for k in self.kinds])[0]
            task = asyncio.ensure_future(self._one(kind, random.Random(self.chance.getrandbits(60))))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
        while self._running:
            await asyncio.wait(self._running)

    async def _one(self, kind: Kind, chance: random.Random) -> None:
        began = monotonic()
        succeeded = await self._call(kind, chance, began)
        self.ended.append((began, monotonic() - began, succeeded))

    async def _call(self, kind: Kind, chance: random.Random, began: int) -> bool:
        """Makes one call with its client's own retries; returns whether it succeeded."""
        work = max(1000, int(kind.work * chance.lognormvariate(-0.125, 0.5)))
        key = chance.choices(range(self.keys), cum_weights=self._weights)[0]
        mark = b"%x" % chance.getrandbits(64)
        address = chance.choice(self.addresses)
        self.counts[kind.operation, "asked"] += 1
        for number in range(self.retries + 1):
            left = began + kind.time_limit - monotonic()
            if left < MIN_TIME_LEFT:
                break
            patience = min(left, int(kind.time_limit * chance.uniform(self.try_share, 1.0)))
            attempt = _Attempt(kind, address, patience, work, key, mark, number)
            how, pushback = await self._try(attempt, chance)
            self.counts[kind.operation, how] += 1
            if how == "succeeded":
                late = monotonic() - began > kind.slo_time
                self.counts[kind.operation, "late" if late else "in time"] += 1
                return True
            if how == "terminated" and (pushback or 0) < 0:
                return False
            if how in ("lost", "unreached") and len(self.addresses) > 1:
                address = chance.choice([a for a in self.addresses if a != address])
            await asyncio.sleep(max(pushback or 0, chance.uniform(0.02, 0.06) * 2**number * 1000) / 1000)
        return False

    async def _try(self, attempt: _Attempt, chance: random.Random) -> tuple[str, int | None]:
        """Sends an attempt; returns how it ended, and the advised delay in milliseconds if there is one."""
        self._tries += 1
        metadata = [
            (ATTEMPT_HEADER, b"%d-%d" % (self.seed, self._tries)),
            (WORK, grpc.encode_timeout(attempt.work)),
            (KEY, b"k%d" % attempt.key),
            (OPERATION, attempt.kind.operation.encode()),
            (CUSTOMER, b"c%d" % (attempt.key % 4)),
        ]
        if attempt.kind.marked:
            metadata.append((MARK, attempt.mark))
        if attempt.number:
            metadata.append((RETRY, b"1"))
        channel = chance.choice(self._channels[attempt.address])
        try:
            await channel.unary(attempt.kind.path, BODY, attempt.time_limit, metadata)
            return "succeeded", None
        except CallError as error:
            answer = grpc.find(error.metadata, ANSWER)
            pushback: Any = grpc.find(error.metadata, grpc.PUSHBACK)
            pushback = int(pushback) if pushback else None
            if answer is not None:
                return answer.decode(), pushback
            if error.status == Status.DEADLINE_EXCEEDED:
                return "no answer", None
            if error.status == Status.UNAVAILABLE:
                return ("unreached" if error.never_ran else "lost"), None
            return "answered " + Status(error.status).name, pushback

    def close(self) -> None:
        """Closes all connections."""
        for channels in self._channels.values():
            for channel in channels:
                channel.close()

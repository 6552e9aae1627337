"""The discovery client: keeps a watch on the list of appliances while the decisions want one.

There is one connection at a time, except while a new address takes over from an old one. Each failure is
reported to the decisions with its kind, since kinds differ in whether the list may still be relied on:
discovery that is down has announced nothing to anybody, while discovery that may be running and gave no
answer may hold changes that count as announced. A call that fails late looks the same whether discovery is
down or has too many callers. Discovery is down where its host refuses connections, or ends a watch. A watch
that falls silent and a connection that never comes up show nothing: this agent may be cut off.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Mapping
from typing import Any

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from .. import interface as ours
from ..hosting import internal_errors
from ..hosting.backoff import Backoff
from ..hosting.engine_host import EngineHost
from ..hosting.tcp import READ_SIZE, connect, spawn, split_address
from ..interface import Appliance
from . import http1, protocol
from .appliance_pools import AppliancePools
from .http1 import HttpError, StreamedResponseParser
from .jsonstream import JsonStream
from .start_times import ServerStart, StartTimes

# Times in microseconds.
CONNECT_TIMEOUT = 1_000_000
ANSWER_TIMEOUT = 4_000_000  # discovery works through calls in turn, and a caller that gives up queues again
HEARTBEAT_TIMEOUT = 2_800_000  # an empty line is expected every 2 s
REFUSAL_TIME = 250_000  # a connection that ends sooner without a byte was refused, not worked through
# By which the other host shows that discovery is not running there. All other errors may be of the way to it,
# or of this process.
ENDED_BY_HOST = frozenset((errno.ECONNREFUSED, errno.ECONNRESET, errno.EPIPE))
MAX_LIST_BYTES = 16 * 1024 * 1024
MAX_LOGGED_REASON = 200  # characters

LIST_PATH = b"/api/targets"
WATCH_PATH = b"/api/targets?watch=1"

EventLogger = Callable[..., None]


class CallFailedError(Exception):
    """A call to discovery ended without a usable answer, or its watch ended."""


class DiscoveryDownError(CallFailedError):
    """Discovery's host refused a connection, or ended a watch."""


# What a call can fail with, besides internal errors.
_CALL_ERRORS = (CallFailedError, HttpError, OSError, ValueError, RecursionError, StreamClosedError)


class _Call:
    """One request to discovery and its answer as it arrives.

    Attributes:
        current_at: Up to when no change can have been missed: the start, then each heartbeat and the begin of
            each object.
        arriving: For how many microseconds the value that the last read completed was arriving before that
            read; not 0 if a part of the next one is behind it.
        watching: A watch has delivered a list; it ends only when discovery does.
    """

    def __init__(self, stream: IOStream, now: Callable[[], int]) -> None:
        self.stream, self.now = stream, now
        self.parser = StreamedResponseParser()
        self.values = JsonStream(MAX_LIST_BYTES)
        self.current_at = now()
        self.arriving = 0
        self.watching = False
        self._started_at = self._read_at = self._value_began_at = self.current_at
        self._answered = False

    def request(self, target: bytes, host: str) -> None:
        """Writes the request."""
        self.stream.write(http1.encode_request(b"GET", target, ((b"Host", host.encode()),)))

    async def read(self) -> list[Any]:
        """Returns the JSON values that the next bytes complete.

        Raises:
            CallFailedError: The answer ended, failed or came too late.
            HttpError: The answer is not acceptable HTTP.
            ValueError: A value cannot be decoded.
        """
        data = await self._read_bytes(HEARTBEAT_TIMEOUT if self.watching else ANSWER_TIMEOUT)
        self._answered = True
        self._read_at = self.now()
        if self.values.between_values and self.values.at_line_start:
            self._value_began_at = self._read_at
        found = self.values.feed(self.parser.take(data))
        if self.parser.status not in (0, protocol.OK_STATUS):
            raise CallFailedError(f"status {self.parser.status}")
        began_at = self._value_began_at
        if found or (self.watching and self.values.between_values):
            self.current_at = began_at
        self.arriving = self._read_at - began_at
        if found and not self.values.between_values:  # the next one is behind it
            self.arriving = max(1, self.arriving)
            self._value_began_at = self._read_at
        return found

    async def _read_bytes(self, timeout: int) -> bytes:
        try:
            async with asyncio.timeout(timeout / 1e6):  # asyncio.wait_for may swallow a cancellation
                return await self.stream.read_bytes(READ_SIZE, partial=True)
        except TimeoutError:
            raise CallFailedError(f"nothing for {timeout // 1000} ms") from None
        except StreamClosedError as error:
            why = str(error.real_error or "closed by the other side")
            refused = not self._answered and self.now() - self._started_at < REFUSAL_TIME
            is_down = (refused or self.watching) and _ended_by_host(error.real_error)
            raise (DiscoveryDownError if is_down else CallFailedError)(why) from None
        except UnsatisfiableReadError:
            raise CallFailedError("too much to read") from None

    def close(self) -> None:
        """Closes the connection."""
        self.stream.close()


class DiscoveryClient:
    """Follows the list of appliances.

    Attributes:
        backoff: Where lists are pushed, the delays before a watch that ended is reopened. None: the decisions
            ask for each watch.
        version: Version of the list that is held; None where it is unknown.
        synchronized: Discovery has delivered a list in this process, or was down.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - the parts of the agent that it connects, and its one setting
        self,
        engine_host: EngineHost,
        appliance_pools: AppliancePools,
        address: str,
        now: Callable[[], int],
        log_event: EventLogger,
        backoff: Backoff | None = None,
    ) -> None:
        self.engine_host, self.appliance_pools = engine_host, appliance_pools
        self.address, self.now, self.log_event = address, now, log_event
        self.backoff = backoff
        self.version: int | None = None
        self.synchronized = False
        self._start_times = StartTimes()
        self._applied_count = 0  # lists and deltas applied so far
        self._watch: asyncio.Task | None = None
        self._watch_call: _Call | None = None  # of the watch
        self._lost = False

    def start(self, known_list: Mapping[str, Any]) -> None:
        """Begins with the list held last, whose age is unknown.

        The first watch asks for the changes since that list: whole lists for all agents that start at once
        would take discovery longer than agents may go without.
        """
        try:
            self._apply(ours.CACHED, known_list.get("endpoints", ()))
        except ValueError as error:
            self.log_event("list_bad", level="warning", why=str(error))
            self.engine_host.apply_list(ours.CACHED)
        else:
            self.version = _version_of(known_list)
        self.engine_host.apply_list(ours.UNANSWERED, waited=None)

    def subscribe(self) -> None:
        """Opens a watch, unless one is open."""
        if self._watch is None or self._watch.done():
            self._watch = spawn(self._run_watch(None))

    def fetch(self) -> None:
        """Requests the whole list once."""
        spawn(self._run_fetch())

    def move(self, address: str) -> None:
        """Uses another address from now on; the old watch ends once the new one has delivered something.

        The decisions count the time until then from here, whether a call fails or not, and from when the old
        watch fell silent, if it has. The address may also be the one in use.
        """
        if self._watch_call is not None and self._watch_call.watching:
            self.engine_host.list_incomplete(self._watch_call.current_at)
        self.engine_host.discovery_moved()
        if address != self.address:
            self.address, old = address, self._watch
            self._watch_call = None
            self._watch = spawn(self._run_watch(old))

    # ---- calls ----
    async def _run_watch(self, old: asyncio.Task | None) -> None:
        """Runs a watch to its end; the decisions say whether and when to open the next one."""
        call: _Call | None = None
        this_task = asyncio.current_task()
        failure: Exception | None = None
        began = self.now()
        try:
            since = b"" if self.version is None else b"&from=%d" % self.version
            call = await self._call(WATCH_PATH + since)
            if self._watch is this_task:
                self._watch_call = call
            while True:
                values = await call.read()
                for number, value in enumerate(values, 1):
                    confirms = number == len(values) and self._watch is this_task
                    self._apply_answer(value, call.arriving, confirms=confirms)
                    call.watching = True
                    if old is not None:
                        old.cancel()
                        old = None
                if call.parser.response is not None:
                    raise CallFailedError("the watch was ended")
                if call.watching and self._watch is this_task:
                    self._report_progress(call, bool(values))
        except _CALL_ERRORS as error:
            failure = error
        except Exception as error:  # an internal error: logged, and the watch is reopened
            internal_errors.log_internal_error(self.log_event, "in a list", error)
            failure = error
        finally:
            _release(old, call)
        if self._watch is this_task:
            await self._watch_ended(failure, began if call is None else call.current_at)

    def _report_progress(self, call: _Call, has_values: bool) -> None:
        """Tells the decisions that nothing has changed, or that an update is arriving in pieces."""
        if not call.values.between_values:
            self.engine_host.list_incomplete(call.current_at)
        elif not has_values:
            self.engine_host.apply_list(ours.UNCHANGED, waited=call.arriving)

    async def _watch_ended(self, failure: Exception | None, current_at: int) -> None:
        if not self._lost:
            self._lost = True
            why = str(failure) or type(failure).__name__
            is_down = isinstance(failure, DiscoveryDownError)
            self.log_event("discovery_lost", level="warning", why=why[:MAX_LOGGED_REASON], down=is_down)
        self._watch = self._watch_call = None
        self._report_failure(failure, current_at)
        if self.backoff is not None:
            await asyncio.sleep(self.backoff.next_delay())
            self.subscribe()

    async def _run_fetch(self) -> None:
        call: _Call | None = None
        applied_before, began, address = self._applied_count, self.now(), self.address
        try:
            call = await self._call(LIST_PATH)
            found: list[Any] = []
            while call.parser.response is None:
                found += await call.read()
            if len(found) != 1:
                raise CallFailedError(f"{len(found)} lists in a response; expected one")
            self._apply_answer(
                found[0],
                call.arriving,
                overtaken=applied_before != self._applied_count,
                confirms=address == self.address,
            )
        except Exception as error:
            if isinstance(error, _CALL_ERRORS):
                self.log_event("fetch_failed", level="warning", why=str(error)[:MAX_LOGGED_REASON])
            else:
                internal_errors.log_internal_error(self.log_event, "in a list", error)
            if address == self.address:
                self._report_failure(error, began)
        finally:
            if call is not None:
                call.close()

    async def _call(self, target: bytes) -> _Call:
        """Connects and writes a request; raises CallFailedError."""
        try:
            stream = await connect(*split_address(self.address), CONNECT_TIMEOUT)
        except OSError as error:
            failure = DiscoveryDownError if _ended_by_host(error) else CallFailedError
            raise failure(error.strerror or str(error)) from None
        if asyncio.current_task().cancelling():  # the cancellation was swallowed, and another watch has begun
            stream.close()
            raise CallFailedError("no longer wanted")
        call = _Call(stream, self.now)
        call.request(target, self.address)
        return call

    def _report_failure(self, failure: Exception | None, current_at: int) -> None:
        """Tells the decisions of a failure; current_at: up to when no change can have been missed."""
        is_down = isinstance(failure, DiscoveryDownError)
        self.synchronized = self.synchronized or is_down
        kind = ours.UNREACHABLE if is_down else ours.UNANSWERED
        self.engine_host.apply_list(kind, waited=self.now() - current_at)

    # ---- lists ----
    def _apply_answer(
        self, members: Any, arriving: int = 0, overtaken: bool = False, confirms: bool = True
    ) -> None:
        """Applies a list or delta.

        Args:
            members: The JSON value.
            arriving: For how many microseconds it has been arriving.
            overtaken: Whether another one was applied since this one was requested.
            confirms: Whether it is the last that has arrived, and comes from the address in use.

        Raises:
            ValueError: The value is no list, or a delta of another incarnation of discovery.
        """
        if not isinstance(members, dict) or not isinstance(members.get("endpoints"), list):
            raise ValueError(f"{str(members)[:80]!r}; expected an object with a list of endpoints")
        version = _version_of(members)
        is_snapshot = bool(members.get("snapshot"))
        if (
            version is not None
            and self.version is not None
            and version < self.version
            and (overtaken or not is_snapshot)
        ):
            self.log_event("list_old", level="warning", version=version, held=self.version)
            if overtaken:
                return  # the call began before the list that is held now arrived
            self.version = None  # a delta of another incarnation: the next watch asks for the whole list
            raise ValueError(f"changes up to {version}, which is below the version held")
        self._apply(ours.SNAPSHOT if is_snapshot else ours.DELTA, members["endpoints"], arriving, confirms)
        self.version, self._applied_count = version, self._applied_count + 1
        self.synchronized = True
        if self.backoff is not None:
            self.backoff.reset()
        if self._lost:
            self._lost = False
            self.log_event("discovery_back", version=self.version)
        self.log_event("list", level="debug", version=self.version, named=len(members["endpoints"]))

    def _apply(self, kind: str, entries: Any, arriving: int = 0, confirms: bool = True) -> None:
        parsed, unreadable = protocol.parse_entries(entries)
        if unreadable:
            self.log_event(
                "list_bad", level="warning", entries=len(unreadable), first=unreadable[0][:MAX_LOGGED_REASON]
            )
        starts = [ServerStart(entry.id, entry.run, entry.build) for entry, _ in parsed]
        dated = self._start_times.date(starts, self.now())
        for (entry, address), started in zip(parsed, dated, strict=True):
            entry.started = started
            if address:
                self.appliance_pools.addresses[entry.id] = address
        changed = self.engine_host.apply_list(kind, [entry for entry, _ in parsed], arriving, confirms)
        self.appliance_pools.retire_gone(changed)
        self._forget_starts(changed)

    def _forget_starts(self, changed: list[Appliance]) -> None:
        present = {appliance.id for appliance in changed if appliance.state != ours.GONE}
        for appliance in changed:
            if appliance.id not in present:
                self._start_times.forget(appliance.id)


def _ended_by_host(error: BaseException | None) -> bool:
    """Returns whether discovery's host ended or refused a connection; None: it closed it properly."""
    return error is None or (isinstance(error, OSError) and error.errno in ENDED_BY_HOST)


def _release(old: asyncio.Task | None, call: _Call | None) -> None:
    """Cancels the watch that one has replaced, and closes that one's call."""
    if old is not None:
        old.cancel()
    if call is not None:
        call.close()


def _version_of(members: Mapping[str, Any]) -> int | None:
    version = members.get("index")
    return version if type(version) is int else None

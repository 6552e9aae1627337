"""The node's front and decisions on virtual time, from the bytes of a request to those of its response.

Sockets and appliances are replaced: what a client sends is handed to its connection, and an appliance ends
each attempt as the request's script says.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest
from node_harness import SETTINGS, request_bytes
from virtual_time import TimerAdapter, VirtualLoop

from cartweir import interface as ours
from cartweir.hosting.alarms import AlarmScheduler
from cartweir.hosting.appliance_list import ListEntry
from cartweir.hosting.clock import Clock
from cartweir.hosting.engine_host import EngineHost
from cartweir.hosting.platform_settings import parse_settings
from cartweir.interface import NEVER_RAN, RELEASED, Appliance, Dispatch, Stage
from cartweir.node import client_connection
from cartweir.node.client_connection import ClientCall, ClientConnection
from cartweir.node.front import Front, FrontLimits

LIST_INTERVAL = 1.0  # seconds between signs of life of discovery
APPLIANCES = 4
CONNECTIONS = 64
REQUEST_MEMORY = 1 << 20  # bytes
HEARTBEAT = 20_000  # microseconds


class InjectedError(Exception):
    """An internal error of the agent, put in by a test."""


class VirtualSocket:
    """What a client's connection writes to; nothing of it is sent anywhere."""

    def __init__(self, loop: Any, sock: Any, owner: Any) -> None:
        self.owner, self.unsent, self.closed = owner, 0, False
        self.written = b""

    def write(self, data: bytes) -> None:
        self.written += data

    def at_end(self) -> bool:
        return False

    def nothing_to_read(self) -> bool:
        return True

    def shutdown_write(self) -> None:
        pass

    def close(self) -> None:
        self.closed = True


@dataclass(frozen=True, slots=True)
class Script:
    """How an appliance ends an attempt.

    Attributes:
        result: One of the constants in `interface`; None: nothing ever comes back.
        seconds: For how long it takes.
        connecting: For how long the attempt waits for a connection before that.
    """

    result: str | None
    seconds: float
    connecting: float = 0.0


@dataclass
class SentRequest:
    """A request that a client has sent.

    Attributes:
        id: Its id.
        operation: The name of its operation.
        client: The connection on which it was sent.
    """

    id: str
    operation: str
    client: ClientConnection

    @property
    def status(self) -> int | None:
        """The status of its response; None if there is none yet."""
        written = self.client.socket.written
        return int(written.split(b" ")[1]) if written else None

    def leave(self) -> None:
        """The client closes its connection."""
        if not self.client.socket.closed:
            self.client.on_lost("closed by the other side")


@dataclass
class Runs:
    """What the appliances were sent: the attempts for each id, by the request that they belong to."""

    attempts: dict[str, dict[int, list[Dispatch]]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(list))
    )

    def may_have_run(self, request_id: str) -> int:
        """Returns how many of the requests with this id an appliance may have run."""
        return sum(
            any(dispatch.result not in NEVER_RAN for dispatch in attempts)
            for attempts in self.attempts[request_id].values()
        )


class VirtualAttempt:
    """One attempt, which waits for a connection and then for the appliance, as its script says."""

    def __init__(self, front: VirtualFront, dispatch: Dispatch, request_id: str) -> None:
        self._front, self._dispatch, self._request_id = front, dispatch, request_id
        self._script = front.scripts[request_id]
        self._timer: asyncio.TimerHandle | None = None
        if self._script.connecting:
            dispatch.unsent = True
            self._timer = front.loop.call_later(self._script.connecting, self._connected)
        else:
            self._send()

    def _connected(self) -> None:
        if not self._front.engine_host.may_send(self._dispatch):
            self._front.engine_host.dispatch_ended(self._dispatch, ours.OBSOLETE)
            return
        self._dispatch.unsent = False
        self._send()

    def _send(self) -> None:
        self._front.runs.attempts[self._request_id][self._dispatch.invocation.id].append(self._dispatch)
        if self._request_id in self._front.fails_after_sending:
            raise InjectedError
        if self._script.result is not None:
            self._timer = self._front.loop.call_later(self._script.seconds, self._ended)

    def _ended(self) -> None:
        result = self._script.result
        answer = ((), [b"an answer"], ()) if result == ours.SUCCEEDED else None
        self._front.engine_host.dispatch_ended(self._dispatch, result, None, answer)

    def abandon(self, late: bool) -> None:
        if self._timer is not None:
            self._timer.cancel()


class VirtualFront:
    """A front with the environment of its engine host; to be made while a `VirtualLoop` runs.

    Attributes:
        front: The front.
        runs: What the appliances were sent.
        scripts: How appliances end the attempts of a request, by its id.
        heads: The headers that were passed on unchanged, by that id.
        fails_after_sending: Ids for which the agent has an internal error just after an attempt is sent.
    """

    def __init__(self, **limits: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.runs, self.scripts, self.heads = Runs(), {}, {}
        self.fails_after_sending: set[str] = set()
        self.alarms = AlarmScheduler(TimerAdapter(self.loop), self.now, self._alarm)
        self.engine_host = EngineHost(self, parse_settings(SETTINGS), 7)
        entries = [ListEntry(id=f"s{number}", build=1, zone="a", kind="m") for number in range(APPLIANCES)]
        self.engine_host.apply_list(ours.SNAPSHOT, entries)
        self.engine_host.apply_stage(Stage(1, 2, RELEASED, 1.0, 60_000_000))
        clock = Clock(HEARTBEAT, None, self.now)
        self.front = Front(
            self.engine_host, clock, FrontLimits(CONNECTIONS, REQUEST_MEMORY, **limits), self.log_event
        )
        self._hear_discovery()

    def _alarm(self) -> None:
        self.engine_host.run_timers()

    def _hear_discovery(self) -> None:
        self.engine_host.apply_list(ours.UNCHANGED)
        self.loop.call_later(LIST_INTERVAL, self._hear_discovery)

    def connect(self) -> ClientConnection:
        """Returns a new connection of a client."""
        client = ClientConnection(self.front, None)
        self.front.clients.add(client)
        self.front.idle[client] = None
        return client

    def send(
        self,
        request_id: str,
        operation: str,
        client: ClientConnection | None = None,
        **headers: str,
    ) -> SentRequest:
        """Sends a request, on a new connection unless one is given; headers: further ones, by their names."""
        sent = SentRequest(request_id, operation, client or self.connect())
        sent.client.socket.written = b""
        with contextlib.suppress(InjectedError):  # the event loop would report it
            sent.client.on_data(request_bytes(request_id, operation, **headers))
        return sent

    # ---- the environment of the engine host ----
    def now(self) -> int:
        return self.loop.microseconds()

    def schedule_alarm(self, due: int) -> None:
        self.alarms.schedule(due)

    def run_soon(self, do: Callable[[], None]) -> None:
        self.loop.call_soon(do)

    def start(self, dispatch: Dispatch, call: ClientCall) -> VirtualAttempt:
        request_id = call.id.decode()
        self.heads[request_id] = dict(call.head[2])
        return VirtualAttempt(self, dispatch, request_id)

    def probe(self, appliance: Appliance) -> None:
        raise AssertionError("no probes are allowed by these settings")

    def subscribe(self) -> None:
        pass

    def fetch_list(self) -> None:
        pass

    def vote(self, build: int, stage: int, verdict: str) -> None:
        pass

    def message(self, to: int | None, figures: list[int]) -> None:
        pass

    def log_event(self, event: str, level: str = "info", **facts: Any) -> None:
        pass


def play(scenario: Callable[[VirtualFront], Any], **limits: int) -> None:
    """Runs a scenario, a coroutine function, with a front on a virtual loop."""

    async def run() -> None:
        await scenario(VirtualFront(**limits))

    loop = VirtualLoop()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client_connection, "NonBlockingSocket", VirtualSocket)
        try:
            loop.run_until_complete(run())
        finally:
            loop.close()
    errors = [error for error in loop.errors if InjectedError.__name__ not in error]
    assert not errors, errors

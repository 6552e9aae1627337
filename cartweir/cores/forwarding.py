"""Dispatches that one part carries for another, which holds the call: the request goes over, the answer comes back.

A carrier that dies may have sent what it was given: such a dispatch ends as one whose connection was lost. A holder that
dies owes nothing, and what is carried for it is given up.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from .. import interface as ours
from ..agent.appliance_pools import Attempt
from ..agent.front import ClientCall
from ..agent.grpc_mapping import RequestHeaders
from ..hosting.clock import Clock
from ..interface import READY, Appliance, Dispatch, Invocation, Operation
from ..wire.grpc import Headers
from ..wire.session import Stream
from . import pipe as say
from .division import GO, fate
from .pipe import Pipe

STALE = "stale"  # the carrier's word for a grant that has run out on the way


class Dispatcher(Protocol):
    """What both ends need of the part they belong to."""

    settings: Mapping[str, Any]
    clock: Clock
    appliance_pools: Any
    loop: Any
    marks: Mapping[Appliance, str]
    appliances: Mapping[str, Appliance]
    shapes: Mapping[bool, Operation]

    def claim_answer(self, dispatch: Dispatch) -> bool: ...
    def dispatch_ended(
        self,
        dispatch: Dispatch,
        how: str,
        load: Mapping[str, float] | None = None,
        answer: tuple | None = None,
        passed: bool = False,
    ) -> None: ...
    def ask_again(self, dispatch: Dispatch) -> None: ...
    def stale(self, dispatch: Dispatch) -> None: ...
    def bind(self, key: str | None, build: int) -> None: ...


class ForwardedDispatch:
    """The holder's end: in place of an Attempt and, while an answer is passed on, of the appliance's stream."""

    def __init__(self, forwarding: DispatchForwarding, dispatch: Dispatch, call: ClientCall, pipe: Pipe) -> None:
        self.forwarding, self.dispatch, self.call, self.pipe = forwarding, dispatch, call, pipe
        self.key = (dispatch.invocation.id, dispatch.number)
        self.passing = False

    # ---- as an Attempt ----
    def abandon(self, late: bool) -> None:
        self.pipe.send([say.DROP, *self.key, late])
        self.forwarding.afar.pop(self.key, None)

    def cleared(self, goes: bool) -> None:
        """The deciding part has answered what the carrier asked."""
        self.pipe.send([say.GOES, *self.key, goes, self.dispatch.decision_state])

    # ---- as a Stream ----
    def acknowledge(self, size: int) -> None:
        self.pipe.send([say.ROOM, *self.key, size])

    def begin(self, head: Headers, body: list[bytes]) -> None:
        if self.forwarding.dispatcher.claim_answer(self.dispatch):
            self.passing = True
            self.call.begin(self, head, body)
        else:
            self.abandon(False)
            self.forwarding.dispatcher.dispatch_ended(self.dispatch, ours.CANCELLED)


class RemoteClientCall:
    """The carrier's end: in place of a ClientCall."""

    def __init__(self, pipe: Pipe, asked: RequestHeaders, body: list[bytes]) -> None:
        self.pipe, self.request, self.body = pipe, asked, body
        self.key = (0, 0)
        self.stream: Stream | None = None
        self.attempt: Attempt | None = None

    def begin(self, source: Stream, head: Headers, body: list[bytes]) -> None:
        self.stream = source
        self.pipe.send([say.HEAD, *self.key, list(head), body])

    def data(self, piece: bytes) -> None:
        self.pipe.send([say.PIECE, *self.key, piece])


class DispatchForwarding:
    """Both ends, of one part. `pipes`: to each other part, by its number."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.pipes: dict[int, Pipe] = {}
        self.afar: dict[tuple[int, int], ForwardedDispatch] = {}  # held here, carried elsewhere
        self.carried: dict[Dispatch, RemoteClientCall] = {}  # carried here
        self._by_key: dict[tuple[int, int], Dispatch] = {}

    # ---- the holder ----
    def lend(self, dispatch: Dispatch, call: ClientCall, carrier: int) -> Any:
        pipe = self.pipes.get(carrier)
        if pipe is None or pipe.closed:
            self.dispatcher.loop.add_callback(self.dispatcher.dispatch_ended, dispatch, ours.OBSOLETE)  # it never left
            return _Nowhere(dispatch)
        invocation = dispatch.invocation
        afar = self.afar[invocation.id, dispatch.number] = ForwardedDispatch(self, dispatch, call, pipe)
        pipe.send(
            [
                say.CARRY,
                invocation.id,
                dispatch.number,
                self.dispatcher.marks.get(dispatch.appliance),
                dispatch.timeout,
                dispatch.decision_state,
                invocation.deadline,
                invocation.operation.stream,
                invocation.key,
                call.request.path,
                [list(pair) for pair in call.request.metadata],
                call.body,
            ]
        )
        return afar

    def heard(self, number: int, message: list) -> None:
        """From another part."""
        kind, invocation_id, dispatch, *rest = message
        key = (invocation_id, dispatch)
        if kind == say.CARRY:
            self._carry(self.pipes[number], key, *rest)
        elif kind in (say.DROP, say.ROOM, say.GOES):
            found = self._by_key.get(key)
            if found is not None:
                self._told(kind, found, *rest)
        else:
            afar = self.afar.get(key)
            if afar is not None:
                self._back(kind, afar, *rest)

    def _back(self, kind: int, afar: ForwardedDispatch, *rest: Any) -> None:
        if kind == say.HEAD:
            head, body = rest
            afar.begin(tuple(map(tuple, head)), body)
        elif kind == say.PIECE:
            if afar.passing:
                afar.call.data(rest[0])
        elif kind == say.AGAIN:
            self.dispatcher.ask_again(afar.dispatch)
        elif rest[0] == STALE:
            del self.afar[afar.key]
            self.dispatcher.stale(afar.dispatch)
        else:
            how, load, answer, passed = rest
            del self.afar[afar.key]
            if answer is not None:
                head, body, tail = answer
                answer = (tuple(map(tuple, head)), body, tuple(map(tuple, tail)))
            self.dispatcher.dispatch_ended(afar.dispatch, how, load, answer, passed)

    # ---- the carrier ----
    def _carry(
        self,
        pipe: Pipe,
        key: tuple[int, int],
        mark: str,
        patience: int,
        given: int,
        expires: int,
        stream: bool,
        about: str | None,
        path: bytes,
        metadata: list,
        body: list[bytes],
    ) -> None:
        dispatcher, now = self.dispatcher, self.dispatcher.clock.now()
        appliance = dispatcher.appliances.get(mark)
        if (
            appliance is None
            or appliance.state != READY
            or fate(now, given, dispatcher.settings["tick"], now < expires) != GO
        ):
            pipe.send([say.CARRIED, *key, STALE, None, None, False])
            return
        call = RemoteClientCall(pipe, RequestHeaders(path, None, b"", [tuple(pair) for pair in metadata]), body)
        call.key = key
        invocation = Invocation(key[0], dispatcher.shapes[stream], now, expires, key=about)
        dispatch = Dispatch(appliance, patience, None, invocation, key[1], now)
        dispatch.decision_state = given
        self.carried[dispatch] = call
        self._by_key[key] = dispatch
        call.attempt = dispatcher.appliance_pools.start(dispatch, call)

    def _told(self, kind: int, dispatch: Dispatch, *rest: Any) -> None:
        call = self.carried[dispatch]
        if kind == say.DROP:
            attempt = call.attempt
            self._done(dispatch)
            attempt.abandon(rest[0])
        elif kind == say.ROOM:
            if call.stream is not None:
                call.stream.acknowledge(rest[0])
        else:
            goes, dispatch.decision_state = rest
            call.attempt.cleared(goes)

    def has(self, dispatch: Dispatch) -> bool:
        return dispatch in self.carried

    def may_send(self, dispatch: Dispatch) -> bool | None:
        call = self.carried[dispatch]
        now = self.dispatcher.clock.now()
        owed = now < dispatch.invocation.deadline and dispatch.appliance.state == READY
        if fate(now, dispatch.decision_state, self.dispatcher.settings["tick"], owed) == GO:
            return True
        if not owed:
            return False
        call.pipe.send([say.AGAIN, *call.key])
        return None

    def dispatch_ended(
        self,
        dispatch: Dispatch,
        how: str,
        load: Mapping[str, float] | None,
        answer: tuple | None,
        passed: bool,
    ) -> None:
        call = self._done(dispatch)
        if how == ours.SUCCEEDED:
            self.dispatcher.bind(dispatch.invocation.key, dispatch.appliance.build)
        if answer is not None:
            head, body, tail = answer
            answer = (list(head), list(body), list(tail))
        call.pipe.send([say.CARRIED, *call.key, how, dict(load) if load else None, answer, passed])

    def _done(self, dispatch: Dispatch) -> RemoteClientCall:
        call = self.carried.pop(dispatch)
        del self._by_key[call.key]
        call.attempt = None  # no cycle is left to the collector
        return call

    # ---- ends ----
    def lost(self, pipe: Pipe) -> None:
        """Another part has gone."""
        for afar in [a for a in self.afar.values() if a.pipe is pipe]:
            del self.afar[afar.key]
            self.dispatcher.bind(afar.dispatch.invocation.key, afar.dispatch.appliance.build)
            self.dispatcher.dispatch_ended(afar.dispatch, ours.RESET, passed=afar.passing)
        for dispatch, call in [(d, c) for d, c in self.carried.items() if c.pipe is pipe]:
            attempt = call.attempt
            self._done(dispatch)
            attempt.abandon(False)


class _Nowhere:
    """Of a dispatch whose carrier was gone already."""

    def __init__(self, dispatch: Dispatch) -> None:
        self.dispatch = dispatch

    def abandon(self, late: bool) -> None: ...
    def cleared(self, goes: bool) -> None: ...

"""Dispatches that one worker sends for another: the request goes to the sender, the answer back to the owner.

The owner holds the client's call; the sender has the connection to the appliance. A sender that dies may have
sent what it was given, so such a dispatch ends like one whose connection was lost. When an owner dies, its
calls need no answer, and its senders abandon the dispatches.
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
from . import messages
from .grants import USE, check_grant
from .messages import ForwardedRequest
from .pipe import Message, Pipe

# In place of an outcome: the grant had expired when it reached the sender.
GRANT_EXPIRED = "stale"


class Dispatcher(Protocol):
    """What forwarding needs of its worker's dispatcher."""

    settings: Mapping[str, Any]
    clock: Clock
    appliance_pools: Any
    loop: Any
    instances: Mapping[Appliance, str]
    appliances: Mapping[str, Appliance]
    forwarded_operations: Mapping[bool, Operation]

    def claim_answer(self, dispatch: Dispatch) -> bool:
        """Returns whether the answer of a dispatch may be passed on as it comes."""

    def dispatch_ended(
        self,
        dispatch: Dispatch,
        outcome: str,
        load: Mapping[str, float] | None = None,
        answer: tuple | None = None,
        passed: bool = False,
    ) -> None:
        """Records the end of a dispatch."""

    def renew_for_sender(self, dispatch: Dispatch) -> None:
        """Answers a sender that found a connection only after the grant had expired."""

    def on_grant_expired(self, dispatch: Dispatch) -> None:
        """Has a grant renewed that expired before its sender could use it."""

    def report_key(self, key: str | None, build: int) -> None:
        """Reports that a build may have answered a key."""


class ForwardedDispatch:
    """The owner's end of a forwarded dispatch.

    It stands in place of an Attempt and, while the answer is passed on as it comes, of the appliance's
    stream.

    Attributes:
        key: Numbers of the invocation and of the dispatch.
        passing: Whether the answer is being passed on.
    """

    def __init__(
        self, forwarding: DispatchForwarding, dispatch: Dispatch, call: ClientCall, pipe: Pipe
    ) -> None:
        self.forwarding, self.dispatch, self.call, self.pipe = forwarding, dispatch, call, pipe
        self.key = (dispatch.invocation.id, dispatch.number)
        self.passing = False

    # ---- as an Attempt ----
    def abandon(self, late: bool) -> None:
        """Stops waiting for the answer; `late` says that the dispatch's time is up."""
        self.pipe.send([messages.ABANDON, *self.key, late])
        self.forwarding.forwarded.pop(self.key, None)

    def cleared(self, may_send: bool) -> None:
        """Passes on the decider's reply to a sender that asked whether it may still send."""
        self.pipe.send([messages.FORWARDED_RENEWED, *self.key, may_send, self.dispatch.decision_state])

    # ---- as a Stream ----
    def acknowledge(self, size: int) -> None:
        """Tells the sender that the client has taken so many bytes."""
        self.pipe.send([messages.FLOW_CREDIT, *self.key, size])

    def begin(self, head: Headers, body: list[bytes]) -> None:
        """Starts to pass the answer on, unless another dispatch has answered before."""
        if self.forwarding.dispatcher.claim_answer(self.dispatch):
            self.passing = True
            self.call.begin(self, head, body)
        else:
            self.abandon(False)
            self.forwarding.dispatcher.dispatch_ended(self.dispatch, ours.CANCELLED)


class RemoteClientCall:
    """The sender's end of a forwarded dispatch; stands in place of a ClientCall.

    Attributes:
        request: Headers of the request.
        body: Pieces of the request's body.
        key: Numbers of the invocation and of the dispatch.
        stream: The appliance's stream, while the answer is passed on as it comes.
        attempt: The attempt at the appliance.
    """

    def __init__(self, pipe: Pipe, request: RequestHeaders, body: list[bytes]) -> None:
        self.pipe, self.request, self.body = pipe, request, body
        self.key = (0, 0)
        self.stream: Stream | None = None
        self.attempt: Attempt | None = None

    def begin(self, source: Stream, head: Headers, body: list[bytes]) -> None:
        """Sends the owner the start of the answer."""
        self.stream = source
        self.pipe.send([messages.ANSWER_HEAD, *self.key, list(head), body])

    def data(self, piece: bytes) -> None:
        """Sends the owner a piece of the answer."""
        self.pipe.send([messages.ANSWER_DATA, *self.key, piece])


class DispatchForwarding:
    """Both ends of forwarding, in one worker.

    Attributes:
        pipes: Connections to the other workers, by their numbers.
        forwarded: Dispatches that others send for this worker, by their keys.
        sending: Dispatches that this worker sends for others.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.pipes: dict[int, Pipe] = {}
        self.forwarded: dict[tuple[int, int], ForwardedDispatch] = {}
        self.sending: dict[Dispatch, RemoteClientCall] = {}
        self._sending_by_key: dict[tuple[int, int], Dispatch] = {}

    # ---- the owner ----
    def forward(self, dispatch: Dispatch, call: ClientCall, sender: int) -> Any:
        """Lets another worker send a dispatch; returns what stands in place of its Attempt."""
        pipe = self.pipes.get(sender)
        if pipe is None or pipe.closed:
            # the dispatch was not sent
            self.dispatcher.loop.add_callback(self.dispatcher.dispatch_ended, dispatch, ours.OBSOLETE)
            return _UnsentDispatch(dispatch)
        invocation = dispatch.invocation
        forwarded = ForwardedDispatch(self, dispatch, call, pipe)
        self.forwarded[invocation.id, dispatch.number] = forwarded
        request = ForwardedRequest(
            invocation.id,
            dispatch.number,
            self.dispatcher.instances.get(dispatch.appliance),
            dispatch.timeout,
            dispatch.decision_state,
            invocation.deadline,
            invocation.operation.stream,
            invocation.key,
            call.request.path,
            [list(pair) for pair in call.request.metadata],
            call.body,
        )
        pipe.send([messages.FORWARD, *request])
        return forwarded

    def on_message(self, worker: int, message: Message) -> None:
        """Handles a message of another worker."""
        kind, invocation_id, number, *rest = message
        key = (invocation_id, number)
        if kind == messages.FORWARD:
            self._on_forward(self.pipes[worker], ForwardedRequest(*message[1:]))
        elif kind in (messages.ABANDON, messages.FLOW_CREDIT, messages.FORWARDED_RENEWED):
            dispatch = self._sending_by_key.get(key)
            if dispatch is not None:
                self._on_owner_message(kind, dispatch, *rest)
        else:
            forwarded = self.forwarded.get(key)
            if forwarded is not None:
                self._on_sender_message(kind, forwarded, *rest)

    def _on_sender_message(self, kind: int, forwarded: ForwardedDispatch, *rest: Any) -> None:
        if kind == messages.ANSWER_HEAD:
            head, body = rest
            forwarded.begin(tuple(map(tuple, head)), body)
        elif kind == messages.ANSWER_DATA:
            if forwarded.passing:
                forwarded.call.data(rest[0])
        elif kind == messages.RENEW_FORWARDED:
            self.dispatcher.renew_for_sender(forwarded.dispatch)
        elif rest[0] == GRANT_EXPIRED:
            del self.forwarded[forwarded.key]
            self.dispatcher.on_grant_expired(forwarded.dispatch)
        else:
            outcome, load, answer, passed = rest
            del self.forwarded[forwarded.key]
            if answer is not None:
                head, body, tail = answer
                answer = (tuple(map(tuple, head)), body, tuple(map(tuple, tail)))
            self.dispatcher.dispatch_ended(forwarded.dispatch, outcome, load, answer, passed)

    # ---- the sender ----
    def _on_forward(self, pipe: Pipe, request: ForwardedRequest) -> None:
        """Sends a dispatch for its owner, unless the grant has expired or the appliance is not ready."""
        key, dispatcher = (request.invocation, request.number), self.dispatcher
        now, tick = dispatcher.clock.now(), dispatcher.settings["tick"]
        appliance = dispatcher.appliances.get(request.instance)
        if (
            appliance is None
            or appliance.state != READY
            or check_grant(now, request.granted_at, tick, now < request.deadline) != USE
        ):
            pipe.send([messages.FORWARD_ENDED, *key, GRANT_EXPIRED, None, None, False])
            return
        metadata = [tuple(pair) for pair in request.metadata]
        call = RemoteClientCall(pipe, RequestHeaders(request.path, None, b"", metadata), request.body)
        call.key = key
        operation = dispatcher.forwarded_operations[request.stream]
        invocation = Invocation(request.invocation, operation, now, request.deadline, key=request.key)
        dispatch = Dispatch(appliance, request.timeout, None, invocation, request.number, now)
        dispatch.decision_state = request.granted_at
        self.sending[dispatch] = call
        self._sending_by_key[key] = dispatch
        call.attempt = dispatcher.appliance_pools.start(dispatch, call)

    def _on_owner_message(self, kind: int, dispatch: Dispatch, *rest: Any) -> None:
        call = self.sending[dispatch]
        if kind == messages.ABANDON:
            attempt = call.attempt
            self._finish(dispatch)
            attempt.abandon(rest[0])
        elif kind == messages.FLOW_CREDIT:
            if call.stream is not None:
                call.stream.acknowledge(rest[0])
        else:
            may_send, dispatch.decision_state = rest
            call.attempt.cleared(may_send)

    def is_sending(self, dispatch: Dispatch) -> bool:
        """Returns whether this worker sends a dispatch for another one."""
        return dispatch in self.sending

    def may_send(self, dispatch: Dispatch) -> bool | None:
        """Returns whether a dispatch may still be sent; None if its owner has been asked."""
        call = self.sending[dispatch]
        now = self.dispatcher.clock.now()
        needed = now < dispatch.invocation.deadline and dispatch.appliance.state == READY
        if check_grant(now, dispatch.decision_state, self.dispatcher.settings["tick"], needed) == USE:
            return True
        if not needed:
            return False
        call.pipe.send([messages.RENEW_FORWARDED, *call.key])
        return None

    def dispatch_ended(
        self,
        dispatch: Dispatch,
        outcome: str,
        load: Mapping[str, float] | None,
        answer: tuple | None,
        passed: bool,
    ) -> None:
        """Sends the owner the outcome of a dispatch."""
        call = self._finish(dispatch)
        if outcome == ours.SUCCEEDED:
            self.dispatcher.report_key(dispatch.invocation.key, dispatch.appliance.build)
        if answer is not None:
            head, body, tail = answer
            answer = (list(head), list(body), list(tail))
        call.pipe.send(
            [messages.FORWARD_ENDED, *call.key, outcome, dict(load) if load else None, answer, passed]
        )

    def _finish(self, dispatch: Dispatch) -> RemoteClientCall:
        call = self.sending.pop(dispatch)
        del self._sending_by_key[call.key]
        call.attempt = None  # leaves no reference cycle to the garbage collector
        return call

    # ---- ends of other workers ----
    def on_worker_lost(self, pipe: Pipe) -> None:
        """Ends what another worker was sending, and abandons what was being sent for it."""
        for forwarded in [each for each in self.forwarded.values() if each.pipe is pipe]:
            del self.forwarded[forwarded.key]
            dispatch = forwarded.dispatch
            self.dispatcher.report_key(dispatch.invocation.key, dispatch.appliance.build)
            self.dispatcher.dispatch_ended(dispatch, ours.RESET, passed=forwarded.passing)
        for dispatch, call in [(d, c) for d, c in self.sending.items() if c.pipe is pipe]:
            attempt = call.attempt
            self._finish(dispatch)
            attempt.abandon(False)


class _UnsentDispatch:
    """In place of the Attempt of a dispatch whose sender had ended before."""

    def __init__(self, dispatch: Dispatch) -> None:
        self.dispatch = dispatch

    def abandon(self, late: bool) -> None:
        """Does nothing."""

    def cleared(self, may_send: bool) -> None:
        """Does nothing."""

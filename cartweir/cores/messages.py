"""Messages between the processes of one agent: the kinds, and the fields of those with many.

A message is a list: its kind, then its fields. An invocation is named by its number, and a dispatch by the
    number of
its invocation and its own number within it. An appliance is named by its instance (`instance_id()`). Times
are microseconds of the machine's monotonic clock, which all processes share.
"""

from __future__ import annotations

from typing import Any, NamedTuple

# From a worker to the decider.
HELLO = 0  # number of the worker
INVOCATION = 1  # InvocationMessage: a client's request to decide on
WITHDRAW = 2  # invocation: the worker has answered it, or its client has gone
DISPATCH_ENDED = 3  # DispatchReport
STREAM_STARTED = 4  # invocation: its answer is being passed on
RENEW_GRANT = 5  # dispatch: asks whether it may still be sent
PROBE_RESULT = 6  # instance, whether it answered, duration, load report
PEER_MESSAGE = 7  # bytes that another agent sent
KEY_BOUND = 8  # key, build that may have answered it
HEARTBEAT = 9  # whether the worker drains

# From the decider to a worker.
DISPATCH = 20  # DispatchOrder
CANCEL = 21  # dispatch, whether its time is up
ANSWER = 22  # invocation, one of the answers below, number of the dispatch or retry delay
GRANT_RENEWED = 23  # dispatch, whether it may be sent, time of the grant
PROBE = 24  # instance
APPLIANCE_LIST = 25  # "whole" or "changes", rows with addresses
STAGE = 26  # build, stage, phase, age
DECIDER_HEARTBEAT = 27  # no fields

# Between workers: the owner holds the client's call, the sender has the connection to the appliance.
FORWARD = 40  # ForwardedRequest, from the owner
ABANDON = 41  # dispatch, whether its time is up; from the owner
ANSWER_HEAD = 42  # dispatch, headers, pieces of the body; from the sender
ANSWER_DATA = 43  # dispatch, piece of the body; from the sender
FLOW_CREDIT = 44  # dispatch, bytes that the client has taken; from the owner
FORWARD_ENDED = 45  # dispatch, outcome, load report, answer, whether it was passed on; from the sender
RENEW_FORWARDED = 46  # dispatch; from the sender
FORWARDED_RENEWED = 47  # dispatch, whether it may be sent, time of the grant; from the owner

# Final answers to a client, in ANSWER.
SUCCEED = 0
THROTTLE = 1
TERMINATE = 2


class InvocationMessage(NamedTuple):
    """Fields of INVOCATION.

    Attributes:
        invocation: Number of the invocation.
        operation: Place of its operation in the settings.
        arrived: When the call had arrived.
        limit: How long its client waits from then on.
        customer: The client's customer, or an empty string.
        key: The client's key.
        hint: Rough work in microseconds; 0 if not known.
        retry: Whether the client has tried before.
        write: Whether the call writes.
    """

    invocation: int
    operation: int
    arrived: int
    limit: int
    customer: str
    key: str | None
    hint: int
    retry: bool
    write: bool


class DispatchOrder(NamedTuple):
    """Fields of DISPATCH.

    Attributes:
        invocation: Number of the invocation.
        number: Number of the dispatch.
        instance: The appliance to send it to.
        timeout: The dispatch is given up this long after the grant.
        granted_at: When the decider gave the grant.
        sender: Number of the worker that is to send it.
    """

    invocation: int
    number: int
    instance: str
    timeout: int
    granted_at: int
    sender: int


class DispatchReport(NamedTuple):
    """Fields of DISPATCH_ENDED.

    Attributes:
        invocation: Number of the invocation.
        number: Number of the dispatch.
        outcome: Code of the outcome, from `dispatcher.OUTCOME_CODES`.
        load: Load report of the appliance.
        passed: Whether the answer was already being passed on.
        lag: How long the report was held up before the worker sent it.
        answered: Whether the client has got the answer already.
    """

    invocation: int
    number: int
    outcome: int
    load: dict | None
    passed: bool
    lag: int
    answered: bool


class ForwardedRequest(NamedTuple):
    """Fields of FORWARD.

    Attributes:
        invocation: Number of the invocation.
        number: Number of the dispatch.
        instance: The appliance to send it to.
        timeout: The dispatch is given up after this time.
        granted_at: When the grant was given or renewed.
        deadline: When the client stops waiting.
        stream: Whether the answer is a stream.
        key: The client's key.
        path: Path of the call.
        metadata: Metadata of the call, as lists of name and value.
        body: Pieces of the request's body.
    """

    invocation: int
    number: int
    instance: str
    timeout: int
    granted_at: int
    deadline: int
    stream: bool
    key: str | None
    path: bytes
    metadata: list[Any]
    body: list[bytes]

"""Rules 1 to 3 for each process of an agent, rule 4 over all agents, and whether the recordings agree."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from ..agent.grpc_mapping import ANSWER, WORK
from ..proto import agent_pb2 as pb
from ..wire.grpc import decode_timeout
from .agent_process import AGENT, ATTEMPT, DISPATCH, AgentProcess, TakenCall
from .breach import Breach, Rule
from .decode import Tap
from .exchange import Exchange

_ANSWER = ANSWER.decode()
_WORK = WORK.decode()
DEFAULT_WORK = "1m"  # of a request whose client does not tell; a grpc-timeout text

LEAVING = 5_000  # microseconds before its deadline at which a client's own clock may end a call
SECOND = 1_000_000


class Excuse(StrEnum):
    """What kept a process from answering by a deadline."""

    NONE = ""
    KILLED = "killed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class ServerStart:
    """One start of a server, as the stand-ins wrote it down; the names are those of their file."""

    ident: str
    address: str
    build: int
    started: int
    cores: int
    speed: float
    cold_share: float
    warm_time: int
    fall_multiple: float
    fall_time: int


def check_calls(process: AgentProcess, excuse: Callable[[int, int], Excuse]) -> None:
    """Checks rules 1 and 2; `excuse` tells for a connection why it had no answer by a deadline."""
    for call in process.taken:
        check_one_answer(process, call, excuse(call.front.connection, call.deadline))
        check_no_effect_twice(process, call)


def check_one_answer(process: AgentProcess, call: TakenCall, excuse: Excuse) -> None:
    """Rule 1: one final answer in time, and nothing is sent after it. Notes the call's outcome."""
    answered_at = _check_answer(process, call, excuse)
    if answered_at is None:
        return
    for dispatch in call.dispatches:
        if dispatch.began_at > answered_at + process.turn:
            late_by = dispatch.began_at - answered_at
            what = f"sent {late_by} us after the answer"
            process.report(Rule.ONE_ANSWER, dispatch.began_at, dispatch, what)


def _check_answer(process: AgentProcess, call: TakenCall, excuse: Excuse) -> int | None:
    """Returns when the call was over for its client; None if it never was."""
    front = call.front
    if front.answered_at is not None:
        _check_time(process, call, front.answered_at, excuse)
        return front.answered_at
    left_at = _left_at(front)
    if left_at is not None and left_at < call.deadline - LEAVING:
        call.outcome = "left"
    elif excuse:
        call.outcome = excuse
    else:
        call.outcome = "unanswered"
        if left_at is None:
            process.report(Rule.ONE_ANSWER, call.deadline, front, "never answered")
        else:
            what = "not answered by the time its client left, as its time was up"
            process.report(Rule.ONE_ANSWER, left_at, front, what)
    return left_at


def _check_time(process: AgentProcess, call: TakenCall, answered_at: int, excuse: Excuse) -> None:
    front = call.front
    call.outcome = front.trailers.get(_ANSWER, "succeeded")
    if len(front.ended_at_times) > 1:
        process.report(Rule.ONE_ANSWER, front.ended_at_times[1], front, "answered twice")
    if answered_at <= call.deadline:
        return
    if excuse == Excuse.STOPPED:
        call.outcome = excuse
        return
    what = f"answered {answered_at - call.deadline} us after the client's time was up"
    process.report(Rule.ONE_ANSWER, answered_at, front, what)


def _left_at(front: Exchange) -> int | None:
    """Returns when the client gave up."""
    reset_at = front.reset.at if front.reset and not front.reset.sent_here else None
    times = (reset_at, front.disconnected_at)
    return min((time for time in times if time is not None), default=None)


def check_no_effect_twice(process: AgentProcess, call: TakenCall) -> None:
    """Rule 2: what is not idempotent is repeated only where no effect can happen twice."""
    operation = process.document.operations[call.operation]
    if operation.effect == "idempotent":
        return
    for number, dispatch in enumerate(call.dispatches):
        for earlier in call.dispatches[:number]:
            unprocessed_at = earlier.known_unprocessed_at
            if unprocessed_at is None or unprocessed_at > dispatch.began_at:
                _check_repeat(process, call, earlier, dispatch)
    if operation.effect == "side-effecting" and call.outcome == "throttled":
        _check_throttled(process, call)


def _check_repeat(process: AgentProcess, call: TakenCall, earlier: Exchange, dispatch: Exchange) -> None:
    operation = process.document.operations[call.operation]
    if operation.effect == "side-effecting":
        what = "sent again though an earlier dispatch may have run"
    elif dispatch.began_at > earlier.began_at + operation.window:
        what = "repeated after the window"
    elif not _same_group(process, earlier, dispatch, operation.group):
        what = f"repeated outside the {operation.group}"
    else:
        return
    process.report(Rule.NO_EFFECT_TWICE, dispatch.began_at, dispatch, what)


def _check_throttled(process: AgentProcess, call: TakenCall) -> None:
    answered_at = call.front.answered_at
    for dispatch in call.dispatches:
        unprocessed_at = dispatch.known_unprocessed_at
        if unprocessed_at is None or unprocessed_at > answered_at:
            what = "throttled though a dispatch may have run"
            process.report(Rule.NO_EFFECT_TWICE, answered_at, call.front, what)


def _same_group(process: AgentProcess, one: Exchange, other: Exchange, group: str) -> bool:
    if group == "all":
        return True
    first, second = process.server_of(one), process.server_of(other)
    if first is None or second is None:
        return False
    return getattr(first.entry, group) == getattr(second.entry, group)


def check_drains(process: AgentProcess) -> None:
    """Rule 3: nothing is sent to a server that drains, once the grace is over."""
    grace = process.document.appliances.drain_grace
    for exchange, told in process.dispatches:
        if told is None:
            process.report(Rule.DRAINS, exchange.began_at, exchange, "sent to what no list has named")
        elif told.entry.state != pb.READY and exchange.began_at > told.at + grace:
            late_by = (exchange.began_at - told.at) // 1000
            what = f"sent to {told.entry.appliance} {late_by} ms after it was told leaving"
            process.report(Rule.DRAINS, exchange.began_at, exchange, what)


def check_cold_servers(starts: list[ServerStart], server_taps: Iterable[Tap]) -> list[Breach]:
    """Rule 4, over all agents: a cold server gets no more work than it can do."""
    received: dict[ServerStart, list[Exchange]] = defaultdict(list)
    for exchange in _received_dispatches(server_taps):
        start = _start_of(starts, exchange)
        if start is not None and start.started:
            received[start].append(exchange)
    return [
        breach
        for start, exchanges in received.items()
        for breach in _check_warming(start, sorted(exchanges, key=lambda exchange: exchange.began_at))
    ]


def _check_warming(start: ServerStart, exchanges: list[Exchange]) -> list[Breach]:
    breaches = []
    recent: list[tuple[int, int]] = []  # when it arrived, and how much work it is
    for exchange in exchanges:
        age = exchange.began_at - start.started
        if not 0 <= age < start.warm_time:
            continue
        recent = [row for row in recent if row[0] >= exchange.began_at - start.fall_time]
        work = decode_timeout(exchange.request.get(_WORK, DEFAULT_WORK).encode())
        recent.append((exchange.began_at, work))
        warmth = start.cold_share + (1 - start.cold_share) * age / start.warm_time
        most = start.fall_multiple * warmth * start.cores * start.speed * start.fall_time
        total = sum(work for _, work in recent)
        if total > most:
            what = (
                f"{start.ident} was sent {total / SECOND:.2f} s of work in {start.fall_time / SECOND:g} s, "
                f"where {most / SECOND:.2f} may come"
            )
            breaches.append(Breach(Rule.COLD_SERVERS, exchange.began_at, exchange.place, what))
    return breaches


def _start_of(starts: list[ServerStart], exchange: Exchange) -> ServerStart | None:
    """Returns the latest start of the server that received a request, by the address in :authority."""
    address, latest = exchange.request.get(":authority", ""), None
    for start in starts:
        if start.address == address and start.started <= exchange.began_at:
            latest = start
    return latest


def _received_dispatches(server_taps: Iterable[Tap]) -> list[Exchange]:
    return [
        exchange
        for tap in server_taps
        for exchange in tap.exchanges
        if not exchange.opened_here and DISPATCH in exchange.request
    ]


def check_agreement(processes: list[AgentProcess], server_taps: Iterable[Tap]) -> list[Breach]:
    """The servers received only what the agents' sockets sent: else a recording or an agent hides it."""
    sent = {_identity(dispatch.exchange) for process in processes for dispatch in process.dispatches}
    what = "came to an appliance, but no agent's sockets show it"
    return [
        Breach(Rule.ONE_ANSWER, exchange.began_at, exchange.place, what)
        for exchange in _received_dispatches(server_taps)
        if _identity(exchange) not in sent
    ]


def _identity(exchange: Exchange) -> tuple[str | None, str, str | None]:
    request = exchange.request
    return request.get(AGENT), request[DISPATCH], request.get(ATTEMPT)

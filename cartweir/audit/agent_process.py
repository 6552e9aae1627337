"""One process of an agent: what it was told, the calls that it took, the requests that it sent."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from ..agent.grpc_mapping import AGENT_HEADER, DISPATCH_HEADER, KEY
from ..fleet.fencing import Fence
from ..proto import agent_pb2 as pb
from ..settings.schema import AgentDocument
from ..wire.grpc import MalformedError, decode_timeout, messages
from .breach import Breach, Rule
from .decode import ATTEMPT_HEADER, Tap
from .exchange import OK, Chunk, Exchange
from .registry_view import RegistryView, ToldEntry
from .stage_history import StageHistory, ToldStage

ATTEMPT = ATTEMPT_HEADER.decode()
IDEMPOTENCY_KEY = KEY.decode()
AGENT = AGENT_HEADER.decode()
DISPATCH = DISPATCH_HEADER.decode()

WATCH = "/cartweir.v1.Registry/Watch"
FETCH = "/cartweir.v1.Registry/Fetch"
NEWS = "/cartweir.v1.Conveyor/News"
VOTE = "/cartweir.v1.Conveyor/Vote"
CONTROL_PATHS = frozenset((WATCH, FETCH, NEWS, VOTE))

MESSAGE_HEADER_SIZE = 5  # of a gRPC message: a flag and the length


class Lost(StrEnum):
    """A file that an agent lost between two processes."""

    LIST = "list"
    STAGE = "stage"
    KEYS = "facts"


@dataclass(eq=False, slots=True)
class TakenCall:
    """A call that the agent took from a client.

    Attributes:
        outcome: succeeded, throttled, terminated, left, killed, stopped or unanswered, once it was checked.
    """

    front: Exchange
    operation: str
    deadline: int
    dispatches: list[Exchange] = field(default_factory=list)
    outcome: str = ""


class Dispatch(NamedTuple):
    """A request to a server, and what the agent had been told of the server."""

    exchange: Exchange
    told: ToldEntry | None


class AnsweredKey(NamedTuple):
    """An idempotency key that a build had answered."""

    at: int
    key: str
    build: int


def is_control_path(path: str) -> bool:
    """Whether the response on this path tells an agent of servers or stages."""
    return path in CONTROL_PATHS


def _messages(chunks: list[Chunk]) -> Iterator[tuple[int, bytes]]:
    """Returns the messages of a response, each with the time of its last byte."""
    data = b""
    for chunk in chunks:
        data += chunk.data
        while len(data) >= MESSAGE_HEADER_SIZE:
            size = MESSAGE_HEADER_SIZE + int.from_bytes(data[1:MESSAGE_HEADER_SIZE], "big")
            if len(data) < size:
                break
            try:
                message = messages(data[:size])[0]
            except MalformedError:
                return
            yield chunk.at, message
            data = data[size:]


class AgentProcess:
    """One process of an agent.

    Attributes:
        taken: the calls that it took.
        dispatches: the requests that it sent to servers, in order.
        answered_keys: the keys that were answered to it, or to an earlier process as far as it knows.
        breaches: of the rules.
        turn: frames closer to one another than this may have been handled together.
    """

    def __init__(
        self,
        tap: Tap,
        document: AgentDocument,
        deadlines: Mapping[str, int],
        previous: AgentProcess | None = None,
        lost: frozenset[str] = frozenset(),
    ) -> None:
        """Reads a recording.

        Args:
            tap: the recording.
            document: the agent's settings.
            deadlines: when the clients began each attempt; the time limit counts from then.
            previous: the same agent's previous process, whose files this one found, but for those that were
            lost.
            lost: the files that were lost, as `Lost` names them.
        """
        self.tap = tap
        self.document = document
        self.breaches: list[Breach] = []
        self.turn = 2 * document.agent.tick
        self.operations = {
            path: name for name, operation in document.operations.items() for path in operation.methods
        }
        agent = document.agent
        finds_stage = previous is not None and agent.stage_file and Lost.STAGE not in lost
        self._fence = Fence(previous._fence.seen) if finds_stage else Fence()
        finds_list = previous is not None and agent.list_file and Lost.LIST not in lost
        self.registry = RegistryView(document.registry, previous.registry if finds_list else None)
        # a process that lost its keys, and knows that it has run before, counts all keys as bound
        knows_keys = previous is not None and agent.facts_file and not {Lost.STAGE, Lost.KEYS} <= lost
        self.answered_keys = list(previous.answered_keys) if knows_keys else []
        self.stages = self._read_control()
        self.registry.expire(tap.last)
        self.taken: list[TakenCall] = []
        by_attempt = self._read_calls(deadlines)
        self.dispatches = self._read_dispatches(by_attempt)
        self.answered_keys += self._read_answered_keys()

    def report(self, rule: Rule, at: int, exchange: Exchange, what: str) -> None:
        """Notes that a rule was broken."""
        self.breaches.append(Breach(rule, at, exchange.place, what))

    def _read_control(self) -> StageHistory:
        stages = []
        for exchange in self.tap.exchanges:
            if not exchange.opened_here or not is_control_path(exchange.path):
                continue
            for at, message in _messages(exchange.body):
                if exchange.path in (WATCH, FETCH):
                    self.registry.apply(at, pb.Listing.FromString(message))
                elif (stage := _stage_in(exchange.path, message)) is not None:
                    stages.append(ToldStage(at, stage))
        return StageHistory(stages, self._fence, self.document.release.caps)

    def _read_calls(self, deadlines: Mapping[str, int]) -> dict[str, TakenCall]:
        by_attempt = {}
        for exchange in self.tap.exchanges:
            if exchange.opened_here or exchange.request_ended_at is None:
                continue
            operation = self.operations.get(exchange.path)
            if operation is None:
                continue
            limit = self.document.operations[operation].time_limit
            if "grpc-timeout" in exchange.request:
                limit = min(limit, decode_timeout(exchange.request["grpc-timeout"].encode()))
            attempt = exchange.request.get(ATTEMPT, "")
            call = TakenCall(exchange, operation, deadlines.get(attempt, exchange.began_at) + limit)
            self.taken.append(call)
            by_attempt[attempt] = call
        return by_attempt

    def _read_dispatches(self, by_attempt: Mapping[str, TakenCall]) -> list[Dispatch]:
        sent = [
            exchange
            for exchange in self.tap.exchanges
            if exchange.opened_here and DISPATCH in exchange.request
        ]
        sent.sort(key=lambda exchange: exchange.began_at)
        for exchange in sent:
            call = by_attempt.get(exchange.request.get(ATTEMPT, ""))
            if call is None:
                self.report(
                    Rule.ONE_ANSWER, exchange.began_at, exchange, "a dispatch for what was never taken"
                )
            else:
                call.dispatches.append(exchange)
        return [Dispatch(exchange, self.server_of(exchange)) for exchange in sent]

    def _read_answered_keys(self) -> list[AnsweredKey]:
        """Returns the keys that were answered while the agent was still there to read it."""
        keys = []
        for exchange, told in self.dispatches:
            key, at = exchange.request.get(IDEMPOTENCY_KEY), exchange.answered_at
            if told is None or key is None or at is None or exchange.trailers.get("grpc-status") != OK:
                continue
            if exchange.reset and exchange.reset.sent_here and exchange.reset.at < at:
                continue
            keys.append(AnsweredKey(at, key, told.entry.build))
        return keys

    def server_of(self, exchange: Exchange) -> ToldEntry | None:
        """Returns what the agent had been told of the server when it sent a request to it."""
        return self.registry.entry_of(exchange.peer, exchange.began_at)


def _stage_in(path: str, message: bytes) -> pb.Stage | None:
    if path == NEWS:
        word = pb.Word.FromString(message)
        return word.stage if word.WhichOneof("what") == "stage" else None
    verdict = pb.Verdict.FromString(message)
    return verdict.stage if verdict.answer == pb.Verdict.OK else None

"""An id that may have run is never run again: drawn orders of requests, repeats, ends and pauses."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from virtual_front import Script, SentRequest, VirtualFront, play

from cartweir import interface as ours
from cartweir.logic.executed_requests import RETENTION
from cartweir.logic.timing import SECOND
from cartweir.node.client_connection import ClientConnection

REMEMBERED = RETENTION / SECOND  # seconds since an id last came for which it is known at least
PLACES = 256  # ids that may be remembered
SETTLED = 4.0  # seconds in which every request is answered
SERVED = 200
CONFLICT = 409
THROTTLED = 429


@dataclass(frozen=True, slots=True)
class Ask:
    """A client sends a request with a new id."""

    operation: str
    script: Script
    fails: bool = False  # the agent has an internal error, just after it has sent the first attempt


@dataclass(frozen=True, slots=True)
class Leave:
    """The client of an earlier request closes its connection."""

    index: int


@dataclass(frozen=True, slots=True)
class Repeat:
    """A client sends an earlier request again, so many times, one of them each `every` seconds."""

    index: int
    times: int
    every: float


@dataclass(frozen=True, slots=True)
class Crowd:
    """Other clients send side-effecting requests with new ids."""

    size: int


@dataclass(frozen=True, slots=True)
class Pause:
    seconds: float


@dataclass(frozen=True, slots=True)
class Reload:
    """The agent receives SIGHUP."""


@dataclass(frozen=True, slots=True)
class Drain:
    """The agent receives SIGTERM."""


RESULTS = [
    ours.SUCCEEDED,
    ours.ERROR,
    ours.RESET,
    ours.FULL,
    ours.UNCONNECTED,
    None,
]
SCRIPTS = st.builds(
    Script,
    st.sampled_from(RESULTS),
    st.sampled_from([0.001, 0.02, 0.4, 2.5]),
    st.sampled_from([0.0, 0.0, 0.02, 5.0]),
)
INDEXES = st.integers(0, 5)
SHORT = st.floats(0.0, 3.0)
LONG = st.floats(0.4 * REMEMBERED, REMEMBERED)
STEPS = st.one_of(
    st.builds(
        Ask, st.sampled_from(["issue", "order", "view"]), SCRIPTS, st.sampled_from([False] * 4 + [True])
    ),
    st.builds(Leave, INDEXES),
    st.builds(Repeat, INDEXES, st.integers(1, 60), SHORT),
    st.builds(Repeat, INDEXES, st.integers(1, 8), LONG),
    st.builds(Crowd, st.integers(1, 2 * PLACES)),
    st.builds(Pause, st.one_of(SHORT, LONG)),
    st.just(Reload()),
    st.just(Drain()),
)


class Scenario:
    """Plays steps, and checks each answer to an id that comes again.

    Attributes:
        virtual: The front.
        asked: The requests with a new id.
        came_at: When an id last came, in seconds.
        lapsed: Ids that came again after more than `REMEMBERED`, and may be taken for new from then on.
    """

    def __init__(self, virtual: VirtualFront) -> None:
        self.virtual = virtual
        self.asked: list[SentRequest] = []
        self.came_at: dict[str, float] = {}
        self.lapsed: set[str] = set()

    async def play(self, steps) -> None:
        for step in steps:
            await self._play(step)
        await asyncio.sleep(SETTLED)
        for request in self.asked:
            if request.operation != "view" and request.id not in self.lapsed:
                assert self.virtual.runs.may_have_run(request.id) <= 1

    async def _play(self, step) -> None:
        match step:
            case Ask(operation, script, fails):
                self.ask(operation, script, fails)
            case Leave(index) if index < len(self.asked):
                self.asked[index].leave()
            case Repeat(index, times, every) if index < len(self.asked):
                for _ in range(times):
                    self._send_again(self.asked[index])
                    await asyncio.sleep(every)
            case Crowd(size):
                for _ in range(size):
                    self.ask("issue", QUICK)
            case Pause(seconds):
                await asyncio.sleep(seconds)
            case Reload():
                self.virtual.engine_host.discovery_moved()
            case Drain() if not self.virtual.front.draining:
                self.virtual.front.drain()

    def ask(
        self,
        operation: str,
        script: Script,
        fails: bool = False,
        client: ClientConnection | None = None,
    ) -> SentRequest:
        """Sends a request with a new id, on a new connection unless one is given."""
        request_id = f"id-{len(self.asked)}"
        self.virtual.scripts[request_id] = script
        if fails:
            self.virtual.fails_after_sending.add(request_id)
        self.asked.append(self.virtual.send(request_id, operation, client))
        self.came_at[request_id] = asyncio.get_running_loop().time()
        if self.asked[-1].status == THROTTLED:
            assert not self.virtual.runs.may_have_run(request_id)
        return self.asked[-1]

    def _send_again(self, first: SentRequest) -> None:
        """Sends a request again; it is refused if it may have run, and served if nothing did."""
        now = asyncio.get_running_loop().time()
        may_have_run = first.operation != "view" and self.virtual.runs.may_have_run(first.id)
        open_now = first.id.encode() in self.virtual.front.calls
        if now - self.came_at[first.id] > REMEMBERED:
            self.lapsed.add(first.id)
        known = first.id not in self.lapsed
        self.came_at[first.id] = now
        status = self.virtual.send(first.id, first.operation).status
        if open_now or (may_have_run and known):
            assert status == CONFLICT
        elif not may_have_run:
            assert status != CONFLICT


NO_ANSWER = Script(None, 0)
SLOW = Script(ours.SUCCEEDED, 2.5)
QUICK = Script(ours.SUCCEEDED, 0.02)
UNSENT = Script(ours.SUCCEEDED, 0.02, connecting=5.0)


@settings(max_examples=120, deadline=None)
@given(st.lists(STEPS, min_size=2, max_size=12))
@example([Ask("issue", QUICK), Repeat(0, 60, 1.3)])  # review/6
@example([Ask("issue", NO_ANSWER), Leave(0), Repeat(0, 4, REMEMBERED)])
@example([Ask("issue", QUICK), Repeat(0, 3, REMEMBERED), Crowd(2 * PLACES), Repeat(0, 2, REMEMBERED)])
@example([Ask("order", SLOW), Pause(SETTLED), Repeat(0, 1, 0.0)])  # its client was told to retry
@example([Ask("issue", QUICK), Pause(1.0), Crowd(2 * PLACES), Repeat(0, 1, 0.0)])  # issue 55, step 2
@example([Ask("issue", NO_ANSWER, fails=True), Repeat(0, 1, 0.0)])
@example([Ask("issue", UNSENT), Leave(0), Repeat(0, 1, 0.0)])
@example([Ask("order", UNSENT), Pause(SETTLED), Repeat(0, 1, 0.0)])
def test_an_id_that_keeps_coming_is_not_run_again(steps):
    """Guards against ids forgotten with time, for new ones, once throttled, or for an internal error.

    It guards against ids, too, that are kept though nothing of their requests was sent.
    """
    play(lambda virtual: Scenario(virtual).play(steps), remembered_ids=PLACES)


@pytest.mark.parametrize("seconds", [61, 90, 300, 3_600, 24 * 3_600])
def test_an_id_that_comes_after_any_pause_is_not_run_again_while_there_is_room(seconds):
    """Guards against ids that were forgotten by time alone, though nothing needed their places."""
    steps = [Ask("issue", QUICK), Ask("order", QUICK), Pause(seconds)]

    async def scenario(virtual: VirtualFront) -> None:
        played = Scenario(virtual)
        await played.play(steps)
        for first in played.asked:
            assert virtual.send(first.id, first.operation).status == CONFLICT

    play(scenario, remembered_ids=PLACES)


@pytest.mark.parametrize("again", ["issue", "order", "view"])
@pytest.mark.parametrize("first, refused", [("issue", True), ("order", True), ("view", False)])
def test_an_id_that_may_have_run_is_refused_for_each_operation(first, refused, again):
    async def scenario(virtual: VirtualFront) -> None:
        asked = Scenario(virtual).ask(first, QUICK)
        await asyncio.sleep(2 * QUICK.seconds)
        assert asked.status == SERVED
        other = virtual.send(asked.id, again)
        await asyncio.sleep(2 * QUICK.seconds)
        assert other.status == (CONFLICT if refused else SERVED)

    play(scenario, remembered_ids=PLACES)


@settings(max_examples=25, deadline=None)
@given(
    st.lists(st.integers(0, 2 * PLACES), min_size=1, max_size=12), st.sampled_from([0.0, 0.1, REMEMBERED / 2])
)
@example([0, 177, 73], REMEMBERED / 2)  # its ids outlast the span in which they were counted
def test_one_client_does_not_take_the_places_of_all(turns, pause):
    """Guards against a client that fills the table, so that the requests of all others are turned away.

    It sends one request behind another; another client asks once after each of its turns.
    """

    async def scenario(virtual: VirtualFront) -> None:
        played = Scenario(virtual)
        greedy = virtual.connect()
        for turn in turns:
            for _ in range(turn):
                played.ask("issue", QUICK, client=greedy)
                await asyncio.sleep(2 * QUICK.seconds)
            other = played.ask("issue", QUICK)
            await asyncio.sleep(2 * QUICK.seconds + pause)
            assert other.status == SERVED

    play(scenario, remembered_ids=PLACES)


@settings(max_examples=60, deadline=None)
@given(
    st.sampled_from(["issue", "order", "view"]),
    st.sampled_from([0.0, 0.05, 0.3, 5.0]),
    st.sampled_from([None, ours.RESET, ours.ERROR]),
    st.integers(50, 2_000),
)
@example("issue", 5.0, None, 200)
def test_a_client_is_told_to_retry_if_nothing_of_its_request_was_sent(operation, connecting, result, limit):
    """Guards against a 500, which tells of a possible effect, where the request waited for a connection."""

    async def scenario(virtual: VirtualFront) -> None:
        virtual.scripts["one"] = Script(result, 0.02, connecting)
        sent = virtual.send("one", operation, X_Timeout=f"{limit}m")
        await asyncio.sleep(SETTLED)
        if not virtual.runs.may_have_run("one"):
            assert sent.status == THROTTLED
        elif operation == "issue":
            assert sent.status == 500

    play(scenario, remembered_ids=PLACES)

"""Plays an ordinary day on virtual time: what a change of the decisions costs, on the same seeds.

Some agents send the requests of their clients to the servers of one service while a good build is rolled
out in three stages. Keys go one way: one that the new build has answered to an agent must not go from that
agent to the earlier build again. Each server works on two requests at a time and queues the others; servers
of the new build start cold. Nothing fails unless an option says so.

    ./dev ordinary_day --seeds 20
    ./dev ordinary_day --seeds 20 --lost 0.02      # of the new build's answers
    ./dev ordinary_day --seeds 20 --slow 3         # times the work, at the new build
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
import statistics
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from cartweir import interface as ours
from cartweir.engine import Engine
from cartweir.interface import Appliance, Dispatch, Invocation, Operation, Outcome, Stage

MILLISECOND, SECOND = 1_000, 1_000_000
AGENT_SHARES = (0.5, 0.3, 0.2)  # of the requests
EARLIER_SERVERS, CORES = 12, 2
NETWORK_TIME = MILLISECOND  # one way
COLD_SHARE, WARM_TIME = 0.4, 5 * SECOND  # of its speed that a server starts with, until it is warm
WORK = 60 * MILLISECOND, 210 * MILLISECOND
REQUESTS = 100.0  # a second, of all agents
KEYS, KEY_EXPONENT = 5_000, 1.1
STAGE_TIME = 6 * SECOND
START_OF_STAGES = 3 * SECOND
SHARES, CAPS = (0.1, 0.35, 1.0), (0.14, 0.42, 1.0)
LENGTH = START_OF_STAGES + (len(CAPS) + 1) * STAGE_TIME
KEY_COUNTS_AFTER = 150 * MILLISECOND  # from when an answer was written
EARLIER_BUILD, NEW_BUILD = 1, 2


@dataclass
class Options:
    """What the day is like; by default ordinary.

    Attributes:
        lost: The part of the new build's answers that never arrive.
        slow: By how much the new build needs more time for its work.
    """

    lost: float = 0.0
    slow: float = 1.0


@dataclass
class Server:
    """One server: a few cores, and a queue."""

    appliance: Appliance
    free_at: list[int] = field(default_factory=lambda: [0] * CORES)

    def work(self, now: int, duration: float) -> int:
        """Returns when work that arrives now is done; duration: on a warm server."""
        begin = max(now, heapq.heappop(self.free_at))
        end = begin + round(duration / self._speed(begin))
        heapq.heappush(self.free_at, end)
        return end

    def _speed(self, now: int) -> float:
        if not self.appliance.started:
            return 1.0
        return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * (now - self.appliance.started) / WARM_TIME)


class Day:
    """One day: clients, agents and servers on one virtual clock.

    Attributes:
        counts: Requests by what became of them, dispatches, and keys that went back.
    """

    def __init__(self, seed: int, options: Options) -> None:
        self.options = options
        # of their own, so that other decisions lead to no other requests
        self._requests, self._servers = random.Random(seed), random.Random(seed + 1_000_000)
        self.counts: Counter[str] = Counter()
        self.now = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_count = itertools.count()
        self.operation = Operation("view", ours.IDEMPOTENT, slo_time=SECOND, time_limit=3 * SECOND)
        self.servers: dict[str, Server] = {}
        self.agents = [AgentHost(self, number, seed) for number in range(len(AGENT_SHARES))]
        self.key_answered_at: dict[tuple[AgentHost, str], int] = {}
        self._key_weights = list(itertools.accumulate((place + 1) ** -KEY_EXPONENT for place in range(KEYS)))

    def at(self, time: int, call: Callable[[], None]) -> None:
        """Calls back at a time."""
        heapq.heappush(self._events, (time, next(self._event_count), call))

    def play(self) -> Counter[str]:
        """Plays the day to its end; returns the counts."""
        self._add_servers(EARLIER_BUILD, EARLIER_SERVERS)
        self._tell(Stage(EARLIER_BUILD, len(CAPS) - 1, ours.RELEASED, 1.0, 0))
        for number, cap in enumerate(CAPS):
            begin = START_OF_STAGES + number * STAGE_TIME
            self.at(begin, lambda number=number, cap=cap: self._begin_stage(number, cap))
        released = Stage(NEW_BUILD, len(CAPS) - 1, ours.RELEASED, 1.0, 0)
        self.at(START_OF_STAGES + len(CAPS) * STAGE_TIME, lambda: self._tell(released))
        self._next_request()
        while self._events:
            time, _, call = heapq.heappop(self._events)
            if time > LENGTH + self.operation.time_limit:
                break
            self.now = time
            call()
        return self.counts

    def _begin_stage(self, number: int, cap: float) -> None:
        running = sum(server.appliance.build == NEW_BUILD for server in self.servers.values())
        self._tell(Stage(NEW_BUILD, number, ours.ON_TRIAL, cap, 0))
        self._add_servers(NEW_BUILD, round(SHARES[number] * EARLIER_SERVERS) - running)

    def _add_servers(self, build: int, count: int) -> None:
        names = [f"build{build}-{len(self.servers) + number}" for number in range(count)]
        started = self.now if build == NEW_BUILD else 0
        for name in names:
            self.servers[name] = Server(Appliance(name, build, "a", started=started))
        for agent in self.agents:
            agent.tell_list([Appliance(name, build, "a", started=started) for name in names])

    def _tell(self, stage: Stage) -> None:
        for agent in self.agents:
            agent.engine.advance_to(self.now)
            agent.engine.agent.on_stage(stage)
            agent.engine.resume_woken()

    def _next_request(self) -> None:
        due = self.now + round(self._requests.expovariate(REQUESTS / SECOND))
        if due < LENGTH:
            self.at(due, self._request)

    def _request(self) -> None:
        key = self._requests.choices(range(KEYS), cum_weights=self._key_weights)[0]
        agent = self._requests.choices(self.agents, AGENT_SHARES)[0]
        self.counts["requests"] += 1
        agent.take(f"key-{key}")
        self._next_request()

    def send(self, agent: AgentHost, dispatch: Dispatch) -> None:
        """Carries a dispatch to its server, and the answer back."""
        self.counts["dispatches"] += 1
        server = self.servers[dispatch.appliance.id]
        build, key = server.appliance.build, (agent, dispatch.invocation.key)
        arrived = self.now + NETWORK_TIME
        answered_at = self.key_answered_at.get(key)
        if build < NEW_BUILD and answered_at is not None and arrived > answered_at + KEY_COUNTS_AFTER:
            self.counts["keys_back"] += 1
        work = self._servers.uniform(*WORK) * (self.options.slow if build == NEW_BUILD else 1.0)
        written = server.work(arrived, work)
        if build == NEW_BUILD:
            self.counts["dispatches_new"] += 1
            self.at(written, lambda: self.key_answered_at.setdefault(key, written))
        if build < NEW_BUILD or self._servers.random() >= self.options.lost:
            self.at(written + NETWORK_TIME, lambda: agent.ended(dispatch, ours.SUCCEEDED))
        self.at(self.now + dispatch.timeout, lambda: agent.ended(dispatch, ours.TIMEOUT))


class AgentHost:
    """One agent: the engine, and the actions of its decisions."""

    def __init__(self, day: Day, number: int, seed: int) -> None:
        self.day = day
        settings = {
            **{"agents": len(AGENT_SHARES), "me": number, "zone": "a", "tick": 5 * MILLISECOND},
            **{"may_cancel": True, "may_probe": False, "may_message": False, "may_duplicate": True},
            **{"may_advise": True, "max_advice": SECOND // 2, "dispatch_limit": 4, "must_ask": False},
            **{"cold_share": COLD_SHARE, "warm_time": WARM_TIME, "fall_multiple": 4.0, "fall_time": SECOND},
            **{"drain_grace": 2 * SECOND, "idle_time": 30 * SECOND, "control": "share", "in_place": False},
            **{"per_operation": False, "window": 4 * SECOND, "free": 1.0, "caps": CAPS, "shares": SHARES},
            **{"guarded_stages": 0, "one_way": True, "on_votes": 2, "back_votes": 1, "flag_share": 0.0},
            **{"vote_life": 6 * SECOND, "vote_allowance": 100.0, "tally_time": 2 * SECOND},
            **{"probe_price": 0.0, "connect_price": 0.0, "operations": (day.operation,)},
        }
        self.engine = Engine(0, seed * len(AGENT_SHARES) + number, settings, self)
        self._count = 0

    def tell_list(self, appliances: list[Appliance]) -> None:
        """Tells of further servers."""
        self.engine.advance_to(self.day.now)
        self.engine.agent.on_list(ours.DELTA, appliances)
        self.engine.resume_woken()

    def take(self, key: str) -> None:
        """Takes a client's request."""
        self._catch_up()
        self._count += 1
        now, operation = self.day.now, self.day.operation
        self.engine.accept(Invocation(self._count, operation, now, now + operation.time_limit, key=key))
        self.engine.resume_woken()

    def ended(self, dispatch: Dispatch, result: str) -> None:
        """Reports the end of a dispatch, unless it has ended before."""
        if dispatch.result is not None:
            return
        self._catch_up()
        invocation, now = dispatch.invocation, self.day.now
        if result == ours.SUCCEEDED and not invocation.concluded:
            in_time = now - invocation.arrived_at <= invocation.operation.slo_time
            self.day.counts["served" if in_time else "late"] += 1
        complete = result == ours.SUCCEEDED or invocation.concluded
        self.engine.dispatch_ended(Outcome(dispatch, result, now - dispatch.sent, complete))
        self.engine.resume_woken()

    def _catch_up(self) -> None:
        self.engine.advance_to(self.day.now)
        self.engine.run_overdue_timers()

    # ---- actions of the decisions ----
    def dispatch(self, dispatch: Dispatch) -> None:
        """Sends a dispatch."""
        self.day.send(self, dispatch)

    def cancel(self, dispatch: Dispatch) -> None:
        """Stops waiting for a dispatch."""
        self.day.at(self.day.now, lambda: self.ended(dispatch, ours.CANCELLED))

    def throttle(self, invocation: Invocation, retry_after: int) -> None:
        """Counts a refusal."""
        self.day.counts["throttled"] += 1

    def terminate(self, invocation: Invocation) -> None:
        """Counts a failure."""
        self.day.counts["terminated"] += 1

    def set_timer(self, due: int) -> None:
        """Runs the engine's timers at that time."""
        self.day.at(due, self._run_timers)

    def _run_timers(self) -> None:
        self.engine.advance_to(self.day.now)
        self.engine.run_timers()
        self.engine.resume_woken()

    def log(self, text: str) -> None:
        """Logs nothing."""

    def vote(self, build: int, stage: int, verdict: str) -> None:
        """Counts a vote; the stages of this day take their time whatever the votes are."""
        self.day.counts[f"votes_{verdict}"] += 1

    def subscribe(self) -> None:
        """Does nothing: lists are pushed."""

    def fetch_list(self) -> None:
        """Does nothing: lists are pushed."""

    def message(self, to: int | None, figures: list[int]) -> None:
        """Sends nothing: messages are not allowed."""


def _number_between(least: float, most: float, kind: type = float) -> Callable[[str], float]:
    """Returns a parser of an option's value, which refuses what is outside of these bounds."""

    def parse(text: str) -> float:
        value = kind(text)
        if not least <= value <= most:
            raise argparse.ArgumentTypeError(f"{text}: expected a number from {least:g} to {most:g}")
        return value

    parse.__name__ = "number"
    return parse


def main() -> None:
    """Plays the days and prints a line for each, and one for all."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--seeds", type=_number_between(1, 10_000, int), default=20, help="days, of the seeds from 1 on"
    )
    parser.add_argument(
        "--lost", type=_number_between(0, 1), default=0.0, help="part of the new build's answers that is lost"
    )
    parser.add_argument(
        "--slow", type=_number_between(0.1, 100), default=1.0, help="times the work at the new build"
    )
    arguments = parser.parse_args()
    options = Options(arguments.lost, arguments.slow)
    shares, total = [], Counter()
    for seed in range(1, arguments.seeds + 1):
        counts = Day(seed, options).play()
        shares.append(counts["served"] / counts["requests"])
        total += counts
        print(f"seed {seed}: served {shares[-1]:.4f}", *(f"{name}={n}" for name, n in sorted(counts.items())))
    print(f"all: served {statistics.mean(shares):.4f}", *(f"{name}={n}" for name, n in sorted(total.items())))


if __name__ == "__main__":
    main()

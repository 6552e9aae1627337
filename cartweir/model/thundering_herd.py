"""A fleet of agents that all restart at once, in simulated time.

Every agent requests its first list from one of a few receivers, whose processor handles one call after
another. The decisions are those of the program: which agents are admitted (fleet/admission.py), and how long
an agent waits before it retries (hosting/backoff.py). Each defence can be disabled, to see what it
contributes.

An agent that gets no answer in time asks again, and the work done for it was wasted. In this way an overload
sustains itself after its trigger has gone (Bronson et al., 'Metastable failures in distributed systems',
HotOS 2021).
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..fleet.admission import AdmissionControl
from ..fleet.recovery import peak_count
from ..hosting.backoff import Backoff
from .simulation import Simulator

DEFENCES = ("admission", "advice", "waits", "changes")
SECOND = 1_000_000  # microseconds
LONGEST_RETRY = 60 * SECOND  # that a receiver tells an agent
START_SPREAD = 100_000  # microseconds within which all agents ask for the first time


@dataclass
class HerdConfig:
    """One run; times are whole microseconds, unless another unit is named.

    Attributes:
        agents: they restart at time 0.
        receivers: they serve lists.
        rate: agents that a receiver admits a second.
        full_list_time, changes_time, refusal_time: what a full list, a list of changes and a refusal cost the
            receiver's processor.
        answer_timeout: after which an agent gives up on a request.
        known_share: the share of agents whose stored list the receiver still knows.
        advice_share: the share of agents that comply when they are told when to retry.
        shortest_backoff, longest_backoff: as [wire] reconnect_least and reconnect_most.
        seconds: the longest run.
        disabled: the defences that are switched off.
    """

    agents: int = 440
    receivers: int = 3
    rate: float = 200.0
    full_list_time: int = 3_000
    changes_time: int = 400
    refusal_time: int = 150
    answer_timeout: int = 2_000_000
    known_share: float = 1.0
    advice_share: float = 1.0
    shortest_backoff: int = 100_000
    longest_backoff: int = 5_000_000
    seconds: float = 300.0
    disabled: tuple = ()


@dataclass
class HerdResult:
    """What happened in one run; times are whole microseconds.

    Attributes:
        completed_at: when agents got their list, in order.
        requested_at: by receiver, when it was asked.
        refused: requests that were refused.
        wasted_time: the processor time spent on agents that had given up.
        busy_time: all processor time spent.
    """

    completed_at: list[int] = field(default_factory=list)
    requested_at: list[list[int]] = field(default_factory=list)
    refused: int = 0
    wasted_time: int = 0
    busy_time: int = 0

    def completion_time(self, share: float, agents: int) -> int | None:
        """Returns when this share of the agents had a list; None if that did not happen within the run."""
        place = max(1, round(share * agents)) - 1
        return self.completed_at[place] if place < len(self.completed_at) else None

    @property
    def peak_requests(self) -> int:
        """The largest number of requests to one receiver within a second."""
        return max(map(peak_count, self.requested_at), default=0)


class _Receiver:
    """A processor that handles calls in the order in which they arrive."""

    def __init__(self, config: HerdConfig, simulator: Simulator, result: HerdResult) -> None:
        self.config, self.simulator, self.result = config, simulator, result
        self.admission = AdmissionControl.for_rate(config.rate, LONGEST_RETRY)
        self.requested_at: list[int] = []
        self._queue: deque[Callable[[], int]] = deque()
        self._is_busy = False

    def request(self, agent: _Agent, call: int) -> None:
        self.requested_at.append(self.simulator.now)
        self._enqueue(lambda: self._admit(agent, call))

    def _admit(self, agent: _Agent, call: int) -> int:
        """Admits, delays or refuses a request; returns the processor time that it took."""
        config, now = self.config, self.simulator.now
        if "admission" not in config.disabled:
            decision = self.admission.decide(now)
            if decision.wait is None:
                self.result.refused += 1
                self.simulator.call_later(
                    config.refusal_time, lambda: agent.on_refusal(call, decision.retry_after)
                )
                return config.refusal_time
            if decision.wait:
                self.simulator.call_later(
                    decision.wait, lambda: self._enqueue(lambda: self._serve(agent, call))
                )
                return config.refusal_time
        return self._serve(agent, call)

    def _serve(self, agent: _Agent, call: int) -> int:
        """Sends a list; returns the processor time that it took."""
        config = self.config
        has_known_list = agent.is_known and "changes" not in config.disabled
        duration = config.changes_time if has_known_list else config.full_list_time
        self.result.wasted_time += duration if agent.call != call else 0
        self.simulator.call_later(duration, lambda: agent.on_answer(call))
        return duration

    def _enqueue(self, work: Callable[[], int]) -> None:
        self._queue.append(work)
        if not self._is_busy:
            self._run_next()

    def _run_next(self) -> None:
        self._is_busy = bool(self._queue)
        if self._is_busy:
            duration = self._queue.popleft()()
            self.result.busy_time += duration
            self.simulator.call_later(duration, self._run_next)


class _Agent:
    """An agent that asks until it has a list.

    Attributes:
        is_known: the receivers still know its stored list.
        complies: it waits as long as it is told.
        call: the number of its request; answers to earlier ones are ignored.
    """

    def __init__(
        self, config: HerdConfig, simulator: Simulator, receivers: list[_Receiver], result: HerdResult
    ) -> None:
        self.config, self.simulator, self.receivers, self.result = config, simulator, receivers, result
        rng = random.Random(simulator.rng.getrandbits(32))
        self.is_known, self.complies = rng.random() < config.known_share, rng.random() < config.advice_share
        self.receiver, self.call, self.is_done = rng.randrange(len(receivers)), 0, False
        self.backoff = Backoff(config.shortest_backoff, config.longest_backoff, rng)

    def request(self) -> None:
        self.call += 1
        call = self.call
        self.receivers[self.receiver].request(self, call)
        self.simulator.call_later(
            self.config.answer_timeout, lambda: call == self.call and not self.is_done and self._retry(0)
        )

    def on_answer(self, call: int) -> None:
        if call == self.call and not self.is_done:
            self.is_done = True
            self.result.completed_at.append(self.simulator.now)

    def on_refusal(self, call: int, retry_after: int) -> None:
        if call == self.call:
            heeds_advice = self.complies and "advice" not in self.config.disabled
            self._retry(retry_after if heeds_advice else 0)

    def _retry(self, retry_after: int) -> None:
        self.call += 1  # an answer to the last request comes too late
        self.receiver = (self.receiver + 1) % len(self.receivers) if not retry_after else self.receiver
        has_backoff = "waits" not in self.config.disabled
        delay = int(self.backoff.next_delay() * 1e6) if has_backoff else self.config.shortest_backoff
        self.simulator.call_later(max(delay, retry_after), self.request)


def run_herd(seed: int, config: HerdConfig) -> HerdResult:
    """Simulates one run.

    Raises:
        ValueError: a defence to disable does not exist.
    """
    if unknown := set(config.disabled) - set(DEFENCES):
        raise ValueError(f"no defence {', '.join(sorted(unknown))}: expected some of {', '.join(DEFENCES)}")
    simulator, result = Simulator(seed), HerdResult()
    receivers = [_Receiver(config, simulator, result) for _ in range(config.receivers)]
    for _ in range(config.agents):
        simulator.call_later(
            simulator.rng.randrange(START_SPREAD), _Agent(config, simulator, receivers, result).request
        )
    while simulator.now < config.seconds * SECOND and len(result.completed_at) < config.agents:
        simulator.run(simulator.now + SECOND)
    result.requested_at = [receiver.requested_at for receiver in receivers]
    return result

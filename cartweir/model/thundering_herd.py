"""A fleet that comes back in one moment, in simulated time: every agent wants its first list from one of a few receivers,
whose processor deals with one call after another. The decisions are the program's own: who is let in (fleet/admission.py), and
how long an agent waits for its next try (hosting/waits.py). Each defence can be switched off, to see what it buys.

An agent that got no answer within its time asks again, and what was done for it was wasted: that is how such a crowd feeds
itself once its trigger has gone (Bronson et al., 'Metastable failures in distributed systems', HotOS 2021)."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..fleet.admission import AdmissionControl
from ..fleet.recovery import peak_count
from ..hosting.backoff import Backoff
from .simulation import World

DEFENCES = ("admission", "advice", "waits", "changes")


@dataclass
class HerdConfig:
    """agents come back at 0, and ask one of so many receivers. whole, changes, refusal: microseconds of its processor for one
    whole list, one list of changes, one refusal. patience: of an agent, for an answer. heeds: share that heeds advice."""

    agents: int = 440
    receivers: int = 3
    rate: float = 200.0
    whole: int = 3_000
    changes: int = 400
    refusal: int = 150
    patience: int = 2_000_000
    known_share: float = 1.0  # share whose kept list is still known to the receiver
    advice_share: float = 1.0
    least: int = 100_000  # as [wire] reconnect_least, reconnect_most
    most: int = 5_000_000
    seconds: float = 300.0
    disabled: tuple = ()


@dataclass
class HerdResult:
    """told: when each agent was, in order. asked: of one receiver that was asked most, when. wasted: microseconds of work for
    agents that had given up; busy: all work."""

    completed_at: list[int] = field(default_factory=list)
    requested_at: list[list[int]] = field(default_factory=list)
    refused: int = 0
    wasted_time: int = 0
    busy_time: int = 0

    def completion_time(self, share: float, agents: int) -> int | None:
        """Until that share of all was told; None: not within what was played."""
        place = max(1, round(share * agents)) - 1
        return self.completed_at[place] if place < len(self.completed_at) else None

    @property
    def peak_requests(self) -> int:
        return max(map(peak_count, self.requested_at), default=0)


class _Receiver:
    """One processor, calls in the order in which they came."""

    def __init__(self, crowd: HerdConfig, world: World, back: HerdResult) -> None:
        self.crowd, self.world, self.back = crowd, world, back
        self.admission = AdmissionControl.for_rate(crowd.rate, 60_000_000)
        self.asked: list[int] = []
        self._queue: deque[Callable[[], int]] = deque()
        self._busy = False

    def ask(self, agent: _Agent, call: int) -> None:
        self.asked.append(self.world.now)
        self._push(lambda: self._look(agent, call))

    def _look(self, agent: _Agent, call: int) -> int:
        """Returns the time that it took."""
        crowd, now = self.crowd, self.world.now
        if "admission" not in crowd.disabled:
            verdict = self.admission.decide(now)
            if verdict.wait is None:
                self.back.refused += 1
                self.world.after(crowd.refusal, lambda: agent.refused(call, verdict.retry_after))
                return crowd.refusal
            if verdict.wait:
                self.world.after(verdict.wait, lambda: self._push(lambda: self._tell(agent, call)))
                return crowd.refusal
        return self._tell(agent, call)

    def _tell(self, agent: _Agent, call: int) -> int:
        crowd = self.crowd
        took = crowd.changes if agent.known and "changes" not in crowd.disabled else crowd.whole
        self.back.wasted_time += took if agent.call != call else 0
        self.world.after(took, lambda: agent.answered(call))
        return took

    def _push(self, work: Callable[[], int]) -> None:
        self._queue.append(work)
        if not self._busy:
            self._next()

    def _next(self) -> None:
        self._busy = bool(self._queue)
        if self._busy:
            took = self._queue.popleft()()
            self.back.busy_time += took
            self.world.after(took, self._next)


class _Agent:
    def __init__(self, crowd: HerdConfig, world: World, receivers: list[_Receiver], back: HerdResult) -> None:
        self.crowd, self.world, self.receivers, self.back = crowd, world, receivers, back
        chance = random.Random(world.chance.getrandbits(32))
        self.known, self.heeds = chance.random() < crowd.known_share, chance.random() < crowd.advice_share
        self.at, self.call, self.done = chance.randrange(len(receivers)), 0, False
        self.backoff = Backoff(crowd.least, crowd.most, chance)

    def ask(self) -> None:
        self.call += 1
        call = self.call
        self.receivers[self.at].ask(self, call)
        self.world.after(self.crowd.patience, lambda: call == self.call and not self.done and self._again(0))

    def answered(self, call: int) -> None:
        if call == self.call and not self.done:
            self.done = True
            self.back.completed_at.append(self.world.now)

    def refused(self, call: int, advice: int) -> None:
        if call == self.call:
            self._again(advice if self.heeds and "advice" not in self.crowd.disabled else 0)

    def _again(self, advice: int) -> None:
        self.call += 1  # what comes for the last one comes too late
        self.at = (self.at + 1) % len(self.receivers) if not advice else self.at
        wait = self.crowd.least if "waits" in self.crowd.disabled else int(self.backoff.next_delay() * 1e6)
        self.world.after(max(wait, advice), self.ask)


def run_herd(seed: int, crowd: HerdConfig) -> HerdResult:
    """Raises ValueError for a defence that there is not."""
    if unknown := set(crowd.disabled) - set(DEFENCES):
        raise ValueError(f"no defence {', '.join(sorted(unknown))}: of {', '.join(DEFENCES)} are due")
    world, back = World(seed), HerdResult()
    receivers = [_Receiver(crowd, world, back) for _ in range(crowd.receivers)]
    for _ in range(crowd.agents):
        world.after(world.chance.randrange(100_000), _Agent(crowd, world, receivers, back).ask)
    step = 1_000_000
    while world.now < crowd.seconds * 1e6 and len(back.completed_at) < crowd.agents:
        world.run(world.now + step)
    back.requested_at = [receiver.asked for receiver in receivers]
    return back

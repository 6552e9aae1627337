"""Fleets of every size under the real decisions, in simulated time: the owner of the release is killed again and again; how long
nobody is told by a new one, how long until all are, and what that costs in messages."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..fleet.admission import AdmissionControl
from ..fleet.duties import RELEASE
from ..fleet.fencing import Fence, FencingToken
from ..fleet.raft.member import Role, Timing
from .cluster import Cluster, HistoryConfig, Node


@dataclass
class FailoverConfig:
    """word: microseconds of a controller's processor for one word to one agent. down: of a killed controller until it is back. admit:
    agents that a controller lets begin to listen a second."""

    controllers: int = 3
    agents: int = 440
    kills: int = 30
    send_time: int = 60
    admission_rate: float = 200.0
    restart_delay: int = 2_000_000
    timing: Timing = field(default_factory=lambda: Timing(100_000, 500_000))

    @property
    def kill_interval(self) -> int:
        """From one kill to the next, and before the first: time for all to be let in twice over."""
        return 6_000_000 + int(2e6 * self.agents / self.controllers / self.admission_rate)


@dataclass
class FailoverResult:
    """first, last: from each kill until the first and the last agent followed a word of the next owner, whole microseconds. members:
    messages among controllers, in a second without faults; words: to agents, in all."""

    first_agent_times: list[int] = field(default_factory=list)
    last_agent_times: list[int] = field(default_factory=list)
    member_messages: float = 0.0
    stage_messages: int = 0
    refused: int = 0
    unfinished: int = 0  # kills after which not all were told before the next


def median(values: list[int]) -> int:
    """The median; 0 of none."""
    return sorted(values)[len(values) // 2] if values else 0


class _Listener:
    """An agent as far as news goes: it listens at one controller, and goes on to the next when that breaks."""

    def __init__(self, play: Play, number: int) -> None:
        self.play, self.name, self.at = play, f"agent{number}", number % play.fleet.controllers
        self.fence = Fence()

    def come(self) -> None:
        nodes = list(self.play.nodes.values())
        node = nodes[self.at % len(nodes)]
        wait = node.let_in(self) if node.up else None
        if wait is not None:  # refused, or nobody there: elsewhere, and not with all others
            self.at += 1
            self.play.world.after(max(wait, self.play.world.chance.randrange(50_000, 100_000)), self.come)

    def told(self, token: FencingToken) -> None:
        if self.fence.accept(token):
            self.play.followed(self, token)


class _Teller(Node):
    cluster: Play

    def start(self) -> None:
        self.listeners: list[_Listener] = []
        self.known, self.free_at = FencingToken(), 0
        self.admission = AdmissionControl.for_rate(self.cluster.fleet.admission_rate, 5_000_000)
        super().start()

    def let_in(self, agent: _Listener) -> int | None:
        """None: it listens, now or in its turn; else microseconds after which to come back, 0 where that is not said."""
        if self.member.leader is None:
            return 0
        verdict = self.admission.decide(self.clock.mono())
        if verdict.wait is None:
            self.cluster.found.refused += 1
            return verdict.retry_after
        life = self.life

        def begin() -> None:
            if not self._still(life):
                agent.come()
                return
            self.listeners.append(agent)
            if self.known.epoch:
                self._word(agent)

        self.cluster.world.after(verdict.wait, begin)
        return None

    def _apply(self) -> None:
        super()._apply()
        token = self.fleet.duties[RELEASE].token
        if token.epoch and token != self.known:
            self.known = token
            for agent in self.listeners:
                self._word(agent)

    def _word(self, agent: _Listener) -> None:
        """One behind the other: a controller has one processor."""
        world, token = self.cluster.world, self.known
        self.free_at = max(self.free_at, world.now) + self.cluster.fleet.send_time
        self.cluster.found.stage_messages += 1
        world.at(
            self.free_at,
            lambda: self.up and self.cluster.net.send(self.name, agent.name, lambda: agent.told(token)),
        )


class Play(Cluster):
    def __init__(self, seed: int, fleet: FailoverConfig) -> None:
        self.fleet, self.found = fleet, FailoverResult()
        super().__init__(
            seed,
            HistoryConfig(members=fleet.controllers, agents=0, faults=0, timing=fleet.timing),
            node=_Teller,
        )
        self.listeners = [_Listener(self, number) for number in range(fleet.agents)]
        self.killed_at, self.before, self.behind = (
            0,
            0,
            set(),
        )  # when, the epoch then, agents that have not followed a later one

    def followed(self, agent: _Listener, token: FencingToken) -> None:
        if self.killed_at and token.epoch > self.before and agent.name in self.behind:
            self.behind.discard(agent.name)
            took = self.world.now - self.killed_at
            if len(self.behind) == self.fleet.agents - 1:
                self.found.first_agent_times.append(took)
            if not self.behind:
                self.found.last_agent_times.append(took)

    def _kill(self) -> None:
        leader = next((n for n in self.nodes.values() if n.up and n.member.role == Role.LEADER), None)
        owner = self.nodes.get(leader.fleet.duties[RELEASE].owner or "") if leader else None
        if owner is None or not owner.up:
            self.world.after(100_000, self._kill)
            return
        self.found.unfinished += bool(self.behind) and bool(self.killed_at)
        self.killed_at, self.before = self.world.now, leader.fleet.duties[RELEASE].epoch
        self.behind = {agent.name for agent in self.listeners}
        orphans, owner.listeners = owner.listeners, []
        owner.crash()
        for agent in orphans:
            agent.at += 1
            self.world.after(self.world.chance.randrange(50_000, 100_000), agent.come)
        self.world.after(self.fleet.restart_delay, owner.start)
        self.world.after(self.fleet.kill_interval, self._kill)

    def run(self) -> Any:
        world, fleet = self.world, self.fleet
        for agent in self.listeners:
            world.after(world.chance.randrange(1, 1_000_000), agent.come)
        world.run(fleet.kill_interval - 1_000_000)
        sent, words = self.net.sent, self.found.stage_messages
        world.run(fleet.kill_interval)
        self.found.member_messages = float(self.net.sent - sent - (self.found.stage_messages - words))
        world.at(fleet.kill_interval, self._kill)
        world.run(fleet.kill_interval * (1 + fleet.kills) - 1)
        self.found.unfinished += bool(self.behind)
        return self.found


def run_failovers(seed: int, fleet: FailoverConfig) -> FailoverResult:
    return Play(seed, fleet).run()

"""Failover of the release's owner in fleets of any size, in simulated time.

The owner is killed again and again, under the real decisions. Measured are the time until the first and the
last agent follow the next owner, and the messages that this takes.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..fleet.admission import AdmissionControl
from ..fleet.duties import RELEASE
from ..fleet.fencing import Fence, FencingToken
from ..fleet.raft.member import Role, Timing
from .cluster import Cluster, HistoryConfig, SimulatedController
from .simulation import Simulator

SECOND = 1_000_000  # microseconds
LONGEST_RETRY = 5 * SECOND  # that a controller tells an agent
RECONNECT_DELAYS = (50_000, 100_000)  # microseconds; an agent draws one between them
SETTLING_TIME = 6 * SECOND  # from one kill to the next, beside the time in which all agents are admitted
OWNER_CHECK_INTERVAL = 100_000  # microseconds


@dataclass
class FailoverConfig:
    """One fleet.

    Attributes:
        controllers, agents: how many there are.
        kills: how often the owner is killed.
        send_time: the processor time of a controller for one message to one agent, in microseconds.
        admission_rate: agents that a controller admits a second.
        restart_delay: from the kill of a controller to its start, in microseconds.
        timing: of the replicated log.
    """

    controllers: int = 3
    agents: int = 440
    kills: int = 30
    send_time: int = 60
    admission_rate: float = 200.0
    restart_delay: int = 2_000_000
    timing: Timing = field(default_factory=lambda: Timing(100_000, 500_000))

    @property
    def kill_interval(self) -> int:
        """The time before each kill, in microseconds: all agents can be admitted twice in it."""
        return SETTLING_TIME + int(2e6 * self.agents / self.controllers / self.admission_rate)


@dataclass
class FailoverResult:
    """What was measured.

    Attributes:
        first_agent_times, last_agent_times: from each kill until the first, and the last, agent followed the
            next owner; in whole microseconds.
        member_messages: messages between controllers in a second without faults.
        stage_messages: messages to agents, in the whole run.
        refused: agents that were told to retry later.
        unfinished: kills before which some agents had not yet followed the owner.
    """

    first_agent_times: list[int] = field(default_factory=list)
    last_agent_times: list[int] = field(default_factory=list)
    member_messages: float = 0.0
    stage_messages: int = 0
    refused: int = 0
    unfinished: int = 0


def median(values: list[int]) -> int:
    """Returns the upper median; 0 without values."""
    return sorted(values)[len(values) // 2] if values else 0


def _draw_reconnect_delay(simulator: Simulator) -> int:
    return simulator.rng.randrange(*RECONNECT_DELAYS)


class _ListeningAgent:
    """An agent that listens at one controller, and goes to the next one when the connection breaks."""

    def __init__(self, simulation: FailoverSimulation, number: int) -> None:
        self.simulation, self.name = simulation, f"agent{number}"
        self.controller = number % simulation.fleet.controllers
        self.fence = Fence()

    def connect(self) -> None:
        simulator = self.simulation.simulator
        controllers = list(self.simulation.controllers.values())
        controller = controllers[self.controller % len(controllers)]
        retry_after = controller.admit(self) if controller.is_running else None
        if retry_after is not None:  # tries the next controller, at a time of its own
            self.controller += 1
            simulator.call_later(max(retry_after, _draw_reconnect_delay(simulator)), self.connect)

    def on_stage(self, token: FencingToken) -> None:
        if self.fence.accept(token):
            self.simulation.on_followed(self, token)


class _AnnouncingController(SimulatedController):
    """A controller that tells its listeners each change of the release's token.

    Attributes:
        announced: the token that listeners were told last.
        free_at: when its processor has sent all messages so far.
    """

    cluster: FailoverSimulation

    def start(self) -> None:
        self.listeners: list[_ListeningAgent] = []
        self.announced, self.free_at = FencingToken(), 0
        self.admission = AdmissionControl.for_rate(self.cluster.fleet.admission_rate, LONGEST_RETRY)
        super().start()

    def admit(self, agent: _ListeningAgent) -> int | None:
        """Admits an agent, perhaps after a wait, and returns None; or returns when the agent is to retry.

        The time to retry is in microseconds, and 0 if this controller knows no leader.
        """
        if self.member.leader is None:
            return 0
        decision = self.admission.decide(self.clock.monotonic())
        if decision.wait is None:
            self.cluster.result.refused += 1
            return decision.retry_after
        run_number = self.run_number

        def begin() -> None:
            if not self._is_same_run(run_number):
                agent.connect()
                return
            self.listeners.append(agent)
            if self.announced.epoch:
                self._send_stage(agent)

        self.cluster.simulator.call_later(decision.wait, begin)
        return None

    def _apply(self) -> None:
        super()._apply()
        token = self.fleet.duties[RELEASE].token
        if token.epoch and token != self.announced:
            self.announced = token
            for agent in self.listeners:
                self._send_stage(agent)

    def _send_stage(self, agent: _ListeningAgent) -> None:
        """Sends the token after all earlier messages, as a controller has one processor."""
        simulator, token = self.cluster.simulator, self.announced
        self.free_at = max(self.free_at, simulator.now) + self.cluster.fleet.send_time
        self.cluster.result.stage_messages += 1
        simulator.call_at(
            self.free_at,
            lambda: (
                self.is_running
                and self.cluster.network.send(self.name, agent.name, lambda: agent.on_stage(token))
            ),
        )


class FailoverSimulation(Cluster):
    """A fleet whose owner is killed again and again.

    Attributes:
        killed_at: when the last kill was; 0 before the first.
        epoch_before: the epoch of the release at that time.
        behind: the agents that have not followed a later epoch since.
    """

    def __init__(self, seed: int, fleet: FailoverConfig) -> None:
        self.fleet, self.result = fleet, FailoverResult()
        config = HistoryConfig(members=fleet.controllers, agents=0, faults_per_second=0, timing=fleet.timing)
        super().__init__(seed, config, controller_type=_AnnouncingController)
        self.listening_agents = [_ListeningAgent(self, number) for number in range(fleet.agents)]
        self.killed_at, self.epoch_before = 0, 0
        self.behind: set[str] = set()

    def on_followed(self, agent: _ListeningAgent, token: FencingToken) -> None:
        """Notes that an agent follows a decision of this epoch."""
        if self.killed_at and token.epoch > self.epoch_before and agent.name in self.behind:
            self.behind.discard(agent.name)
            duration = self.simulator.now - self.killed_at
            if len(self.behind) == self.fleet.agents - 1:
                self.result.first_agent_times.append(duration)
            if not self.behind:
                self.result.last_agent_times.append(duration)

    def _kill_owner(self) -> None:
        leader = next(
            (
                controller
                for controller in self.controllers.values()
                if controller.is_running and controller.member.role == Role.LEADER
            ),
            None,
        )
        owner = self.controllers.get(leader.fleet.duties[RELEASE].owner or "") if leader else None
        if owner is None or not owner.is_running:
            self.simulator.call_later(OWNER_CHECK_INTERVAL, self._kill_owner)
            return
        self.result.unfinished += bool(self.behind) and bool(self.killed_at)
        self.killed_at, self.epoch_before = self.simulator.now, leader.fleet.duties[RELEASE].epoch
        self.behind = {agent.name for agent in self.listening_agents}
        disconnected, owner.listeners = owner.listeners, []
        owner.crash()
        for agent in disconnected:
            agent.controller += 1
            self.simulator.call_later(_draw_reconnect_delay(self.simulator), agent.connect)
        self.simulator.call_later(self.fleet.restart_delay, owner.start)
        self.simulator.call_later(self.fleet.kill_interval, self._kill_owner)

    def run(self) -> FailoverResult:
        """Simulates all kills."""
        simulator, fleet = self.simulator, self.fleet
        for agent in self.listening_agents:
            simulator.call_later(simulator.rng.randrange(1, SECOND), agent.connect)
        simulator.run(fleet.kill_interval - SECOND)
        sent, stage_messages = self.network.sent, self.result.stage_messages
        simulator.run(fleet.kill_interval)
        self.result.member_messages = float(
            self.network.sent - sent - (self.result.stage_messages - stage_messages)
        )
        simulator.call_at(fleet.kill_interval, self._kill_owner)
        simulator.run(fleet.kill_interval * (1 + fleet.kills) - 1)
        self.result.unfinished += bool(self.behind)
        return self.result


def run_failovers(seed: int, fleet: FailoverConfig) -> FailoverResult:
    """Simulates one fleet."""
    return FailoverSimulation(seed, fleet).run()

"""Controllers, receivers and agents in a simulated world with faults.

A history is checked from outside: by what receivers and clients saw, and by comparing what the members
decided. What an owner says about itself is not used.
"""

from __future__ import annotations

import copy
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgpack

from ..fleet.duties import LATE, RELEASE, FleetState
from ..fleet.duty_manager import DutyManager, Effect, MachinesWanted, OwnershipTimeouts, StepToRun
from ..fleet.fencing import Fence, FencingToken
from ..fleet.raft.log import EntryKind, MemberInfo, Snapshot
from ..fleet.raft.member import Member, MemberId, Role, Timing
from ..fleet.raft.messages import Envelope, Message
from ..fleet.raft.records import PersistentState, Record, VoteRecord
from ..fleet.rollout import Answer, Choice, Phase, Rollout, RolloutPlan, StepsNeeded
from ..fleet.step_target import StepTarget, StepVerdict
from .simulation import Clock, Disk, Network, Simulator

STEPS = {"owners": ["add", "copy", "drop"]}
SEEDED_FAULTS = ("no-fence", "no-fsync", "lease", "vote-twice", "forgets-epoch", "forgets-vote", "eager")
FAULT_KINDS = (  # a kind that is named twice is drawn twice as often
    "kill",
    "kill",
    "stop",
    "stop",
    "part",
    "part",
    "one-way",
    "hold",
    "slow-disk",
    "slow-net",
    "loss",
    "jump",
    "all",
    "agent",
    "put-back",
)
NETWORK_FAULT_KINDS = ("part", "one-way", "hold", "slow-net", "loss")
FAULT_DURATIONS = (50_000, 300_000, 1_000_000, 3_000_000)  # microseconds
LONG_HOLD = 10_000_000  # microseconds for which messages may be held instead
CLOCK_JUMPS = (1_000_000, 60_000_000)  # microseconds
DISK_SLOWDOWN = 30.0
NETWORK_SLOWDOWN = 40.0
LOSS = 0.3  # the probability that a message is lost or sent twice, while the network is bad
CRASH_AFTER_VOTE = 0.3  # the probability of a crash around the write of a vote
CRASH_AFTER_WRITE = 0.002  # the probability of a crash around any other write

MAX_BREACHES = 20  # in the report of a history
MAX_CLOCK_DRIFT = 0.05
ABSENT_AFTER = 600_000  # microseconds without a message after which a member loses its duties
STUCK_AFTER = 2_000_000  # microseconds without an answer to its effects after which an owner gives a duty up
ENTRIES_PER_SNAPSHOT = 60
SHORTEST_TICK, LONGEST_TICK = 1_000, 20_000  # microseconds between two looks at a member's timers
DUTY_INTERVAL = 30_000  # microseconds between two checks of the duties
PROPOSAL_RETRY = 200_000  # microseconds after which the same command may be proposed again
ANNOUNCE_PROBABILITY = 0.3  # that an owner tells an agent the stage at a check of the duties
NEW_BALLOT_PROBABILITY = 0.3  # that an agent gives up a ballot without an answer, and casts another
CHOICES = (Choice.ON, Choice.ON, Choice.ON, Choice.BACK)  # an agent draws one of them
MACHINES = 6  # of the fleet, as builds are offered to it

FIRST_FAULT, FIRST_VOTE, FIRST_OFFER = 1_000_000, 500_000, 800_000  # microseconds
VOTE_INTERVAL = 40_000  # microseconds
OFFER_INTERVAL = 3_000_000  # microseconds
WATCH_INTERVAL = 5_000  # microseconds between two looks whether there is a leader


@dataclass
class HistoryConfig:
    """One history.

    Attributes:
        members: the number of controllers.
        seconds: the length of the history.
        faults_per_second: the mean number of faults.
        seeded_fault: one of SEEDED_FAULTS, which the check has to find; empty for none.
        quiet_seconds: the time without faults at the end, in which the cluster has to recover.
    """

    members: int = 3
    agents: int = 4
    seconds: float = 10.0
    faults_per_second: float = 2.0
    seeded_fault: str = ""
    timing: Timing = field(default_factory=lambda: Timing(50_000, 250_000))
    quiet_seconds: float = 3.0


class DoubleCountingRollout(Rollout):
    """The seeded fault `vote-twice`: a ballot that is sent again is counted again."""

    def _vote(self, ballot: Any, at: int, done: Any) -> int:
        self.answered.pop(ballot["agent"], None)
        answer = super()._vote(ballot, at, done)
        if answer == Answer.OK:
            self.votes[1000 + len(self.votes)] = self.votes[ballot["agent"]]
        return answer


def new_fleet_state(plan: RolloutPlan, seeded_fault: str) -> FleetState:
    """Returns the state of a fleet before the first entry of the log."""
    fleet = FleetState(plan, STEPS)
    if seeded_fault == "vote-twice":
        fleet.duties[RELEASE].state = DoubleCountingRollout(plan)
    return fleet


class CountedBallot(NamedTuple):
    """The latest ballot of an agent that was answered ok, for the check's own count."""

    build: int
    stage: int
    choice: int
    at: int


class ReleaseState(NamedTuple):
    """Where a rollout is."""

    build: int
    stage: int
    phase: int


class History:
    """What was seen from outside, and what is wrong with it.

    Attributes:
        breaches: the first rules that were broken, one line each.
        effects: by receiver, each effect that it carried out: its token, the duty and the decision.
        executed_steps: number and name of the steps that the target ran.
        leaders: by term.
        committed: term and command by index.
        accepted_ballots: agent and serial number of the ballots that were answered ok.
        ignored_by_agents, refused_effects: what agents and other receivers refused as late.
        leaderless_times: the times without a leader, in microseconds.
        fault_counts: by kind.
    """

    def __init__(self) -> None:
        self.breaches: list[str] = []
        self.effects: dict[str, list[tuple[FencingToken, Any]]] = {}
        self.executed_steps: list[tuple[int, str]] = []
        self.leaders: dict[int, set[str]] = {}
        self.committed: dict[int, tuple[int, Any]] = {}
        self.accepted_ballots: list[tuple[int, int]] = []
        self.ignored_by_agents = self.refused_effects = 0
        self.leaderless_times: list[int] = []
        self.fault_counts: Counter = Counter()

    def add_breach(self, text: str) -> None:
        """Notes that a rule was broken."""
        if len(self.breaches) < MAX_BREACHES:
            self.breaches.append(text)

    def on_committed(self, member: str, index: int, term: int, data: Any) -> None:
        """Notes what a member takes for committed; all members have to agree."""
        if self.committed.setdefault(index, (term, data)) != (term, data):
            self.add_breach(f"entry {index}: {member} holds another entry than was committed")

    def on_leader(self, member: str, term: int) -> None:
        """Notes that a member leads; a term has one leader at most."""
        leaders = self.leaders.setdefault(term, set())
        leaders.add(member)
        if len(leaders) > 1:
            self.add_breach(f"term {term} has leaders {sorted(leaders)}")

    def on_effect(self, receiver: str, token: FencingToken, effect: Any) -> None:
        """Notes an effect that a receiver carried out; tokens have to grow, and mean one effect each."""
        rows = self.effects.setdefault(receiver, [])
        if rows and token < rows[-1][0]:
            self.add_breach(f"{receiver}: {tuple(token)} after {tuple(rows[-1][0])}")
        if rows and token == rows[-1][0] and effect != rows[-1][1]:
            self.add_breach(f"{receiver}: two effects under {tuple(token)}")
        rows.append((token, effect))

    def verify(self, plan: RolloutPlan, steps: dict[str, list[str]], seeded_fault: str = "") -> None:
        """Replays the committed commands, compares the effects with them, and counts the votes anew."""
        decided, counted = self._replay(new_fleet_state(plan, seeded_fault))
        for receiver, rows in self.effects.items():
            for token, (duty, view) in rows:
                if decided.get((duty, token)) != view:
                    self.add_breach(f"{receiver}: {view} under {tuple(token)} was never decided")
        for ballot in self.accepted_ballots:
            if ballot not in counted:
                self.add_breach(f"ballot {ballot} was answered ok and is not in the log")
        for name, names in steps.items():
            if self.executed_steps != list(enumerate(names))[: len(self.executed_steps)]:
                self.add_breach(f"steps {name}: carried out as {self.executed_steps}")

    def _replay(self, fleet: FleetState) -> tuple[dict[tuple[str, FencingToken], Any], set]:
        """Returns what was decided by duty and token, and the ballots that were counted."""
        ballots: dict[int, CountedBallot] = {}  # by agent
        decided: dict[tuple[str, FencingToken], Any] = {}
        counted = set()
        for index in sorted(self.committed):
            data = self.committed[index][1]
            if data is not None:
                command = msgpack.unpackb(data, strict_map_key=False)
                rollout = fleet.duties[RELEASE].state
                before = ReleaseState(rollout.build, rollout.stage, rollout.phase)
                answer = fleet.apply(index, command)
                what = command.get("what", {})
                if what.get("what") == "vote" and answer == Answer.OK:
                    counted.add((what["agent"], what["serial"]))
                    ballots[what["agent"]] = CountedBallot(
                        what["build"], what["stage"], what["choice"], fleet.now
                    )
                self._check_stage_change(index, before, fleet, ballots)
            for name, duty in fleet.duties.items():
                decided[name, duty.token] = list(duty.state.view())
        return decided, counted

    def _check_stage_change(
        self, index: int, before: ReleaseState, fleet: FleetState, ballots: dict[int, CountedBallot]
    ) -> None:
        """Counts the votes by which a stage ended."""
        rollout, plan = fleet.duties[RELEASE].state, fleet.plan
        build, stage, phase = before
        if rollout.build != build or (rollout.stage, rollout.phase) == (stage, phase):
            return
        choice = Choice.BACK if rollout.phase == Phase.GOING_BACK else Choice.ON
        votes = sum(
            ballot.build == build
            and ballot.choice == choice
            and ballot.at > fleet.now - plan.vote_life
            and (choice == Choice.BACK or ballot.stage == stage)
            for ballot in ballots.values()
        )
        needed = plan.back_votes if choice == Choice.BACK else plan.on_votes
        if rollout.phase in (Phase.GOING_BACK, Phase.ON_TRIAL, Phase.RELEASED) and votes < needed:
            self.add_breach(
                f"entry {index}: build {build} left stage {stage} by {votes} votes, expected {needed}"
            )


class PendingProposal(NamedTuple):
    """A proposal whose entry has not been applied yet."""

    term: int
    on_answer: Callable[[Any], None]


def ignore_answer(_: Any) -> None:
    """Drops the answer to a proposal."""


class SimulatedController:
    """One controller: a member, its applied state and its duties, on a simulated disk and network.

    Attributes:
        run_number: counts the starts, so that events of an earlier run are dropped.
        is_retired: its directory is an older copy, so that it stays away.
        is_writing: a write is under way; inputs wait until it is done.
    """

    def __init__(self, cluster: Cluster, name: str, disk: Disk) -> None:
        self.cluster, self.name, self.disk = cluster, name, disk
        simulator = cluster.simulator
        self.clock = Clock(
            simulator,
            simulator.rng.randrange(10**9),
            simulator.rng.uniform(1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT),
        )
        self.run_number = 0
        self.is_retired = False
        self.is_running = False
        self.is_paused = False
        self.start()

    # The process

    def start(self) -> None:
        """Starts the process with what the disk holds."""
        if self.is_retired:
            return
        config = self.cluster.config
        rng = random.Random(self.cluster.simulator.rng.getrandbits(32))
        state = self.disk.state
        if config.seeded_fault == "forgets-vote":
            state.voted_for = None
        self.run_number += 1
        self.is_running, self.is_writing, self.inbox = True, False, []
        self.member = Member(
            MemberId(self.name, self.name), copy.deepcopy(state), config.timing, rng, self.clock.monotonic()
        )
        self.fleet = new_fleet_state(self.cluster.plan, config.seeded_fault)
        self.restored_index = 0
        self.duty_manager = DutyManager(self.name, self.fleet, OwnershipTimeouts(ABSENT_AFTER, STUCK_AFTER))
        self.pending: dict[int, PendingProposal] = {}  # by the index of the entry
        self.proposed: set[str] = set()
        self._restore()
        self.schedule(lambda: None)
        self._schedule_tick()
        self._schedule_duties()

    def start_if_down(self) -> None:
        """Starts the process unless it runs."""
        if not self.is_running:
            self.start()

    def crash(self) -> None:
        """Kills the process."""
        if self.is_running:
            self.is_running, self.is_paused = False, False
            self.disk.crash()

    def pause(self, duration: int) -> None:
        """Stops the process as SIGSTOP does, for a time."""
        run_number, self.is_paused = self.run_number, True

        def resume() -> None:
            if self._is_same_run(run_number):
                self.is_paused = False
                self.process_inbox()

        self.cluster.simulator.call_later(duration, resume)

    def _is_same_run(self, run_number: int) -> bool:
        return self.is_running and self.run_number == run_number

    # Turns: messages wait until the disk holds the records that they depend on

    def schedule(self, work: Callable[[], None]) -> None:
        """Has a function called in the next turn."""
        self.inbox.append(work)
        self.process_inbox()

    def process_inbox(self) -> None:
        """Runs one turn, unless a write is under way."""
        if self.is_writing or self.is_paused or not self.is_running:
            return
        inbox, self.inbox = self.inbox, []
        for work in inbox:
            work()
        member = self.member
        if member.stale_reason:  # the directory is an older copy: the process ends, and stays away
            self.crash()
            self.is_retired = True
            return
        if member.role == Role.LEADER:
            self.cluster.history.on_leader(self.name, member.term)
        ready = member.take_ready()
        if not ready.records:
            self._finish_turn(ready.envelopes)
            return
        self.is_writing = True
        self.disk.write(ready.records)
        run_number = self.run_number
        self.cluster.maybe_crash_around_write(self, ready.records)
        if self.cluster.config.seeded_fault == "eager":  # sends before its disk holds the records
            self._send(ready.envelopes)
        self.cluster.simulator.call_later(
            self.disk.draw_write_time(),
            lambda: self._is_same_run(run_number) and self._on_written(ready.envelopes),
        )

    def _on_written(self, envelopes: list[Envelope]) -> None:
        if self.is_paused:
            self.inbox.insert(0, lambda: self._on_written(envelopes))
            self.is_writing = False
            return
        self.disk.sync()
        self.is_writing = False
        self.member.persisted()
        self._finish_turn(envelopes)
        self.process_inbox()

    def _send(self, envelopes: list[Envelope]) -> None:
        for to, message in envelopes:
            if controller := self.cluster.controllers.get(to):
                self.cluster.network.send(
                    self.name,
                    to,
                    lambda controller=controller, message=message: controller.receive(self.name, message),
                )

    def _finish_turn(self, envelopes: list[Envelope]) -> None:
        if self.cluster.config.seeded_fault != "eager" or not self.disk.unsynced:
            self._send(envelopes)
        self._apply()

    def receive(self, sender: str, message: Message) -> None:
        """Receives a message of another member."""
        if self.is_running:
            self.schedule(lambda: self.member.receive(self.clock.monotonic(), sender, sender, message))

    def _schedule_tick(self) -> None:
        run_number = self.run_number

        def tick() -> None:
            if self._is_same_run(run_number):
                self.schedule(lambda: self.member.tick(self.clock.monotonic()))
                self._schedule_tick()

        delay = self.clock.true_delay(self.member.next_tick_at)
        self.cluster.simulator.call_later(min(max(delay, SHORTEST_TICK), LONGEST_TICK), tick)

    # Committed entries

    def _restore(self) -> None:
        snapshot = self.member.snapshot
        if snapshot.index > self.restored_index and snapshot.state:
            self.fleet.load(msgpack.unpackb(snapshot.state, strict_map_key=False))
        self.restored_index = max(self.restored_index, snapshot.index)

    def _apply(self) -> None:
        if self.member.snapshot.index > max(self.restored_index, self.fleet.index):
            self._restore()
        for entry in self.member.take_committed():
            data = entry.data if entry.kind == EntryKind.COMMAND else None
            self.cluster.history.on_committed(self.name, entry.index, entry.term, data)
            answer = None
            if data is not None:
                answer = self.fleet.apply(entry.index, msgpack.unpackb(data, strict_map_key=False))
                self.duty_manager.on_applied(self.clock.monotonic())
            self.fleet.index = entry.index
            self.restored_index = entry.index
            if pending := self.pending.pop(entry.index, None):
                pending.on_answer(answer if pending.term == entry.term else LATE)
        if self.fleet.index - self.member.snapshot.index > ENTRIES_PER_SNAPSHOT:
            self.member.compact(self.fleet.index, msgpack.packb(self.fleet.dump()))
            self.inbox.append(lambda: None)
            self.cluster.simulator.call_later(1, self.process_inbox)

    def propose(self, command: dict, on_answer: Callable[[Any], None] = ignore_answer) -> None:
        """Has the leader that this member knows decide a command; a lost message is not sent again."""

        def propose_here() -> None:
            index = self.member.propose(msgpack.packb(command))
            if index is not None:
                self.pending[index] = PendingProposal(self.member.term, on_answer)

        leader = self.member.leader
        if leader == self.name:
            self.schedule(propose_here)
        elif leader in self.cluster.controllers:
            controller = self.cluster.controllers[leader]

            def propose_there() -> None:
                if controller.is_running:
                    controller.schedule(
                        lambda: (
                            controller.member.leader == controller.name
                            and controller.propose(command, send_back)
                        )
                    )

            def send_back(answer: Any) -> None:
                self.cluster.network.send(
                    leader,
                    self.name,
                    lambda: self.is_running and self.schedule(lambda: on_answer(answer)),
                )

            self.cluster.network.send(self.name, leader, propose_there)

    def command(self, duty: str, what: dict[str, Any]) -> dict[str, Any]:
        """Returns a command of a duty, with the log's time."""
        return {
            **self.duty_manager.command(duty, what),
            "at": self.duty_manager.log_time(self.clock.monotonic()),
        }

    # Duties

    def _schedule_duties(self) -> None:
        run_number = self.run_number

        def run() -> None:
            if self._is_same_run(run_number):
                self.schedule(self._run_duties)
                self._schedule_duties()

        self.cluster.simulator.call_later(DUTY_INTERVAL, run)

    def _run_duties(self) -> None:
        now, member = self.clock.monotonic(), self.member
        is_leader = member.role == Role.LEADER
        alive = (
            member.responsive_voters(ABSENT_AFTER)
            if is_leader
            else [self.name, *([member.leader] if member.leader else [])]
        )
        for command in self.duty_manager.due_commands(is_leader, alive, now):
            key = str(
                (
                    command["do"],
                    command["duty"],
                    command.get("what"),
                    command.get("epoch"),
                    command.get("after"),
                )
            )
            if key not in self.proposed:
                self.proposed.add(key)
                self.propose(command)
                self.cluster.simulator.call_later(PROPOSAL_RETRY, lambda key=key: self.proposed.discard(key))
        trusts_lease = self.cluster.config.seeded_fault == "lease"
        if trusts_lease and is_leader and now < member.lease_until:
            self.cluster.act_on_lease(self)
        for effect in self.duty_manager.effects():
            self.cluster.carry_out(self, effect)
        for agent in self.cluster.agents:
            if self.cluster.simulator.rng.random() < ANNOUNCE_PROBABILITY:
                self.announce_stage(agent)

    def announce_stage(self, agent: Agent) -> None:
        """Tells an agent the stage of the release as this controller knows it."""
        duty = self.fleet.duties[RELEASE]
        if duty.epoch:
            token, view = duty.token, list(duty.state.view())
            self.cluster.network.send(self.name, agent.name, lambda: agent.on_stage(token, view))


class Agent:
    """An agent that follows stages and votes, and sends its ballot again until it is answered.

    Attributes:
        stage_view: the decision that it follows; None before the first.
        open_ballot: the ballot that has not been answered; None if there is none.
    """

    def __init__(self, cluster: Cluster, name: str, number: int) -> None:
        self.cluster, self.name, self.number = cluster, name, number
        self.fence, self.stage_view, self.serial, self.open_ballot = Fence(), None, 0, None

    def on_stage(self, token: FencingToken, view: list) -> None:
        """Follows a decision, unless it is late."""
        seeded_fault = self.cluster.config.seeded_fault
        if seeded_fault == "no-fence" or self.fence.accept(token):
            self.stage_view = view
            self.cluster.history.on_effect(self.name, token, (RELEASE, view))
        else:
            self.cluster.history.ignored_by_agents += 1

    def restart(self) -> None:
        """Restarts the process, which has kept its fence, unless that is the seeded fault."""
        if self.cluster.config.seeded_fault == "forgets-epoch":
            self.fence = Fence()

    def vote(self) -> None:
        """Sends a new ballot, or the open one again, to a random controller."""
        if self.stage_view is None:
            return
        build, stage, _phase, _ = self.stage_view
        rng = self.cluster.simulator.rng
        if self.open_ballot is None or rng.random() < NEW_BALLOT_PROBABILITY:
            self.serial += 1
            self.open_ballot = {
                "what": "vote",
                "agent": self.number,
                "serial": self.serial,
                "build": build,
                "stage": stage,
                "choice": int(rng.choice(CHOICES)),
            }
        ballot = dict(self.open_ballot)
        running = [controller for controller in self.cluster.controllers.values() if controller.is_running]
        if running:
            self._send_ballot(ballot, rng.choice(running))

    def _send_ballot(self, ballot: dict[str, Any], controller: SimulatedController) -> None:
        def on_answer(answer: Any) -> None:
            if answer == Answer.OK and self.open_ballot and self.open_ballot["serial"] == self.serial:
                self.cluster.history.accepted_ballots.append((self.number, ballot["serial"]))
                self.open_ballot = None

        def send_back(answer: Any) -> None:
            self.cluster.network.send(controller.name, self.name, lambda: on_answer(answer))

        def propose_there() -> None:
            if controller.is_running:
                command = controller.command(RELEASE, ballot)
                controller.schedule(lambda: controller.propose(command, send_back))

        self.cluster.network.send(self.name, controller.name, propose_there)


class Cluster:
    """Controllers, agents and receivers of one history, and the faults between them.

    Attributes:
        target: runs the steps.
        machines_fence: of the receiver that runs machines.
        crashes_around_writes: whether controllers also crash while they write.
    """

    def __init__(
        self,
        seed: int,
        config: HistoryConfig,
        controller_type: type[SimulatedController] = SimulatedController,
    ) -> None:
        self.simulator, self.config, self.history = Simulator(seed), config, History()
        self.network = Network(self.simulator)
        self.plan = RolloutPlan(
            control="share",
            on_votes=2,
            back_votes=2,
            bake=200_000,
            grace=300_000,
            vote_life=1_500_000,
            needs=(StepsNeeded(2, "owners", 2),),
        )
        names = [f"c{i}" for i in range(config.members)]
        members = {name: MemberInfo(name, f"{name}:1", True) for name in names}
        self.agents = [Agent(self, f"agent{i}", i) for i in range(config.agents)]
        self.target, self.machines_fence = StepTarget(), Fence()
        self.controllers: dict[str, SimulatedController] = {}
        self.crashes_around_writes = config.faults_per_second > 0
        self._directory_copy: PersistentState | None = None
        self._leaderless_since: int | None = None
        for name in names:
            state = PersistentState(snapshot=Snapshot(0, 0, members, b""))
            disk = Disk(self.simulator, state, config.seeded_fault != "no-fsync")
            self.controllers[name] = controller_type(self, name, disk)

    # Receivers

    def carry_out(self, controller: SimulatedController, effect: Effect) -> None:
        """Sends an effect to its receiver, which judges it and answers."""
        if isinstance(effect.body, MachinesWanted):
            self._request_machines(controller, effect)
        else:
            self._run_step(controller, effect, effect.body)

    def _request_machines(self, controller: SimulatedController, effect: Effect) -> None:
        view = list(controller.fleet.duties[RELEASE].state.view())
        build, stage, phase, _ = view

        def report_running() -> None:
            controller.propose(
                controller.command(RELEASE, {"what": "running", "build": build, "stage": stage})
            )

        def arrive() -> None:
            if self.config.seeded_fault == "no-fence" or self.machines_fence.accept(effect.token):
                self.history.on_effect("machines", effect.token, (RELEASE, view))
                if phase == Phase.ON_TRIAL:
                    self.network.send(
                        "machines",
                        controller.name,
                        lambda: controller.is_running and controller.schedule(report_running),
                    )
            else:
                self.history.refused_effects += 1

        self.network.send(controller.name, "machines", arrive)

    def _run_step(self, controller: SimulatedController, effect: Effect, step: StepToRun) -> None:
        def report_done() -> None:
            controller.duty_manager.on_effect_result(effect, True, controller.clock.monotonic())
            controller.propose(controller.command(effect.duty, {"what": "done", "step": step.number}))

        def arrive() -> None:
            verdict = self.target.judge(effect.duty, effect.token, step.number)
            if self.config.seeded_fault == "no-fence" and verdict != StepVerdict.RUN:
                verdict = StepVerdict.RUN
            if verdict == StepVerdict.RUN:
                self.target.record(effect.duty, step.name)
                self.history.executed_steps.append((step.number, step.name))
            if verdict in (StepVerdict.RUN, StepVerdict.DONE):
                self.network.send(
                    "target",
                    controller.name,
                    lambda: controller.is_running and controller.schedule(report_done),
                )
            else:
                self.history.refused_effects += 1

        controller.duty_manager.on_effect_result(effect, False, controller.clock.monotonic())
        self.network.send(controller.name, "target", arrive)

    def act_on_lease(self, controller: SimulatedController) -> None:
        """The seeded fault `lease`: a leader that trusts its clock acts before the log has decided."""
        duty = controller.fleet.duties[RELEASE]
        if duty.owner == controller.name and duty.state.phase == Phase.ON_TRIAL:
            view = [duty.state.build, duty.state.stage + 1, 0, {}]
            self.history.on_effect("machines", FencingToken(duty.epoch, duty.index), (RELEASE, view))

    # Faults

    def maybe_crash_around_write(self, controller: SimulatedController, records: list[Record]) -> None:
        """Crashes a controller at random where that is worst: during a write, or just after a vote."""
        has_voted = any(isinstance(record, VoteRecord) and record.voted_for for record in records)
        rng = self.simulator.rng
        probability = CRASH_AFTER_VOTE if has_voted else CRASH_AFTER_WRITE
        if self.crashes_around_writes and rng.random() < probability:

            def crash() -> None:
                if controller.is_running:
                    self.history.fault_counts["blink"] += 1
                    controller.crash()
                    self.simulator.call_later(rng.randrange(1, 3_000), controller.start_if_down)

            self.simulator.call_later(rng.randrange(1, 2_000 + 20_000 * has_voted), crash)

    def _inject_random_fault(self) -> None:
        rng = self.simulator.rng
        controller = rng.choice(list(self.controllers.values()))
        kind = rng.choice(FAULT_KINDS)
        self.history.fault_counts[kind] += 1
        duration = rng.choice(FAULT_DURATIONS)
        if kind in NETWORK_FAULT_KINDS:
            self._inject_network_fault(kind, controller, duration)
        else:
            self._inject_process_fault(kind, controller, duration)

    def _inject_network_fault(self, kind: str, controller: SimulatedController, duration: int) -> None:
        simulator, rng = self.simulator, self.simulator.rng
        places = [*self.controllers, *(agent.name for agent in self.agents), "machines", "target"]
        match kind:
            case "part" | "one-way":
                side = set(rng.sample(places, rng.randint(1, len(places) // 2)))
                pairs = {(a, b) for a in side for b in places if b not in side}
                pairs |= {(b, a) for a, b in pairs} if kind == "part" else set()
                self.network.blocked |= pairs
                simulator.call_later(duration, lambda: self.network.blocked.difference_update(pairs))
            case "hold":
                pair = (controller.name, rng.choice([place for place in places if place != controller.name]))
                if pair not in self.network.held:
                    self.network.held[pair] = []
                    simulator.call_later(
                        rng.choice((duration, LONG_HOLD)), lambda: self.network.release(pair)
                    )
            case "slow-net":
                self.network.slowdown = NETWORK_SLOWDOWN
                simulator.call_later(duration, lambda: setattr(self.network, "slowdown", 1.0))
            case "loss":
                self.network.loss, self.network.duplication = LOSS, LOSS
                simulator.call_later(duration, self._end_loss)

    def _inject_process_fault(self, kind: str, controller: SimulatedController, duration: int) -> None:
        simulator, rng = self.simulator, self.simulator.rng
        match kind:
            case "kill" if controller.is_running:
                controller.crash()
                simulator.call_later(duration, controller.start_if_down)
            case "stop" if controller.is_running and not controller.is_paused:
                controller.pause(duration)
            case "slow-disk":
                controller.disk.slowdown = DISK_SLOWDOWN
                simulator.call_later(duration, lambda: setattr(controller.disk, "slowdown", 1.0))
            case "jump":  # of the monotonic clock, as after a machine was suspended
                controller.clock.start += rng.choice(CLOCK_JUMPS)
            case "all":
                for each in self.controllers.values():
                    each.crash()
                    simulator.call_later(rng.randrange(1, duration), each.start_if_down)
            case "agent":
                rng.choice(self.agents).restart()
            case "put-back":
                self._restore_directory(controller, duration)

    def _restore_directory(self, controller: SimulatedController, duration: int) -> None:
        """Copies a directory, and puts the copy back later; once in a history.

        The others have to be reachable then, as they know that the copy is old. What they do not know is not
        promised to be found.
        """
        if self._directory_copy or self.config.members <= 2:  # noqa: PLR2004 - needs two others
            return
        self._directory_copy = copy.deepcopy(controller.disk.state)

        def put_back() -> None:
            others = [other for other in self.controllers.values() if other is not controller]
            if (
                controller.is_running
                and all(other.is_running and not other.is_paused for other in others)
                and not self.network.blocked
                and not self.network.held
            ):
                controller.crash()
                controller.disk.state = self._directory_copy
                self.simulator.call_later(duration, controller.start_if_down)

        self.simulator.call_later(duration, put_back)

    def _end_loss(self) -> None:
        self.network.loss = self.network.duplication = 0.0

    # A whole history

    def run(self) -> History:
        """Simulates the history, and checks it."""
        simulator, config = self.simulator, self.config
        end = int(config.seconds * 1e6)
        quiet_from = end - int(config.quiet_seconds * 1e6)
        at = FIRST_FAULT
        while (
            config.faults_per_second
            and (at := at + int(simulator.rng.expovariate(config.faults_per_second) * 1e6) + 1) < quiet_from
        ):
            simulator.call_at(at, self._inject_random_fault)
        for when in range(FIRST_VOTE, end, VOTE_INTERVAL):
            simulator.call_at(when, lambda: simulator.rng.choice(self.agents).vote())
        for number, when in enumerate(range(FIRST_OFFER, end, OFFER_INTERVAL)):
            simulator.call_at(when, lambda number=number: self._offer_build(number + 2))
        simulator.call_at(quiet_from, self._end_faults)
        for when in range(0, end, WATCH_INTERVAL):
            simulator.call_at(when, self._watch_for_leader)
        simulator.run(end)
        has_leader = any(
            controller.member.role == Role.LEADER and controller.is_running
            for controller in self.controllers.values()
        )
        if config.quiet_seconds and not has_leader:
            self.history.add_breach("no leader at the end, though there were no faults any more")
        self.history.verify(self.plan, STEPS, config.seeded_fault)
        return self.history

    def _watch_for_leader(self) -> None:
        """Measures the time without a leader that a majority follows."""
        is_led = any(
            controller.is_running
            and not controller.is_paused
            and controller.member.role == Role.LEADER
            and controller.member.commit_index
            and controller.member.log.term_at(controller.member.commit_index) == controller.member.term
            for controller in self.controllers.values()
        )
        if not is_led and self._leaderless_since is None:
            self._leaderless_since = self.simulator.now
        elif is_led and self._leaderless_since is not None:
            self.history.leaderless_times.append(self.simulator.now - self._leaderless_since)
            self._leaderless_since = None

    def _offer_build(self, build: int) -> None:
        running = [controller for controller in self.controllers.values() if controller.is_running]
        if running:
            controller = self.simulator.rng.choice(running)
            offer = {"what": "offer", "build": build, "machines": MACHINES}
            controller.schedule(lambda: controller.propose(controller.command(RELEASE, offer)))

    def _end_faults(self) -> None:
        self.crashes_around_writes = False
        self.network.blocked.clear()
        for pair in list(self.network.held):
            self.network.release(pair)
        self.network.slowdown = 1.0
        self._end_loss()
        for controller in self.controllers.values():
            controller.disk.slowdown, controller.is_paused = 1.0, False
            if not controller.is_running:
                controller.start()
            controller.process_inbox()


def run_history(seed: int, config: HistoryConfig) -> History:
    """Simulates and checks one history."""
    return Cluster(seed, config).run()

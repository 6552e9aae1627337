"""Controllers, receivers and what befalls them, in a simulated world; the verdict comes from what receivers and clients
saw, and from comparing what members decided, never from what an owner says of itself."""

from __future__ import annotations

import copy
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgpack

from ..fleet.duties import LATE, RELEASE, FleetState
from ..fleet.duty_manager import DutyManager, Effect, MachinesWanted, OwnershipTimeouts
from ..fleet.fencing import Fence, FencingToken
from ..fleet.raft.log import EntryKind, MemberInfo, Snapshot
from ..fleet.raft.member import Member, MemberId, Role, Timing
from ..fleet.raft.records import PersistentState, VoteRecord
from ..fleet.rollout import Answer, Choice, Phase, Rollout, RolloutPlan, StepsNeeded
from ..fleet.step_target import StepTarget, StepVerdict
from .simulation import Clock, Disk, Network, World

STEPS = {"owners": ["add", "copy", "drop"]}
SEEDED_FAULTS = ("no-fence", "no-fsync", "lease", "vote-twice", "forgets-epoch", "forgets-vote", "eager")


@dataclass
class HistoryConfig:
    """Of one history. broken: a fault put into the program on purpose, which the verdict has to find."""

    members: int = 3
    agents: int = 4
    seconds: float = 10.0
    faults: float = 2.0  # of each kind, a second
    broken: str = ""
    timing: Timing = field(default_factory=lambda: Timing(50_000, 250_000))
    quiet: float = 3.0  # seconds without faults at the end: all has to come right


class Twice(Rollout):
    """The seeded fault 'vote-twice': a ballot that is told again counts again."""

    def _vote(self, ballot: Any, at: int, done: Any) -> int:
        self.answered.pop(ballot["agent"], None)
        answer = super()._vote(ballot, at, done)
        if answer == Answer.OK:
            self.votes[1000 + len(self.votes)] = self.votes[ballot["agent"]]
        return answer


def fleet_of(plan: RolloutPlan, broken: str) -> FleetState:
    fleet = FleetState(plan, STEPS)
    if broken == "vote-twice":
        fleet.duties[RELEASE].state = Twice(plan)
    return fleet


class History:
    """What was seen from outside, and what is wrong with it."""

    def __init__(self) -> None:
        self.breaches: list[str] = []
        self.effects: dict[str, list[tuple[FencingToken, Any]]] = {}  # by receiver and duty
        self.executed_steps: list[tuple[int, str]] = []  # carried out at the target
        self.leaders: dict[int, set[str]] = {}
        self.committed: dict[int, tuple[int, Any]] = {}  # decided, by index
        self.accepted_ballots: list[tuple[int, int]] = []  # ballots that were told ok: agent, serial
        self.ignored_by_agents = self.refused_effects = 0
        self.leaderless_times: list[int] = []  # microseconds, each time
        self.fault_counts: Counter = Counter()

    def breach(self, text: str) -> None:
        if len(self.breaches) < 20:
            self.breaches.append(text)

    def decide(self, who: str, index: int, term: int, data: Any) -> None:
        if self.committed.setdefault(index, (term, data)) != (term, data):
            self.breach(f"entry {index}: {who} holds another than was decided")

    def take(self, receiver: str, token: FencingToken, what: Any) -> None:
        """An effect that a receiver carried out."""
        rows = self.effects.setdefault(receiver, [])
        if rows and token < rows[-1][0]:
            self.breach(f"{receiver}: {tuple(token)} after {tuple(rows[-1][0])}")
        if rows and token == rows[-1][0] and what != rows[-1][1]:
            self.breach(f"{receiver}: two effects under {tuple(token)}")
        rows.append((token, what))

    def _recount(self, index: int, before: tuple, fleet: FleetState, ballots: dict[int, tuple]) -> None:
        rollout, plan = fleet.duties[RELEASE].state, fleet.plan
        build, number, phase = before
        if rollout.build != build or (rollout.stage, rollout.phase) == (number, phase):
            return
        choice = Choice.BACK if rollout.phase == Phase.GOING_BACK else Choice.ON
        standing = sum(
            b[0] == build
            and b[2] == choice
            and b[3] > fleet.now - plan.vote_life
            and (choice == Choice.BACK or b[1] == number)
            for b in ballots.values()
        )
        due = plan.back_votes if choice == Choice.BACK else plan.on_votes
        if rollout.phase in (Phase.GOING_BACK, Phase.ON_TRIAL, Phase.RELEASED) and standing < due:
            self.breach(
                f"entry {index}: build {build} left stage {number} by {standing} agents, {due} are due"
            )

    def judge(self, plan: RolloutPlan, steps: dict[str, list[str]], broken: str = "") -> None:
        """Replays what was decided, holds what was told beside it, and counts the votes once more by hand."""
        fleet = fleet_of(plan, broken)
        ballots: dict[int, tuple] = {}  # by agent: build, stage, choice, when
        told: dict[tuple[str, FencingToken], Any] = {}
        counted = set()
        for index in sorted(self.committed):
            data = self.committed[index][1]
            if data is not None:
                command = msgpack.unpackb(data, strict_map_key=False)
                rollout = fleet.duties[RELEASE].state
                before = rollout.build, rollout.stage, rollout.phase
                answer = fleet.apply(index, command)
                what = command.get("what", {})
                if what.get("what") == "vote" and answer == Answer.OK:
                    counted.add((what["agent"], what["serial"]))
                    ballots[what["agent"]] = (what["build"], what["stage"], what["choice"], fleet.now)
                self._recount(index, before, fleet, ballots)
            for name, duty in fleet.duties.items():
                told[name, duty.token] = list(duty.state.view())
        for receiver, rows in self.effects.items():
            for token, (duty, face) in rows:
                if told.get((duty, token)) != face:
                    self.breach(f"{receiver}: {face} under {tuple(token)} was never decided")
        for ballot in self.accepted_ballots:
            if ballot not in counted:
                self.breach(f"ballot {ballot} was told ok and is not in the log")
        for name, names in steps.items():
            if self.executed_steps != list(enumerate(names))[: len(self.executed_steps)]:
                self.breach(f"steps {name}: carried out as {self.executed_steps}")


class Node:
    """One controller: a member, its applied state and its owner, on a simulated disk and network."""

    def __init__(self, cluster: Cluster, name: str, disk: Disk) -> None:
        self.cluster, self.name, self.disk = cluster, name, disk
        world = cluster.world
        self.clock = Clock(world, world.chance.randrange(10**9), world.chance.uniform(0.95, 1.05))
        self.life = 0
        self.retired = False
        self.up = False
        self.paused = False
        self.start()

    # ---- life ----
    def start(self) -> None:
        if self.retired:
            return
        shape, chance = self.cluster.shape, random.Random(self.cluster.world.chance.getrandbits(32))
        kept = self.disk.kept
        if shape.broken == "forgets-vote":
            kept.voted_for = None
        self.life += 1
        self.up, self.busy, self.inbox = True, False, []
        self.member = Member(
            MemberId(self.name, self.name), copy.deepcopy(kept), shape.timing, chance, self.clock.mono()
        )
        self.fleet = fleet_of(self.cluster.plan, shape.broken)
        self.restored = 0
        self.duty_manager = DutyManager(self.name, self.fleet, OwnershipTimeouts(600_000, 2_000_000))
        self.waiting: dict[int, tuple[int, Callable[[Any], None]]] = {}
        self.asked: set[str] = set()
        self._restore()
        self.step(lambda: None)
        self._alarm()
        self._work()

    def crash(self) -> None:
        if self.up:
            self.up, self.paused = False, False
            self.disk.crash()

    def _still(self, life: int) -> bool:
        return self.up and self.life == life

    # ---- one turn after another: what is to be told waits for the disk ----
    def step(self, do: Callable[[], None]) -> None:
        self.inbox.append(do)
        self._turn()

    def _turn(self) -> None:
        if self.busy or self.paused or not self.up:
            return
        inbox, self.inbox = self.inbox, []
        for do in inbox:
            do()
        member = self.member
        if member.stale_reason:  # an older copy of its own directory: it ends, and stays away
            self.crash()
            self.retired = True
            return
        if member.role == Role.LEADER:
            self.cluster.leads(self.name, member.term)
        ready = member.take_ready()
        if not ready.records:
            self._out(ready.envelopes)
            return
        self.busy = True
        self.disk.write(ready.records)
        life = self.life
        self.cluster.spite(self, ready.records)
        if self.cluster.shape.broken == "eager":  # tells before its disk holds it
            self._say(ready.envelopes)
        self.cluster.world.after(self.disk.wait(), lambda: self._still(life) and self._saved(ready.envelopes))

    def _saved(self, sends: list) -> None:
        if self.paused:
            self.inbox.insert(0, lambda: self._saved(sends))
            self.busy = False
            return
        self.disk.sync()
        self.busy = False
        self.member.persisted()
        self._out(sends)
        self._turn()

    def _say(self, sends: list) -> None:
        for to, message in sends:
            if node := self.cluster.nodes.get(to):
                self.cluster.net.send(
                    self.name, to, lambda node=node, message=message: node.hear(self.name, message)
                )

    def _out(self, sends: list) -> None:
        if self.cluster.shape.broken != "eager" or not self.disk._pending:
            self._say(sends)
        self._apply()

    def hear(self, sender: str, message: Any) -> None:
        if self.up:
            self.step(lambda: self._heard(sender, message))

    def _heard(self, sender: str, message: Any) -> None:
        self.member.receive(self.clock.mono(), sender, sender, message)

    def _alarm(self) -> None:
        life = self.life

        def ring() -> None:
            if self._still(life):
                self.step(lambda: self.member.tick(self.clock.mono()))
                self._alarm()

        wait = self.clock.true_wait(self.member.next_tick_at)
        self.cluster.world.after(min(max(wait, 1_000), 20_000), ring)

    # ---- what has been decided ----
    def _restore(self) -> None:
        snapshot = self.member.snapshot
        if snapshot.index > self.restored and snapshot.state:
            self.fleet.load(msgpack.unpackb(snapshot.state, strict_map_key=False))
        self.restored = max(self.restored, snapshot.index)

    def _apply(self) -> None:
        if self.member.snapshot.index > max(self.restored, self.fleet.index):
            self._restore()
        for entry in self.member.take_committed():
            data = entry.data if entry.kind == EntryKind.COMMAND else None
            self.cluster.history.decide(self.name, entry.index, entry.term, data)
            answer = None
            if data is not None:
                answer = self.fleet.apply(entry.index, msgpack.unpackb(data, strict_map_key=False))
                self.duty_manager.on_applied(self.clock.mono())
            self.fleet.index = entry.index
            self.restored = entry.index
            if known := self.waiting.pop(entry.index, None):
                known[1](answer if known[0] == entry.term else LATE)
        if self.fleet.index - self.member.snapshot.index > 60:
            self.member.compact(self.fleet.index, msgpack.packb(self.fleet.dump()))
            self.inbox.append(lambda: None)
            self.cluster.world.after(1, self._turn)

    def propose(self, command: dict, then: Callable[[Any], None]) -> None:
        """At the leader that this member knows; what is lost on the way is not answered."""

        def here() -> None:
            index = self.member.propose(msgpack.packb(command))
            if index is not None:
                self.waiting[index] = (self.member.term, then)

        leader = self.member.leader
        if leader == self.name:
            self.step(here)
        elif leader in self.cluster.nodes:
            node = self.cluster.nodes[leader]

            def there() -> None:
                if node.up:
                    node.step(lambda: node.member.leader == node.name and node.propose(command, back))

            def back(answer: Any) -> None:
                self.cluster.net.send(leader, self.name, lambda: self.up and self.step(lambda: then(answer)))

            self.cluster.net.send(self.name, leader, there)

    # ---- the owner's work ----
    def _work(self) -> None:
        life = self.life

        def again() -> None:
            if self._still(life):
                self.step(self._duties)
                self._work()

        self.cluster.world.after(30_000, again)

    def _duties(self) -> None:
        now, member = self.clock.mono(), self.member
        leading = member.role == Role.LEADER
        alive = (
            member.responsive_voters(600_000)
            if leading
            else [self.name, *([member.leader] if member.leader else [])]
        )
        for command in self.duty_manager.due_commands(leading, alive, now):
            key = str(
                (
                    command["do"],
                    command["duty"],
                    command.get("what"),
                    command.get("epoch"),
                    command.get("after"),
                )
            )
            if key not in self.asked:
                self.asked.add(key)
                self.propose(command, lambda _: None)
                self.cluster.world.after(200_000, lambda key=key: self.asked.discard(key))
        if self.cluster.shape.broken == "lease" and leading and now < member.lease_until:
            self.cluster.blind(self)  # trusts its lease: acts without the log
        for effect in self.duty_manager.effects():
            self.cluster.carry_out(self, effect)
        for agent in self.cluster.agents:
            if self.cluster.world.chance.random() < 0.3:
                self.tell(agent)

    def tell(self, agent: Agent) -> None:
        duty = self.fleet.duties[RELEASE]
        if duty.epoch:
            token, face = duty.token, list(duty.state.view())
            self.cluster.net.send(self.name, agent.name, lambda: agent.told(token, face))


class Agent:
    """A light agent: hears stages, votes, tells its ballot again until it is answered."""

    def __init__(self, cluster: Cluster, name: str, number: int) -> None:
        self.cluster, self.name, self.number = cluster, name, number
        self.fence, self.face, self.serial, self.open = Fence(), None, 0, None

    def told(self, token: FencingToken, face: list) -> None:
        broken = self.cluster.shape.broken
        if broken == "no-fence" or self.fence.accept(token):
            self.face = face
            self.cluster.history.take(self.name, token, (RELEASE, face))
        else:
            self.cluster.history.ignored_by_agents += 1

    def restart(self) -> None:
        if self.cluster.shape.broken == "forgets-epoch":
            self.fence = Fence()

    def vote(self) -> None:
        if self.face is None:
            return
        build, stage, phase, _ = self.face
        if self.open is None or self.cluster.world.chance.random() < 0.3:
            self.serial += 1
            self.open = {
                "what": "vote",
                "agent": self.number,
                "serial": self.serial,
                "build": build,
                "stage": stage,
                "choice": self.cluster.world.chance.choice((1, 1, 1, 3)),
            }
        ballot, nodes = dict(self.open), [n for n in self.cluster.nodes.values() if n.up]
        if nodes:
            node = self.cluster.world.chance.choice(nodes)

            def answered(answer: Any) -> None:
                if answer == Answer.OK and self.open and self.open["serial"] == self.serial:
                    self.cluster.history.accepted_ballots.append((self.number, ballot["serial"]))
                    self.open = None

            def there() -> None:
                if node.up:
                    command = {
                        **node.duty_manager.command(RELEASE, ballot),
                        "at": node.duty_manager.log_time(node.clock.mono()),
                    }
                    node.step(
                        lambda: node.propose(
                            command,
                            lambda answer: self.cluster.net.send(
                                node.name, self.name, lambda: answered(answer)
                            ),
                        )
                    )

            self.cluster.net.send(self.name, node.name, there)


class Cluster:
    def __init__(self, seed: int, shape: HistoryConfig, node: type[Node] = Node) -> None:
        self.world, self.shape, self.history = World(seed), shape, History()
        self.net = Network(self.world)
        self.plan = RolloutPlan(
            control="share",
            on_votes=2,
            back_votes=2,
            bake=200_000,
            grace=300_000,
            vote_life=1_500_000,
            needs=(StepsNeeded(2, "owners", 2),),
        )
        names = [f"c{i}" for i in range(shape.members)]
        members = {name: MemberInfo(name, f"{name}:1", True) for name in names}
        self.agents = [Agent(self, f"agent{i}", i) for i in range(shape.agents)]
        self.target, self.machines = StepTarget(), Fence()
        self.nodes: dict[str, Node] = {}
        self.spiteful = shape.faults > 0
        self._copy: PersistentState | None = None
        for name in names:
            kept = PersistentState(snapshot=Snapshot(0, 0, members, b""))
            self.nodes[name] = node(self, name, Disk(self.world, kept, shape.broken != "no-fsync"))

    def leads(self, who: str, term: int) -> None:
        found = self.history.leaders.setdefault(term, set())
        found.add(who)
        if len(found) > 1:
            self.history.breach(f"term {term} has leaders {sorted(found)}")

    # ---- receivers ----
    def carry_out(self, node: Node, effect: Effect) -> None:
        """To the receiver, which judges; its answer back."""
        history, fenced = self.history, self.shape.broken != "no-fence"
        if isinstance(effect.body, MachinesWanted):
            face = list(node.fleet.duties[RELEASE].state.view())

            def arrive() -> None:
                if not fenced or self.machines.accept(effect.token):
                    history.take("machines", effect.token, (RELEASE, face))
                    if face[2] == 0:
                        self.net.send(
                            "machines",
                            node.name,
                            lambda: (
                                node.up
                                and node.step(
                                    lambda: node.propose(
                                        {
                                            **node.duty_manager.command(
                                                RELEASE,
                                                {"what": "running", "build": face[0], "stage": face[1]},
                                            ),
                                            "at": node.duty_manager.log_time(node.clock.mono()),
                                        },
                                        lambda _: None,
                                    )
                                )
                            ),
                        )
                else:
                    history.refused_effects += 1

            self.net.send(node.name, "machines", arrive)
            return

        def do() -> None:
            body, verdict = effect.body, self.target.judge(effect.duty, effect.token, effect.body.number)
            if not fenced and verdict != StepVerdict.RUN:
                verdict = StepVerdict.RUN
            if verdict == StepVerdict.RUN:
                self.target.record(effect.duty, body.name)
                history.executed_steps.append((body.number, body.name))
            if verdict in (StepVerdict.RUN, StepVerdict.DONE):
                self.net.send(
                    "target",
                    node.name,
                    lambda: (
                        node.up
                        and node.step(
                            lambda: (
                                node.duty_manager.on_effect_result(effect, True, node.clock.mono()),
                                node.propose(
                                    {
                                        **node.duty_manager.command(
                                            effect.duty, {"what": "done", "step": body.number}
                                        ),
                                        "at": node.duty_manager.log_time(node.clock.mono()),
                                    },
                                    lambda _: None,
                                ),
                            )
                        )
                    ),
                )
            else:
                history.refused_effects += 1

        node.duty_manager.on_effect_result(effect, False, node.clock.mono())
        self.net.send(node.name, "target", do)

    def blind(self, node: Node) -> None:
        """The seeded fault 'lease': a leader tells what it would decide, on the strength of its clock."""
        duty = node.fleet.duties[RELEASE]
        if duty.owner == node.name and duty.state.phase == Phase.ON_TRIAL:
            face = [duty.state.build, duty.state.stage + 1, 0, {}]
            self.history.take("machines", FencingToken(duty.epoch, duty.index), (RELEASE, face))

    # ---- what befalls them ----
    def spite(self, node: Node, saves: list) -> None:
        """Kills where it hurts most: while something is on its way to disk, and just behind a vote; back in a moment."""
        voted = any(isinstance(save, VoteRecord) and save.voted_for for save in saves)
        if self.spiteful and self.world.chance.random() < (0.3 if voted else 0.002):

            def blink() -> None:
                if node.up:
                    self.history.fault_counts["blink"] += 1
                    node.crash()
                    self.world.after(self.world.chance.randrange(1, 3_000), lambda: node.up or node.start())

            self.world.after(self.world.chance.randrange(1, 2_000 + 20_000 * voted), blink)

    def _trouble(self) -> None:
        world, chance = self.world, self.world.chance
        node = chance.choice(list(self.nodes.values()))
        places = [*self.nodes, *(a.name for a in self.agents), "machines", "target"]
        kind = chance.choice(
            (
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
        )
        self.history.fault_counts[kind] += 1
        span = chance.choice((50_000, 300_000, 1_000_000, 3_000_000))
        match kind:
            case "kill" if node.up:
                node.crash()
                world.after(span, lambda: node.up or node.start())
            case "stop" if node.up and not node.paused:
                life, node.paused = node.life, True

                def go_on() -> None:
                    if node._still(life):
                        node.paused = False
                        node._turn()

                world.after(span, go_on)
            case "part" | "one-way":
                side = set(chance.sample(places, chance.randint(1, len(places) // 2)))
                pairs = {(a, b) for a in side for b in places if b not in side}
                pairs |= {(b, a) for a, b in pairs} if kind == "part" else set()
                self.net.cut |= pairs
                world.after(span, lambda: self.net.cut.difference_update(pairs))
            case "hold":
                pair = (node.name, chance.choice([p for p in places if p != node.name]))
                if pair not in self.net.held:
                    self.net.held[pair] = []
                    world.after(chance.choice((span, 10_000_000)), lambda: self.net.release(pair))
            case "slow-disk":
                node.disk.slow = 30.0
                world.after(span, lambda: setattr(node.disk, "slow", 1.0))
            case "slow-net":
                self.net.slow = 40.0
                world.after(span, lambda: setattr(self.net, "slow", 1.0))
            case "loss":
                self.net.loss, self.net.double = 0.3, 0.3
                world.after(span, self._clear)
            case "jump":  # of the monotonic clock, as after a machine slept
                node.clock.start += chance.choice((1_000_000, 60_000_000))
            case "all":
                for each in self.nodes.values():
                    each.crash()
                    world.after(chance.randrange(1, span), lambda each=each: each.up or each.start())
            case "agent":
                chance.choice(self.agents).restart()
            case "put-back" if not self._copy and self.shape.members > 2:
                # once a history, while the others are there to know better; what they don't know is not promised
                self._copy = copy.deepcopy(node.disk.kept)

                def put_back() -> None:
                    others = [n for n in self.nodes.values() if n is not node]
                    if (
                        node.up
                        and all(n.up and not n.paused for n in others)
                        and not self.net.cut
                        and not self.net.held
                    ):
                        node.crash()
                        node.disk.kept = self._copy
                        world.after(span, lambda: node.up or node.start())

                world.after(span, put_back)

    def _clear(self) -> None:
        self.net.loss = self.net.double = 0.0

    def run(self) -> History:
        world, shape = self.world, self.shape
        end = int(shape.seconds * 1e6)
        at = 1_000_000
        while shape.faults and (at := at + int(world.chance.expovariate(shape.faults) * 1e6) + 1) < end - int(
            shape.quiet * 1e6
        ):
            world.at(at, self._trouble)
        for when in range(500_000, end, 40_000):
            world.at(when, lambda: world.chance.choice(self.agents).vote())
        for number, when in enumerate(range(800_000, end, 3_000_000)):
            world.at(when, lambda number=number: self._offer(number + 2))
        world.at(end - int(shape.quiet * 1e6), self._heal)
        for when in range(0, end, 5_000):
            world.at(when, self._watch)
        self._since: int | None = None
        world.run(end)
        if shape.quiet and not any(n.member.role == Role.LEADER and n.up for n in self.nodes.values()):
            self.history.breach("no leader at the end, though nothing was wrong any more")
        self.history.judge(self.plan, STEPS, shape.broken)
        return self.history

    def _watch(self) -> None:
        """Time without a member that leads and that a majority follows."""
        led = any(
            n.up
            and not n.paused
            and n.member.role == Role.LEADER
            and n.member.commit_index
            and n.member.log.term_at(n.member.commit_index) == n.member.term
            for n in self.nodes.values()
        )
        if not led and self._since is None:
            self._since = self.world.now
        elif led and self._since is not None:
            self.history.leaderless_times.append(self.world.now - self._since)
            self._since = None

    def _offer(self, build: int) -> None:
        if nodes := [n for n in self.nodes.values() if n.up]:
            node = self.world.chance.choice(nodes)
            node.step(
                lambda: node.propose(
                    {
                        **node.duty_manager.command(
                            RELEASE, {"what": "offer", "build": build, "machines": 6}
                        ),
                        "at": node.duty_manager.log_time(node.clock.mono()),
                    },
                    lambda _: None,
                )
            )

    def _heal(self) -> None:
        self.spiteful = False
        self.net.cut.clear()
        for pair in list(self.net.held):
            self.net.release(pair)
        self.net.slow = 1.0
        self._clear()
        for node in self.nodes.values():
            node.disk.slow, node.paused = 1.0, False
            if not node.up:
                node.start()
            node._turn()


def run_history(seed: int, shape: HistoryConfig) -> History:
    return Cluster(seed, shape).run()

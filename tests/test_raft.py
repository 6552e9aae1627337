"""The controllers' log under simulated clocks, disks and network, judged from what receivers saw.

Faults that were put in on purpose have to be found.
"""

from __future__ import annotations

import copy
import random

import pytest

from cartweir.fleet.raft.log import MemberInfo, Snapshot
from cartweir.fleet.raft.member import ChangeRefusedError, Member, MemberId, Role, Timing
from cartweir.fleet.raft.records import PersistentState
from cartweir.model import owner_failover
from cartweir.model.cluster import HistoryConfig, run_history

# seeds within which each fault is found, from 0 on; a verdict that finds none of them proves nothing
FOUND = {"no-fence": 1, "no-fsync": 1, "lease": 1, "vote-twice": 1, "forgets-epoch": 40, "eager": 150}


@pytest.mark.parametrize("members, seeds", [(3, range(60)), (5, range(15)), (1, range(3))])
def test_no_history_of_faults_breaks_what_receivers_may_see(members, seeds):
    for seed in seeds:
        history = run_history(seed, HistoryConfig(members=members))
        assert not history.breaches, (seed, history.breaches)
        assert len(history.committed) > 50 and history.accepted_ballots


@pytest.mark.parametrize("broken", FOUND)
def test_a_fault_put_in_on_purpose_is_found(broken):
    assert any(run_history(seed, HistoryConfig(broken=broken)).breaches for seed in range(FOUND[broken])), (
        broken
    )


def test_a_seed_replays_its_history_to_the_letter():
    first, again = (run_history(7, HistoryConfig()) for _ in range(2))
    assert (
        first.committed == again.committed
        and first.effects == again.effects
        and first.fault_counts == again.fault_counts
    )


class Trio:
    """Three members whose words arrive at once, with clocks that stand still unless told."""

    def __init__(self, names="abc"):
        self.now = 0
        self.members = {name: MemberInfo(name, f"{name}:1", True) for name in names}
        self.kept = {name: PersistentState(snapshot=Snapshot(0, 0, self.members, b"")) for name in names}
        self.nodes = {name: self.make(name) for name in names}
        self.cut: set[str] = set()

    def make(self, name, kept=None, mark=None):
        if kept is not None:
            self.kept[name] = kept
        return Member(
            MemberId(name, mark or name),
            copy.deepcopy(self.kept[name]),
            Timing(),
            random.Random(name),
            self.now,
        )

    def settle(self):
        moved = True
        while moved:
            moved = False
            for name, node in list(self.nodes.items()):
                ready = node.take_ready()
                for save in ready.records:
                    self.kept[name].add(save)
                if ready.records:
                    node.persisted()
                for to, message in ready.envelopes:
                    moved = True
                    if to in self.nodes and not {name, to} & self.cut:
                        self.nodes[to].receive(self.now, name, node.directory_id, message)
                moved = moved or bool(ready.records)

    def run(self, time):
        for _ in range(time // 10_000):
            self.now += 10_000
            for node in self.nodes.values():
                node.tick(self.now)
            self.settle()

    @property
    def leader(self):
        (name,) = [n for n, node in self.nodes.items() if node.role == Role.LEADER and n not in self.cut]
        return name


def test_a_member_that_was_cut_off_disturbs_nobody_when_it_is_back():
    trio = Trio()
    trio.run(2_000_000)
    leader = trio.leader
    away = next(name for name in "abc" if name != leader)
    trio.cut = {away}
    trio.run(5_000_000)
    term = trio.nodes[leader].term
    trio.cut = set()
    trio.run(2_000_000)
    assert trio.leader == leader and {node.term for node in trio.nodes.values()} == {term}


def test_a_leader_without_a_majority_stops_before_another_begins():
    trio = Trio()
    trio.run(2_000_000)
    old = trio.leader
    trio.cut = {old}
    led = []
    for _ in range(300):
        trio.run(10_000)
        led.append(sum(node.role == Role.LEADER for node in trio.nodes.values()))
    assert max(led) == 1 and led[-1] == 1 and trio.nodes[old].role != Role.LEADER


def test_handing_over_leaves_nothing_undone():
    trio = Trio()
    trio.run(2_000_000)
    old = trio.leader
    to = next(name for name in "abc" if name != old)
    index = trio.nodes[old].propose(b"x")
    trio.nodes[old].transfer_leadership(to)
    assert trio.nodes[old].propose(b"y") is None
    trio.run(200_000)
    assert trio.leader == to and trio.nodes[to].commit_index > index and trio.nodes[old].role == Role.FOLLOWER


def test_a_lost_directory_does_not_vote_until_it_holds_the_log():
    trio = Trio()
    trio.run(2_000_000)
    leader = trio.leader
    lost = next(name for name in "abc" if name != leader)
    other = next(name for name in "abc" if name not in (leader, lost))
    trio.nodes[leader].propose(b"x")
    trio.settle()
    trio.nodes[lost] = trio.make(lost, PersistentState(), "new")
    trio.cut = {other}
    with pytest.raises(ChangeRefusedError, match="no majority"):
        trio.run(600_000)
        trio.nodes[leader].role == Role.LEADER or trio.nodes[leader].add_member(
            lost, MemberInfo("new", f"{lost}:1", False)
        )
        trio.nodes[leader].add_member(lost, MemberInfo("new", f"{lost}:1", False))
    trio.cut = set()
    trio.run(2_000_000)
    leader = trio.leader
    assert leader != lost
    with pytest.raises(ChangeRefusedError, match="listened"):
        trio.nodes[leader].add_member(lost, MemberInfo("new", f"{lost}:1", True))
    trio.nodes[leader].add_member(lost, MemberInfo("new", f"{lost}:1", False))
    trio.run(300_000)
    assert not trio.nodes[leader].members[lost].votes
    trio.nodes[leader].add_member(lost, MemberInfo("new", f"{lost}:1", True))
    trio.run(300_000)
    assert (
        trio.nodes[lost].commit_index == trio.nodes[leader].commit_index and lost in trio.nodes[lost].voters
    )
    # what the lost directory promised counts for nobody any more
    assert trio.nodes[leader].members[lost].directory_id == "new"


def test_one_that_lags_behind_a_snapshot_gets_it():
    trio = Trio()
    trio.run(2_000_000)
    leader = trio.leader
    away = next(name for name in "abc" if name != leader)
    trio.cut = {away}
    for number in range(50):
        trio.nodes[leader].propose(b"%d" % number)
        trio.settle()
    node = trio.nodes[leader]
    node.take_committed()
    node.compact(node.commit_index, b"all of it")
    trio.cut = set()
    trio.run(1_000_000)
    assert (
        trio.nodes[away].snapshot.state == b"all of it" and trio.nodes[away].commit_index == node.commit_index
    )


@pytest.mark.parametrize("asks", [True, False])
def test_a_directory_put_back_from_a_copy_does_not_vote_twice_in_a_term(asks):
    """c has voted for a; restored from a copy without the vote, it would elect b too, if it asked nobody."""
    trio = Trio()
    trio.settle()
    old = copy.deepcopy(trio.kept["c"])
    trio.cut, trio.nodes["c"].election_deadline = {"b"}, 10**12
    trio.run(1_500_000)
    assert trio.leader == "a" and trio.kept["c"].voted_for == "a" and trio.nodes["a"].term == 1
    trio.nodes["c"] = back = trio.make("c", old)
    if not asks:
        back.restart.skip()
    trio.run(20_000) if asks else trio.settle()
    assert ("a knows of" in back.stale_reason) is asks
    trio.cut, back.election_deadline = {"a"}, 10**12  # now b alone can ask it
    trio.run(3_000_000)
    leads = trio.nodes["b"].role == Role.LEADER and trio.nodes["b"].term == 1
    assert leads is not asks


def test_a_leader_whose_directory_is_put_back_is_known_by_what_it_led():
    """It voted for itself and answered nobody; what its followers got from it tells."""
    trio = Trio()
    trio.settle()
    old = copy.deepcopy(trio.kept["a"])
    trio.run(50_000)
    trio.nodes["a"].election_deadline = trio.now
    trio.run(300_000)
    assert trio.leader == "a"
    trio.nodes["a"].propose(b"x")
    trio.run(200_000)
    trio.nodes["a"] = trio.make("a", old)
    trio.run(20_000)
    assert "knows of" in trio.nodes["a"].stale_reason


def test_a_directory_of_now_is_taken_whatever_was_overwritten():
    """What an old leader had got in and a new one overwrote is not missed."""
    trio = Trio()
    trio.run(2_000_000)
    old = trio.leader
    trio.cut = {old}
    for _ in range(5):
        trio.nodes[old].propose(b"nobody else has it")
    trio.run(3_000_000)
    trio.cut = set()
    trio.run(1_000_000)
    for name in "abc":
        trio.nodes[name] = trio.make(name)
        trio.run(1_500_000)
        assert not trio.nodes[name].stale_reason
    assert trio.leader


def test_the_next_owner_is_heard_of_as_soon_by_many_agents_as_by_few():
    few, many = (
        owner_failover.run_failovers(
            1, owner_failover.FailoverConfig(3, agents, kills=5, admission_rate=100.0)
        )
        for agents in (10, 600)
    )
    for found in (few, many):
        assert (
            len(found.first_agent_times) == len(found.last_agent_times) == 5
            and not found.unfinished
            and found.member_messages > 0
        )
    assert owner_failover.median(many.first_agent_times) < 1.2 * owner_failover.median(few.first_agent_times)
    assert (
        max(many.last_agent_times) > 2 * max(few.last_agent_times) and many.refused
    )  # those that listened at the killed one are let in by and by
    assert many.stage_messages < 3 * 600 * (1 + 5)

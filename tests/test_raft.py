"""The controllers' log on simulated clocks, disks and networks, checked by what receivers saw.

Seeded faults have to be found.
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

# the number of seeds, from 0 on, within which the check finds each seeded fault
SEEDS_TO_FIND = {"no-fence": 1, "no-fsync": 1, "lease": 1, "vote-twice": 1, "forgets-epoch": 40, "eager": 150}


@pytest.mark.parametrize("members, seeds", [(3, range(60)), (5, range(15)), (1, range(3))])
def test_no_history_with_faults_has_a_breach(members, seeds):
    for seed in seeds:
        history = run_history(seed, HistoryConfig(members=members))
        assert not history.breaches, (seed, history.breaches)
        assert len(history.committed) > 50 and history.accepted_ballots


@pytest.mark.parametrize("seeded_fault", SEEDS_TO_FIND)
def test_a_seeded_fault_is_found(seeded_fault):
    assert any(
        run_history(seed, HistoryConfig(seeded_fault=seeded_fault)).breaches
        for seed in range(SEEDS_TO_FIND[seeded_fault])
    ), seeded_fault


def test_a_seed_reproduces_its_history():
    first, again = (run_history(7, HistoryConfig()) for _ in range(2))
    assert (
        first.committed == again.committed
        and first.effects == again.effects
        and first.fault_counts == again.fault_counts
    )


class ThreeMembers:
    """Three members whose messages arrive at once; time passes only in `run`."""

    def __init__(self, names="abc"):
        self.now = 0
        self.members = {name: MemberInfo(name, f"{name}:1", True) for name in names}
        self.states = {name: PersistentState(snapshot=Snapshot(0, 0, self.members, b"")) for name in names}
        self.nodes = {name: self.make(name) for name in names}
        self.cut: set[str] = set()

    def make(self, name, state=None, directory_id=None):
        if state is not None:
            self.states[name] = state
        return Member(
            MemberId(name, directory_id or name),
            copy.deepcopy(self.states[name]),
            Timing(),
            random.Random(name),
            self.now,
        )

    def settle(self):
        """Writes and delivers until no member has anything left to write or to send."""
        moved = True
        while moved:
            moved = False
            for name, node in list(self.nodes.items()):
                ready = node.take_ready()
                for record in ready.records:
                    self.states[name].add(record)
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


def test_a_member_that_was_cut_off_causes_no_election_when_it_is_back():
    cluster = ThreeMembers()
    cluster.run(2_000_000)
    leader = cluster.leader
    away = next(name for name in "abc" if name != leader)
    cluster.cut = {away}
    cluster.run(5_000_000)
    term = cluster.nodes[leader].term
    cluster.cut = set()
    cluster.run(2_000_000)
    assert cluster.leader == leader and {node.term for node in cluster.nodes.values()} == {term}


def test_a_leader_without_a_majority_steps_down_before_another_is_elected():
    cluster = ThreeMembers()
    cluster.run(2_000_000)
    old = cluster.leader
    cluster.cut = {old}
    led = []
    for _ in range(300):
        cluster.run(10_000)
        led.append(sum(node.role == Role.LEADER for node in cluster.nodes.values()))
    assert max(led) == 1 and led[-1] == 1 and cluster.nodes[old].role != Role.LEADER


def test_a_leadership_transfer_loses_no_proposal():
    cluster = ThreeMembers()
    cluster.run(2_000_000)
    old = cluster.leader
    to = next(name for name in "abc" if name != old)
    index = cluster.nodes[old].propose(b"x")
    cluster.nodes[old].transfer_leadership(to)
    assert cluster.nodes[old].propose(b"y") is None
    cluster.run(200_000)
    assert (
        cluster.leader == to
        and cluster.nodes[to].commit_index > index
        and cluster.nodes[old].role == Role.FOLLOWER
    )


def test_a_member_that_lost_its_directory_does_not_vote_until_it_holds_the_log():
    cluster = ThreeMembers()
    cluster.run(2_000_000)
    leader = cluster.leader
    lost = next(name for name in "abc" if name != leader)
    other = next(name for name in "abc" if name not in (leader, lost))
    cluster.nodes[leader].propose(b"x")
    cluster.settle()
    cluster.nodes[lost] = cluster.make(lost, PersistentState(), "new")
    cluster.cut = {other}
    with pytest.raises(ChangeRefusedError, match="no majority"):
        cluster.run(600_000)
        cluster.nodes[leader].role == Role.LEADER or cluster.nodes[leader].add_member(
            lost, MemberInfo("new", f"{lost}:1", False)
        )
        cluster.nodes[leader].add_member(lost, MemberInfo("new", f"{lost}:1", False))
    cluster.cut = set()
    cluster.run(2_000_000)
    leader = cluster.leader
    assert leader != lost
    with pytest.raises(ChangeRefusedError, match="not a learner yet"):
        cluster.nodes[leader].add_member(lost, MemberInfo("new", f"{lost}:1", True))
    cluster.nodes[leader].add_member(lost, MemberInfo("new", f"{lost}:1", False))
    cluster.run(300_000)
    assert not cluster.nodes[leader].members[lost].votes
    cluster.nodes[leader].add_member(lost, MemberInfo("new", f"{lost}:1", True))
    cluster.run(300_000)
    assert (
        cluster.nodes[lost].commit_index == cluster.nodes[leader].commit_index
        and lost in cluster.nodes[lost].voters
    )
    # votes of the lost directory no longer count
    assert cluster.nodes[leader].members[lost].directory_id == "new"


def test_a_member_that_lags_behind_a_snapshot_gets_it():
    cluster = ThreeMembers()
    cluster.run(2_000_000)
    leader = cluster.leader
    away = next(name for name in "abc" if name != leader)
    cluster.cut = {away}
    for number in range(50):
        cluster.nodes[leader].propose(b"%d" % number)
        cluster.settle()
    node = cluster.nodes[leader]
    node.take_committed()
    node.compact(node.commit_index, b"state")
    cluster.cut = set()
    cluster.run(1_000_000)
    assert (
        cluster.nodes[away].snapshot.state == b"state"
        and cluster.nodes[away].commit_index == node.commit_index
    )


@pytest.mark.parametrize("checks_restart", [True, False])
def test_a_directory_restored_from_a_copy_does_not_vote_twice_in_a_term(checks_restart):
    """Without the restart check, c, restored from a copy without its vote for a, would vote for b too."""
    cluster = ThreeMembers()
    cluster.settle()
    old = copy.deepcopy(cluster.states["c"])
    cluster.cut, cluster.nodes["c"].election_deadline = {"b"}, 10**12
    cluster.run(1_500_000)
    assert cluster.leader == "a" and cluster.states["c"].voted_for == "a" and cluster.nodes["a"].term == 1
    cluster.nodes["c"] = back = cluster.make("c", old)
    if not checks_restart:
        back.restart.skip()
    cluster.run(20_000) if checks_restart else cluster.settle()
    assert ("a knows of" in back.stale_reason) is checks_restart
    cluster.cut, back.election_deadline = {"a"}, 10**12  # now only b can ask for its vote
    cluster.run(3_000_000)
    leads = cluster.nodes["b"].role == Role.LEADER and cluster.nodes["b"].term == 1
    assert leads is not checks_restart


def test_a_leader_whose_directory_is_restored_from_a_copy_is_found_by_its_followers():
    """It voted for itself, so no other member recorded its vote; its followers know its term and entries."""
    cluster = ThreeMembers()
    cluster.settle()
    old = copy.deepcopy(cluster.states["a"])
    cluster.run(50_000)
    cluster.nodes["a"].election_deadline = cluster.now
    cluster.run(300_000)
    assert cluster.leader == "a"
    cluster.nodes["a"].propose(b"x")
    cluster.run(200_000)
    cluster.nodes["a"] = cluster.make("a", old)
    cluster.run(20_000)
    assert "knows of" in cluster.nodes["a"].stale_reason


def test_a_current_directory_is_accepted_after_entries_were_overwritten():
    """Entries of a former leader that the next one overwrote do not make a directory look old."""
    cluster = ThreeMembers()
    cluster.run(2_000_000)
    old = cluster.leader
    cluster.cut = {old}
    for _ in range(5):
        cluster.nodes[old].propose(b"never replicated")
    cluster.run(3_000_000)
    cluster.cut = set()
    cluster.run(1_000_000)
    for name in "abc":
        cluster.nodes[name] = cluster.make(name)
        cluster.run(1_500_000)
        assert not cluster.nodes[name].stale_reason
    assert cluster.leader


def test_the_first_of_many_agents_follows_the_next_owner_as_soon_as_of_few():
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
    # the agents of the killed controller are admitted one after another
    assert max(many.last_agent_times) > 2 * max(few.last_agent_times) and many.refused
    assert many.stage_messages < 3 * 600 * (1 + 5)

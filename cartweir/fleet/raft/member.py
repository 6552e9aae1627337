"""One member of the cluster: elections, replication and changes of members.

The host calls `tick`, `receive` and `propose`, then takes a `Ready`: its records have to be on disk, fsynced,
before its messages are sent and before `persisted` is called.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from .log import Entry, EntryKind, Log, LogPosition, MemberInfo, Snapshot
from .messages import (
    AppendEntries,
    AppendReply,
    Envelope,
    InstallSnapshot,
    Message,
    RequestVote,
    StartQuery,
    StartReply,
    TimeoutNow,
    VoteReply,
)
from .records import (
    EntryRecord,
    PersistentState,
    Record,
    SnapshotRecord,
    StartCount,
    StartRecord,
    VoteRecord,
)
from .replication import Replication
from .restart import NO_POSITION, RestartCheck, is_restart_message

NONCE_BITS = 48
ROUNDS_REMEMBERED = 4  # election timeouts for which a round may still be answered
TRANSFER_PATIENCE = 2  # election timeouts after which a leadership transfer is given up
START_PATIENCE = 2  # election timeouts for which a starting member waits for the others' answers


class Role(StrEnum):
    """The part that a member plays in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Ready(NamedTuple):
    """What the host has to write, and then to send."""

    records: list[Record]
    envelopes: list[Envelope]


@dataclass
class Timing:
    """Time-outs, in microseconds, and limits.

    Attributes:
        heartbeat: the time between two rounds of messages from the leader.
        election_timeout: a follower that has not heard its leader for this to twice this starts an election.
        batch_size: the largest number of entries in one message.
        clock_drift: by which share two clocks may run apart; a lease is shorter by it.
    """

    heartbeat: int = 100_000
    election_timeout: int = 500_000
    batch_size: int = 64
    clock_drift: float = 0.1


class MemberId(NamedTuple):
    """A member is known by its name and its data directory."""

    name: str
    directory_id: str


class _Transfer(NamedTuple):
    """A leadership transfer under way."""

    to: str
    give_up_at: int


class ChangeRefusedError(Exception):
    """A change that is not possible now; the text gives the reason."""


class Member:
    """One member of a Raft cluster.

    Attributes:
        role, term, voted_for, leader: as in the paper; `leader` is None while it is not known.
        members: the members by name, as of the last entry in the log.
        commit_index: the last entry that is known to be committed.
        persisted_index: the last entry on this member's own disk.
        leader_heard_at: when the last message from a leader arrived.
        election_deadline: when an election begins, if no leader is heard until then.
    """

    def __init__(
        self, me: MemberId, state: PersistentState, timing: Timing, rng: random.Random, now: int
    ) -> None:
        """`state` is what the disk holds; `rng` draws the election time-outs."""
        self.name, self.directory_id = me
        self.timing = timing
        self.rng = rng
        self.term = state.term
        self.voted_for = state.voted_for
        self.log = Log(state.snapshot, state.entries)
        self.members = self.log.members()
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.commit_index = self.applied_index = state.snapshot.index
        self.persisted_index = self.log.last_index
        self.now = now
        self.leader_heard_at = now - 2 * timing.election_timeout  # no leader is protected from an election
        self._records: list[Record] = []
        self._envelopes: list[Envelope] = []
        self._votes: set[str] = set()
        self._pre_vote = self._leadership_transfer = False
        self._nonce = 0
        self._replication = Replication()
        self._next_round_at = 0
        self._transfer: _Transfer | None = None
        self._reset_election_deadline()
        self.restart = self._begin_restart_check(state.starts)

    def _begin_restart_check(self, known_starts: Mapping[str, StartCount]) -> RestartCheck:
        starts = dict(known_starts)
        number = starts.get(self.name, StartCount(self.directory_id, 0)).number + 1
        starts[self.name] = StartCount(self.directory_id, number)
        record = StartRecord(self.name, self.directory_id, number)
        self._records.append(record)
        check = RestartCheck(record, self.term, self.log.last_position, starts)
        deadline = self.now + START_PATIENCE * self.timing.election_timeout
        check.begin(set(self.members) - {self.name}, self.now, deadline)
        return check

    # The host's interface

    @property
    def snapshot(self) -> Snapshot:
        """The newest snapshot."""
        return self.log.snapshot

    @property
    def last_index(self) -> int:
        """The index of the last entry in the log."""
        return self.log.last_index

    @property
    def stale_reason(self) -> str:
        """Why the data directory must not be used: it is an older copy of itself. Empty if it may be used."""
        return self.restart.stale_reason

    @property
    def next_tick_at(self) -> int:
        """When `tick` has to be called next."""
        if self.role == Role.LEADER:
            return min(self._next_round_at, self.lease_until)
        return self.election_deadline

    def tick(self, now: int) -> None:
        """Sends what has to be sent by this time, and handles time-outs."""
        self.now = max(self.now, now)
        self._envelopes += self.restart.queries(self.now, self.timing.heartbeat)
        if self.role == Role.LEADER:
            self._tick_leader()
        elif self.now >= self.election_deadline:
            self._reset_election_deadline()
            if self._may_vote():
                self._campaign(pre_vote=True)
        if self._transfer and self.now >= self._transfer.give_up_at:
            self._transfer = None

    def _tick_leader(self) -> None:
        if self.now >= self.lease_until:  # no majority answers: another member may have been elected
            self._become_follower(self.term, None)
        elif self.now >= self._next_round_at:
            self._send_round()

    def take_ready(self) -> Ready:
        """Returns the records to write and the messages to send since the last call."""
        envelopes = [envelope for envelope in self._envelopes if self.restart.allows(envelope)]
        ready = Ready(self._records, envelopes)
        self._records, self._envelopes = [], []
        return ready

    def persisted(self) -> None:
        """The records of the last `Ready` are on disk; the host has called nothing else in between."""
        self.persisted_index = self.log.last_index
        if self.role == Role.LEADER:
            self._advance_commit_index()

    def take_committed(self) -> list[Entry]:
        """Returns the entries that have been committed since the last call, in order.

        An installed snapshot precedes them: its index is then above what the host has applied.
        """
        first = max(self.applied_index, self.snapshot.index) + 1
        committed = list(self.log.slice(first, max(0, self.commit_index - first + 1)))
        self.applied_index = max(self.applied_index, self.commit_index)
        return committed

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the entries up to `index`, which have been applied, by the application's state."""
        if index <= self.snapshot.index or index > self.applied_index:
            return
        self.log.compact(index, state)
        self._records.append(SnapshotRecord(self.snapshot, True))

    # The log

    def _put(self, entry: Entry) -> None:
        self.log.put(entry)
        self.persisted_index = min(self.persisted_index, entry.index - 1)
        self._records.append(EntryRecord(entry))

    def _send(self, to: str, message: Message) -> None:
        self._envelopes.append(Envelope(to, message))

    @property
    def voters(self) -> list[str]:
        """The names of the members that vote."""
        return [name for name, info in self.members.items() if info.votes]

    def _is_voter(self, name: str) -> bool:
        return name in self.members and self.members[name].votes

    def _is_majority(self, names: Iterable[str]) -> bool:
        return 2 * len(set(names) & set(self.voters)) > len(self.voters)

    def _may_vote(self) -> bool:
        """Whether this member may vote.

        It may not with a directory unknown to the members: the votes recorded in the lost one are forgotten.
        """
        if not self.restart.passed or not self._is_voter(self.name):
            return False
        return self.members[self.name].directory_id == self.directory_id

    # Elections

    def _reset_election_deadline(self) -> None:
        timeout = self.timing.election_timeout
        self.election_deadline = self.now + self.rng.randrange(timeout, 2 * timeout)

    def _become_follower(self, term: int, leader: str | None) -> None:
        if term > self.term:
            self.term, self.voted_for = term, None
            self._records.append(VoteRecord(term, None))
        if self.role != Role.FOLLOWER or leader != self.leader:
            self.role, self.leader = Role.FOLLOWER, leader
            self._transfer = None
            self._reset_election_deadline()

    def _campaign(self, pre_vote: bool, leadership_transfer: bool = False) -> None:
        self.role, self.leader = Role.CANDIDATE, None
        self._pre_vote, self._leadership_transfer = pre_vote, leadership_transfer
        self._votes = {self.name}
        self._nonce = self.rng.getrandbits(NONCE_BITS)
        if not pre_vote:
            self.term, self.voted_for = self.term + 1, self.name
            self._records.append(VoteRecord(self.term, self.name))
        last = self.log.last_position
        request = RequestVote(
            term=self.term + 1 if pre_vote else self.term,
            last_index=last.index,
            last_term=last.term,
            pre_vote=pre_vote,
            leadership_transfer=leadership_transfer,
            nonce=self._nonce,
        )
        for name in self.voters:
            if name != self.name:
                self._send(name, request)
        self._count_votes()

    def _count_votes(self) -> None:
        if not self._is_majority(self._votes):
            return
        if self._pre_vote:
            self._campaign(pre_vote=False, leadership_transfer=self._leadership_transfer)
        else:
            self._become_leader()

    def _become_leader(self) -> None:
        self.role, self.leader = Role.LEADER, self.name
        next_index = self.log.last_index + 1
        self._replication.reset(self.members, next_index, self.now)
        # entries of earlier terms are committed along with an entry of this one (paper 5.4.2)
        self._put(Entry(next_index, self.term, EntryKind.NO_OP, None))
        self._send_round()

    def _on_request_vote(self, sender: str, request: RequestVote) -> None:
        leader_is_alive = self.now - self.leader_heard_at < self.timing.election_timeout
        has_leader = self.role == Role.LEADER or leader_is_alive
        if has_leader and not request.leadership_transfer and sender != self.leader:
            return  # a member that returns, or hears less than others, does not disrupt (thesis 4.2.3, 9.6)
        if not request.pre_vote and request.term > self.term:
            self._become_follower(request.term, None)
        granted = self._grants_vote(sender, request)
        if granted and not request.pre_vote:
            self.voted_for = sender
            self._records.append(VoteRecord(self.term, sender))
            self._reset_election_deadline()
        term = request.term if granted else self.term
        self._send(sender, VoteReply(term, request.pre_vote, granted, request.nonce))

    def _grants_vote(self, sender: str, request: RequestVote) -> bool:
        up_to_date = LogPosition(request.last_term, request.last_index) >= self.log.last_position
        if not up_to_date or not self._may_vote():
            return False
        if request.pre_vote:
            return request.term > self.term
        return request.term >= self.term and self.voted_for in (None, sender)

    def _on_vote_reply(self, sender: str, reply: VoteReply) -> None:
        term = self.term + 1 if self._pre_vote else self.term
        is_mine = self.role == Role.CANDIDATE and reply.nonce == self._nonce and reply.term == term
        if reply.granted and is_mine:
            self._votes.add(sender)
            self._count_votes()
        elif not reply.granted and reply.term > self.term:
            self._become_follower(reply.term, None)

    # The leader

    @property
    def lease_until(self) -> int:
        """Until when no other member can have been elected; 0 unless this member leads.

        A majority has answered a round sent at that time less the election timeout, and ignores other
        candidates for as long (thesis 6.4.1). Clocks may run apart, so only speed may depend on it, never
        correctness.
        """
        if self.role != Role.LEADER:
            return 0
        acknowledged = sorted((self._acknowledged_at(name) or 0 for name in self.voters), reverse=True)
        timeout = self.timing.election_timeout * (1 - self.timing.clock_drift)
        return int(acknowledged[len(acknowledged) // 2] + timeout)

    def _acknowledged_at(self, name: str) -> int | None:
        return self.now if name == self.name else self._replication.acknowledged_at(name)

    def responsive_voters(self, within: int) -> list[str]:
        """Returns the voters that answered a round sent so recently, and this member; none unless it leads.

        Only answers count: a copy of a member that is suspended may send other messages in its name.
        """
        if self.role != Role.LEADER:
            return []
        responsive = []
        for name in self.voters:
            acknowledged_at = self._acknowledged_at(name)
            if acknowledged_at is not None and self.now - acknowledged_at < within:
                responsive.append(name)
        return responsive

    def _send_round(self) -> None:
        """Sends each member the entries that it lacks, or a heartbeat."""
        self._replication.begin_round(self.now, ROUNDS_REMEMBERED * self.timing.election_timeout)
        self._next_round_at = self.now + self.timing.heartbeat
        for name in self.members:
            if name != self.name:
                self._send_entries(name)

    def _send_entries(self, to: str) -> None:
        first = self._replication.of(to, self.log.last_index + 1).next_index
        previous_term = self.log.term_at(first - 1)
        if previous_term is None:
            self._send(to, InstallSnapshot(self.term, self.snapshot, self._replication.round))
            return
        append = AppendEntries(
            term=self.term,
            previous_index=first - 1,
            previous_term=previous_term,
            entries=self.log.slice(first, self.timing.batch_size),
            commit_index=self.commit_index,
            round=self._replication.round,
        )
        self._send(to, append)

    def _on_append_reply(self, sender: str, reply: AppendReply) -> None:
        if self.role != Role.LEADER or reply.term != self.term or sender not in self.members:
            return
        progress = self._replication.of(sender, self.log.last_index + 1)
        self._replication.acknowledge(progress, reply.round)
        if not reply.success:
            progress.next_index = max(1, min(reply.index, progress.next_index - 1))
            self._send_entries(sender)
            return
        if reply.index > progress.match_index:
            progress.match_index = reply.index
            self._advance_commit_index()
        progress.next_index = max(progress.next_index, reply.index + 1)
        if progress.next_index <= self.log.last_index:
            self._send_entries(sender)
        self._continue_transfer(sender)

    def _continue_transfer(self, sender: str) -> None:
        """Lets the target of a transfer start its election once it has the whole log."""
        transfer = self._transfer
        if not transfer or transfer.to != sender:
            return
        if self._replication.match_index(sender) == self.log.last_index:
            self._send(sender, TimeoutNow(self.term))
            give_up_at = min(transfer.give_up_at, self.now + self.timing.election_timeout)
            self._transfer = _Transfer(sender, give_up_at)

    def _advance_commit_index(self) -> None:
        """Commits what a majority has on disk, if it is of the current term (paper 5.4.2)."""
        indexes = sorted((self._match_index(name) for name in self.voters), reverse=True)
        majority_index = indexes[len(indexes) // 2] if indexes else 0
        if majority_index <= self.commit_index or self.log.term_at(majority_index) != self.term:
            return
        self.commit_index = majority_index
        if not self._is_voter(self.name):  # it has led until its own removal was committed (thesis 4.2.2)
            self._become_follower(self.term, None)

    def _match_index(self, name: str) -> int:
        return self.persisted_index if name == self.name else self._replication.match_index(name)

    def propose(self, command: bytes) -> int | None:
        """Appends a command; returns its index, at which it may be committed in this term.

        Returns None if this member does not lead, or is handing the leadership over.
        """
        if self.role != Role.LEADER or self._transfer:
            return None
        return self._append(EntryKind.COMMAND, command)

    def _append(self, kind: EntryKind, data: Any) -> int:
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self._put(entry)
        for name in self.members:  # others get it after the entries that they lack
            if name != self.name and self._replication.is_next(name, entry.index):
                self._send_entries(name)
                self._replication.of(name, entry.index).next_index = entry.index + 1
        return entry.index

    def transfer_leadership(self, to: str) -> None:
        """Hands the leadership to `to` once it has the whole log (thesis 3.10); takes no proposals meanwhile.

        Raises:
            ChangeRefusedError: this member does not lead, or `to` is not another voter.
        """
        if self.role != Role.LEADER:
            raise ChangeRefusedError("this member does not lead")
        if to not in self.voters or to == self.name:
            raise ChangeRefusedError(f"{to}: expected another member that votes")
        self._transfer = _Transfer(to, self.now + TRANSFER_PATIENCE * self.timing.election_timeout)
        self._send_entries(to)

    # Changes of members

    def add_member(self, name: str, info: MemberInfo) -> int:
        """Adds a member, or one whose directory was replaced; it has to be a learner before it may vote.

        Returns the index of the change.

        Raises:
            ChangeRefusedError: the change is not possible now.
        """
        current = self.members.get(name)
        if info.votes:
            self._check_learner(name, current, info.directory_id)
        elif current:  # the new directory holds nothing of what the lost one held
            self._replication.forget_match(name, self.log.last_index + 1)
            others = set(self.responsive_voters(self.timing.election_timeout)) - {name}
            if current.votes and not self._is_majority(others):
                raise ChangeRefusedError(f"without {name} no majority answers: it may not be replaced now")
        return self._change_members({**self.members, name: info})

    def _check_learner(self, name: str, current: MemberInfo | None, directory_id: str) -> None:
        if current is None or current.directory_id != directory_id:
            raise ChangeRefusedError(f"{name} is not a learner yet: expected a learner that holds the log")
        match_index = self._replication.match_index(name)
        if match_index < self.commit_index:
            raise ChangeRefusedError(
                f"{name} holds the log up to {match_index}: expected {self.commit_index}, the commit index"
            )

    def remove_member(self, name: str) -> int:
        """Removes a member; returns the index of the change.

        Raises:
            ChangeRefusedError: the change is not possible now.
        """
        if name not in self.members or len(self.members) == 1:
            raise ChangeRefusedError(f"{name}: expected a member other than the only one")
        return self._change_members({other: info for other, info in self.members.items() if other != name})

    def _change_members(self, members: Mapping[str, MemberInfo]) -> int:
        """One member at a time, each change committed before the next (thesis 4.1)."""
        if self.role != Role.LEADER:
            raise ChangeRefusedError("this member does not lead")
        has_committed = self.log.term_at(self.commit_index) == self.term
        if not has_committed or self.log.changes_members_after(self.commit_index):
            raise ChangeRefusedError("an earlier change of members is not committed yet")
        index = self._append(EntryKind.MEMBERSHIP, dict(members))
        self.members = self.log.members()
        self._send_round()
        return index

    # The follower

    def _on_append_entries(self, sender: str, append: AppendEntries) -> None:
        previous, entries = append.previous_index, append.entries
        if previous < self.snapshot.index:  # the entries that the snapshot covers are committed
            entries = entries[self.snapshot.index - previous :]
            previous = self.snapshot.index
        elif self.log.term_at(previous) != append.previous_term:
            start = min(previous, self.log.last_index + 1)
            retry = self.log.first_index_of_term(start, self.commit_index + 1)  # skips the whole other term
            self._send(sender, AppendReply(self.term, False, retry, append.round))
            return
        for entry in entries:
            self._put_from_leader(entry)
        self.members = self.log.members()
        matching = previous + len(entries)
        self.commit_index = max(self.commit_index, min(append.commit_index, matching))
        self._send(sender, AppendReply(self.term, True, matching, append.round))

    def _put_from_leader(self, entry: Entry) -> None:
        own_term = self.log.term_at(entry.index)
        if own_term == entry.term:
            return
        if entry.index <= self.commit_index:
            raise AssertionError(f"entry {entry.index} was decided in term {own_term}")
        self._put(entry)

    def _on_install_snapshot(self, sender: str, install: InstallSnapshot) -> None:
        snapshot = install.snapshot
        if snapshot.index > self.commit_index:
            keeps_entries = self.log.install(snapshot)
            self._records.append(SnapshotRecord(snapshot, keeps_entries))
            self.commit_index = snapshot.index
            self.persisted_index = self.log.last_index
            self.members = self.log.members()
        self._send(sender, AppendReply(self.term, True, snapshot.index, install.round))

    # Received messages

    def receive(self, now: int, sender: str, directory_id: str, message: Message) -> None:
        """Handles a message.

        A message from a directory other than the sender's current one is ignored.
        """
        self.now = max(self.now, now)
        info = self.members.get(sender)
        if info and info.directory_id != directory_id:
            return
        if is_restart_message(message):
            self._receive_restart_message(sender, directory_id, message)
            return
        self._observe(sender, directory_id, message)
        match message:
            case RequestVote():
                if not self.members or self._is_voter(sender):
                    self._on_request_vote(sender, message)
            case VoteReply():
                if info:
                    self._on_vote_reply(sender, message)
            case _:
                self._receive_in_term(sender, message)

    def _receive_restart_message(self, sender: str, directory_id: str, message: Message) -> None:
        match message:
            case StartQuery():
                reply, record = self.restart.answer(sender, directory_id, message)
                if record:
                    self._records.append(record)
                self._send(sender, reply)
            case StartReply():
                self.restart.on_reply(sender, message)

    def _observe(self, sender: str, directory_id: str, message: Message) -> None:
        """Notes what a message shows of its sender's term and log."""
        match message:
            case RequestVote():
                term = message.term - 1 if message.pre_vote else message.term
                last = LogPosition(message.last_term, message.last_index)
                self.restart.observe(sender, directory_id, term, last)
            case VoteReply():
                is_next_term = message.pre_vote and message.granted
                self.restart.observe(sender, directory_id, message.term - 1 if is_next_term else message.term)
            case AppendReply() if self.role == Role.LEADER and message.term == self.term:
                matching_term = self.log.term_at(message.index) if message.success else None
                last = NO_POSITION if matching_term is None else LogPosition(matching_term, message.index)
                self.restart.observe(sender, directory_id, message.term, last)
            case AppendEntries():
                last = LogPosition(message.previous_term, message.previous_index)
                if message.entries:
                    last = LogPosition(message.entries[-1].term, message.entries[-1].index)
                self.restart.observe(sender, directory_id, message.term, last)
            case InstallSnapshot():
                last = LogPosition(message.snapshot.term, message.snapshot.index)
                self.restart.observe(sender, directory_id, message.term, last)

    def _receive_in_term(
        self, sender: str, message: AppendEntries | InstallSnapshot | AppendReply | TimeoutNow
    ) -> None:
        from_leader = isinstance(message, AppendEntries | InstallSnapshot)
        if message.term < self.term:
            if from_leader:  # so that a former leader learns the current term
                reply = AppendReply(self.term, False, self.log.last_index + 1, message.round)
                self._send(sender, reply)
            return
        if from_leader:
            self._become_follower(message.term, sender)
            self.leader_heard_at = self.now
            self._reset_election_deadline()
        elif message.term > self.term:
            self._become_follower(message.term, None)
        match message:
            case AppendEntries():
                self._on_append_entries(sender, message)
            case InstallSnapshot():
                self._on_install_snapshot(sender, message)
            case AppendReply():
                self._on_append_reply(sender, message)
            case TimeoutNow() if message.term == self.term and self._may_vote():
                self._campaign(pre_vote=False, leadership_transfer=True)

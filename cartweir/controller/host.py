"""Runs one member of the log: its inputs, its disk and its peers.

Messages are sent after the disk holds the records that they depend on. Inputs that arrive during a write wait
for the next turn, so that one fsync serves all inputs that arrived during the one before.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import msgpack

from ..fleet.duties import LATE
from ..fleet.duty_manager import DutyManager, OwnershipTimeouts
from ..fleet.leader_contact import LeaderContact
from ..fleet.raft.log import EntryKind
from ..fleet.raft.member import Member, MemberId, Role
from ..fleet.raft.messages import Message
from ..fleet.raft.records import PersistentState
from ..hosting.clock import monotonic
from .directory import new_fleet_state
from .peers import Peer
from .settings import ControllerDocument
from .store import Store, StoreError

EventLogger = Callable[..., None]
LONGEST_SLEEP = 50_000  # microseconds between two turns without any input
RETRY_DELAY = 0.02  # seconds between two attempts to have a command decided
ELECTIONS_PER_CALL = 4  # election time-outs after which a forwarded command is sent again


class _PendingProposal(NamedTuple):
    """A proposal whose entry has not been applied yet."""

    term: int
    answer: asyncio.Future


class Host:
    """The host of one member.

    Attributes:
        on_committed: called after each turn in which entries may have been applied.
        on_failure: called with the error that ends `run`.
    """

    def __init__(
        self,
        document: ControllerDocument,
        store: Store,
        state: PersistentState,
        log_event: EventLogger,
        rng: random.Random,
    ) -> None:
        """Restores the member from `state`; `rng` draws the election time-outs."""
        self.document, self.store, self.log_event = document, store, log_event
        section = document.controller
        self.name, self.directory_id = section.name, store.identity["mark"]
        self.fleet = new_fleet_state(document)
        self.duty_manager = DutyManager(
            self.name, self.fleet, OwnershipTimeouts(section.absent, section.stuck)
        )
        self.member = Member(
            MemberId(self.name, self.directory_id), state, document.timing(), rng, monotonic()
        )
        self.peers: dict[str, Peer] = {}
        self.on_committed: Callable[[], None] = lambda: None
        self.on_failure: Callable[[Exception], None] = lambda error: None
        self._inbox: list[Callable[[], None]] = []
        self._has_work = asyncio.Event()
        self._pending: dict[int, _PendingProposal] = {}  # by the index of the entry
        self._restored_index = 0
        self._logged_state = (None, None, None)
        self.leader_contact = LeaderContact(section.agents_quiet)
        self._restore()

    # Inputs

    def schedule(self, work: Callable[[], None]) -> None:
        """Has a function called in the next turn."""
        self._inbox.append(work)
        self._has_work.set()

    def receive(self, sender: str, directory_id: str, messages: list[Message]) -> None:
        """Passes messages of another member on to this one."""

        def work() -> None:
            for message in messages:
                self.member.receive(monotonic(), sender, directory_id, message)

        self.schedule(work)

    async def propose(self, command: dict[str, Any], timeout: int) -> tuple[bool, Any]:
        """Proposes a command, if this member leads.

        Returns:
            Whether the command was decided, and its answer. (False, None): it was not taken, or its outcome
            is not known.
        """
        answer: asyncio.Future = asyncio.get_running_loop().create_future()

        def work() -> None:
            index = None if answer.done() else self.member.propose(msgpack.packb(command))
            if index is not None:
                self._pending[index] = _PendingProposal(self.member.term, answer)
            elif not answer.done():
                answer.set_result((False, None))

        self.schedule(work)
        try:
            async with asyncio.timeout(timeout / 1e6):
                return await answer
        except TimeoutError:
            return False, None

    async def command(self, make_command: Callable[[], dict[str, Any]], timeout: int) -> tuple[bool, Any]:
        """Has the leader decide a command, wherever it is; returns the same as `propose`.

        A command whose epoch ended on the way had no effect, so it is made anew and sent again.
        """
        end = monotonic() + timeout
        while (left := end - monotonic()) > 0:
            command, leader = make_command(), self.member.leader
            is_answered, answer = False, None
            if leader == self.name:
                is_answered, answer = await self.propose(command, left)
            elif leader is not None and (peer := self.peer(leader)):
                is_answered, answer = await peer.forward(
                    command, min(left, ELECTIONS_PER_CALL * self.document.controller.election)
                )
                is_answered = is_answered and answer is not None and answer[0]
                answer = answer[1] if is_answered else None
            if is_answered and answer != LATE:
                return True, answer
            await asyncio.sleep(RETRY_DELAY)
        return False, None

    def peer(self, name: str) -> Peer | None:
        """Returns the connection to a member; None if there is no member of that name."""
        row = self.member.members.get(name)
        address = self.document.routes.get(name) or (row.address if row else None)
        if address is None:
            return None
        peer = self.peers.get(name)
        if peer is None or peer.address != address:
            if peer is not None:
                peer.close()
            peer = self.peers[name] = Peer(address, self._sender_fields, self.document.controller.election)
        return peer

    def _sender_fields(self) -> dict[str, Any]:
        return {
            "cluster": self.document.controller.cluster,
            "sender": self.name,
            "mark": self.directory_id,
            "incarnation": self.fleet.incarnation,
        }

    # Turns

    async def run(self) -> None:
        """Runs the member until its directory cannot be used any more, which `on_failure` is told."""
        loop, member = asyncio.get_running_loop(), self.member
        while True:
            wait = min(max(0, member.next_tick_at - monotonic()), LONGEST_SLEEP)
            if not self._inbox:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait / 1e6):
                        await self._has_work.wait()
            self._has_work.clear()
            inbox, self._inbox = self._inbox, []
            for work in inbox:
                work()
            member.tick(monotonic())
            if member.stale_reason:
                self.on_failure(
                    StoreError(
                        f"{self.store.folder}: is older than the one this member used last "
                        f"({member.stale_reason}): put the newer one back, or join again with an empty "
                        "directory"
                    )
                )
                return
            ready = member.take_ready()
            if ready.records:
                try:
                    await loop.run_in_executor(None, self.store.save, ready.records)
                except Exception as error:
                    self.on_failure(error)
                    return
                member.persisted()
            for to, message in ready.envelopes:
                if peer := self.peer(to):
                    peer.send(message)
            self._apply()
            self._log_leader_change()

    def _apply(self) -> None:
        member = self.member
        if member.snapshot.index > max(self._restored_index, self.fleet.index):
            self._restore()
        for entry in member.take_committed():
            answer = None
            if entry.kind == EntryKind.COMMAND:
                answer = self.fleet.apply(entry.index, msgpack.unpackb(entry.data, strict_map_key=False))
                self.duty_manager.on_applied(monotonic())
            self.fleet.index = self._restored_index = entry.index
            if (pending := self._pending.pop(entry.index, None)) and not pending.answer.done():
                is_same_entry = pending.term == entry.term
                pending.answer.set_result((True, answer) if is_same_entry else (False, None))
        self.on_committed()
        if self.fleet.index - member.snapshot.index > self.document.controller.compact:
            member.compact(self.fleet.index, msgpack.packb(self.fleet.dump()))
            self._has_work.set()

    def _restore(self) -> None:
        snapshot = self.member.snapshot
        if snapshot.state:
            self.fleet.load(msgpack.unpackb(snapshot.state, strict_map_key=False))
        self.fleet.index = max(self.fleet.index, snapshot.index)
        self._restored_index = max(self._restored_index, snapshot.index)

    def _log_leader_change(self) -> None:
        member = self.member
        self.leader_contact.update(
            member.role == Role.LEADER, member.leader, member.leader_heard_at, monotonic()
        )
        now = (member.role, member.leader, member.term)
        if now != self._logged_state and (now[0] == Role.LEADER or now[1] != self._logged_state[1]):
            self.log_event(
                "leader" if now[1] else "no_leader", leader=now[1], term=now[2], index=member.commit_index
            )
        self._logged_state = now

    @property
    def responsive_members(self) -> list[str]:
        """The members to which duties may be granted.

        Only the leader knows them all; on another member, these are itself and the leader.
        """
        member = self.member
        if member.role == Role.LEADER:
            return member.responsive_voters(self.document.controller.absent)
        return [self.name, *([member.leader] if member.leader else [])]

    @property
    def has_leader(self) -> bool:
        """Whether this member is in contact with a leader, so that agents may listen here."""
        member = self.member
        peer = self.peer(member.leader) if member.leader and member.role != Role.LEADER else None
        return self.leader_contact.exists(
            member.role == Role.LEADER, peer.silent_since if peer else None, monotonic()
        )

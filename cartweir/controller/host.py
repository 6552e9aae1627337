"""The host of one member: its turns, its disk, its peers. What is to be told waits until the disk holds it, and what comes
meanwhile waits its turn, so that one fsync serves all that came during the one before."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

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
LONGEST = 50_000  # microseconds between two looks at the clock


class Host:
    """on_decided is called behind each turn in which something was decided; on_fault with the disk's own words."""

    def __init__(
        self,
        document: ControllerDocument,
        store: Store,
        kept: PersistentState,
        log_event: EventLogger,
        chance: random.Random,
    ) -> None:
        self.document, self.store, self.log_event = document, store, log_event
        section = document.controller
        self.name, self.mark = section.name, store.identity["mark"]
        self.fleet = new_fleet_state(document)
        self.duty_manager = DutyManager(
            self.name, self.fleet, OwnershipTimeouts(section.absent, section.stuck)
        )
        self.member = Member(MemberId(self.name, self.mark), kept, document.timing(), chance, monotonic())
        self.peers: dict[str, Peer] = {}
        self.on_committed: Callable[[], None] = lambda: None
        self.on_fault: Callable[[Exception], None] = lambda error: None
        self._inbox: list[Callable[[], None]] = []
        self._something = asyncio.Event()
        self._waiting: dict[int, tuple[int, asyncio.Future]] = {}
        self._restored = 0
        self._said = (None, None, None)
        self.leader_contact = LeaderContact(section.agents_quiet)
        self._restore()

    # ---- what comes in ----
    def soon(self, do: Callable[[], None]) -> None:
        self._inbox.append(do)
        self._something.set()

    def hear(self, sender: str, mark: str, messages: list[Message]) -> None:
        def do() -> None:
            for message in messages:
                self.member.receive(monotonic(), sender, mark, message)

        self.soon(do)

    async def propose(self, command: dict[str, Any], timeout: int) -> tuple[bool, Any]:
        """Here, if this member leads. (False, ...): it was not taken, or nothing is known of it."""
        done: asyncio.Future = asyncio.get_running_loop().create_future()

        def do() -> None:
            index = None if done.done() else self.member.propose(msgpack.packb(command))
            if index is not None:
                self._waiting[index] = (self.member.term, done)
            elif not done.done():
                done.set_result((False, None))

        self.soon(do)
        try:
            return await asyncio.wait_for(done, timeout / 1e6)
        except (asyncio.TimeoutError, TimeoutError):
            return False, None

    async def command(self, make: Callable[[], dict[str, Any]], timeout: int) -> tuple[bool, Any]:
        """By whoever leads. A command of an epoch that ended under way is made anew: it did nothing."""
        end = monotonic() + timeout
        while (left := end - monotonic()) > 0:
            command, leader = make(), self.member.leader
            answered, answer = False, None
            if leader == self.name:
                answered, answer = await self.propose(command, left)
            elif leader is not None and (peer := self.peer(leader)):
                answered, answer = await peer.act(command, min(left, 4 * self.document.controller.election))
                answered = answered and answer is not None and answer[0]
                answer = answer[1] if answered else None
            if answered and answer != LATE:
                return True, answer
            await asyncio.sleep(0.02)
        return False, None

    def peer(self, name: str) -> Peer | None:
        """None: no member of that name."""
        row = self.member.members.get(name)
        address = self.document.routes.get(name) or (row.address if row else None)
        if address is None:
            return None
        peer = self.peers.get(name)
        if peer is None or peer.address != address:
            if peer is not None:
                peer.close()
            peer = self.peers[name] = Peer(address, self._sign, self.document.controller.election)
        return peer

    def _sign(self) -> dict[str, Any]:
        return {
            "cluster": self.document.controller.cluster,
            "sender": self.name,
            "mark": self.mark,
            "incarnation": self.fleet.incarnation,
        }

    # ---- turns ----
    async def run(self) -> None:
        """Until the disk fails, which on_fault hears of."""
        loop, member = asyncio.get_running_loop(), self.member
        while True:
            wait = min(max(0, member.next_tick_at - monotonic()), LONGEST)
            if not self._inbox:
                try:
                    await asyncio.wait_for(self._something.wait(), wait / 1e6)
                except (asyncio.TimeoutError, TimeoutError):
                    pass
            self._something.clear()
            inbox, self._inbox = self._inbox, []
            for do in inbox:
                do()
            member.tick(monotonic())
            if member.stale_reason:
                self.on_fault(
                    StoreError(
                        f"{self.store.folder}: is older than the one this member used last ({member.stale_reason}): put "
                        "the newer one back, or join anew with an empty directory"
                    )
                )
                return
            ready = member.take_ready()
            if ready.records:
                try:
                    await loop.run_in_executor(None, self.store.save, ready.records)
                except Exception as error:
                    self.on_fault(error)
                    return
                member.persisted()
            for to, message in ready.envelopes:
                if peer := self.peer(to):
                    peer.say(message)
            self._apply()
            self._tell_change()

    def _apply(self) -> None:
        member = self.member
        if member.snapshot.index > max(self._restored, self.fleet.index):
            self._restore()
        for entry in member.take_committed():
            answer = None
            if entry.kind == EntryKind.COMMAND:
                answer = self.fleet.apply(entry.index, msgpack.unpackb(entry.data, strict_map_key=False))
                self.duty_manager.on_applied(monotonic())
            self.fleet.index = self._restored = entry.index
            if known := self._waiting.pop(entry.index, None):
                if not known[1].done():
                    known[1].set_result((True, answer) if known[0] == entry.term else (False, None))
        self.on_committed()
        if self.fleet.index - member.snapshot.index > self.document.controller.compact:
            member.compact(self.fleet.index, msgpack.packb(self.fleet.dump()))
            self._something.set()

    def _restore(self) -> None:
        snapshot = self.member.snapshot
        if snapshot.state:
            self.fleet.load(msgpack.unpackb(snapshot.state, strict_map_key=False))
        self.fleet.index = max(self.fleet.index, snapshot.index)
        self._restored = max(self._restored, snapshot.index)

    def _tell_change(self) -> None:
        member = self.member
        self.leader_contact.update(
            member.role == Role.LEADER, member.leader, member.leader_heard_at, monotonic()
        )
        now = (member.role, member.leader, member.term)
        if now != self._said and (now[0] == Role.LEADER or now[1] != self._said[1]):
            self.log_event(
                "leader" if now[1] else "no_leader", leader=now[1], term=now[2], index=member.commit_index
            )
        self._said = now

    @property
    def alive(self) -> list[str]:
        """Members that duties may be granted to, as the leader knows; elsewhere ourselves and whoever leads."""
        member = self.member
        if member.role == Role.LEADER:
            return member.responsive_voters(self.document.controller.absent)
        return [self.name, *([member.leader] if member.leader else [])]

    @property
    def has_leader(self) -> bool:
        """Whether agents do well to listen here."""
        member = self.member
        peer = self.peer(member.leader) if member.leader and member.role != Role.LEADER else None
        return self.leader_contact.exists(
            member.role == Role.LEADER, peer.silent_since if peer else None, monotonic()
        )

"""The deciding part: the one instance of the decisions, the news it needs, and the book. Carrying parts bring it what
happens to invocations; its wishes go back to whoever holds or carries them."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import IO, Any

from tornado.ioloop import IOLoop

from .. import interface as ours
from ..agent.control_plane import PersistentFence
from ..agent.daemon import (
    build_operations,
    journal_owner,
    make_control_plane_clients,
    session_limits,
    write_event,
)
from ..agent.key_journal_file import KeyJournalFile
from ..hosting.alarms import AlarmScheduler
from ..hosting.appliance_list import ListEntry
from ..hosting.clock import Clock, arrival_selector
from ..hosting.engine_host import EngineHost
from ..interface import Appliance, Dispatch, Invocation, Stage
from ..settings.schema import AgentDocument
from ..wire.connection import Tap
from ..wire.grpc import MalformedError
from . import pipe as say
from .dispatcher import OUTCOMES, SUCCEED, TERMINATE, THROTTLE, mark_of
from .division import Division, Share, binds, trusted
from .pipe import Pipe
from .shared_state import SharedState
from .snapshot import kept, put_back


class WorkerConnection:
    """One carrying part."""

    def __init__(self, number: int, pipe: Pipe, share: Share) -> None:
        self.number, self.pipe, self.share = number, pipe, share
        self.leaving = False  # it drains, and carries nothing new for others
        self.invocations: dict[int, Invocation] = {}  # that it holds, until nothing of them is out

    def tidy(self, invocation_id: int) -> None:
        """Forgotten once it is answered and nothing of it is out."""
        invocation = self.invocations.get(invocation_id)
        if (
            invocation is not None
            and invocation.concluded
            and all(d.result is not None for d in invocation.dispatches)
        ):
            del self.invocations[invocation_id]


class RemoteCall:
    """In place of a client's call: the part that holds it is told the answer."""

    __slots__ = ("member", "id", "answer", "given")

    def __init__(self, member: WorkerConnection, invocation_id: int) -> None:
        self.member, self.id = member, invocation_id
        self.answer = 0  # number of the dispatch whose answer it is to be
        self.given = False  # the part has passed it on already

    def _say(self, how: int, figure: int) -> None:
        self.member.pipe.send([say.ANSWER, self.id, how, figure])
        IOLoop.current().add_callback(self.member.tidy, self.id)

    def succeed(self, *answer: Any) -> None:
        if not self.given:
            self._say(SUCCEED, self.answer)

    def throttle(self, retry_after: int) -> None:
        self._say(THROTTLE, retry_after)

    def terminate(self) -> None:
        self._say(TERMINATE, 0)


class RemoteAttempt:
    """In place of an attempt."""

    __slots__ = ("call", "dispatch", "share")

    def __init__(self, call: RemoteCall, dispatch: Dispatch, share: Share) -> None:
        self.call, self.dispatch, self.share = call, dispatch, share

    def abandon(self, late: bool) -> None:
        self.call.member.pipe.send([say.CANCEL, self.dispatch.invocation.id, self.dispatch.number, late])


class DeciderEngineHost(EngineHost):
    """A EngineHost that lets the carrying parts know of stages and lists, and the book of what must not be forgotten."""

    def __init__(self, decider: Decider, settings: Mapping[str, Any], seed: int) -> None:
        self.decider = decider
        super().__init__(decider, settings, seed)

    def apply_list(self, how: str, rows: Iterable[ListEntry] = (), waited: int | None = 0) -> list[Appliance]:
        rows = list(rows)
        for row in rows:
            self.decider.rows[row.id] = row
        changed = super().apply_list(how, rows, waited)
        for row in rows:
            self.decider.marks[self.appliance_list.appliances[row.id]] = mark_of(row)
        self.decider.tell_rows(how, rows, changed)
        return changed

    def apply_stage(self, stage: Stage) -> None:
        super().apply_stage(stage)
        self.decider.tell_stage(stage)

    def dispatch_ended(self, dispatch: Dispatch, how: str, *facts: Any, **more: Any) -> None:
        attempt = self.attempts.get(dispatch)
        super().dispatch_ended(dispatch, how, *facts, **more)
        if attempt is not None:
            attempt.share.out -= 1
            attempt.call.member.tidy(dispatch.invocation.id)


class Decider:
    """A World, and owner of the pipes. files: of the book, in which the deciding part before wrote. facts: the lock of the agent's
    own file, which outlives the agent as the book does not."""

    def __init__(
        self,
        document: AgentDocument,
        log: Any,
        files: tuple[int, int, int],
        life: int,
        tap: Tap | None = None,
        facts: IO[str] | None = None,
    ) -> None:
        self.document, self.log = document, log
        agent = document.agent
        self.loop = IOLoop.current()
        self.clock = Clock(agent.heartbeat, arrival_selector(asyncio.get_running_loop()))
        seed = secrets.randbits(63) if agent.seed is None else agent.seed * 1000 + life
        self.chance = random.Random(seed)
        self.alarms = AlarmScheduler(self.loop, self.clock.now, lambda: self.engine_host.run_timers())
        self.book = SharedState(files)
        self.members: dict[int, WorkerConnection] = {}
        self.division = Division(document.agent.cores, document.appliances.connections)
        self.rows: dict[str, ListEntry] = {}
        self.marks: dict[Appliance, str] = {}
        self.addresses: dict[str, str] = {}
        self._to_say: list[Callable[[], None]] = []
        self._short = False  # the book has no room for all evidence
        self.registry = None
        operations = build_operations(document)
        self._index = {operation: at for at, operation in enumerate(operations)}
        settings = {**document.decision_settings(), "operations": operations}
        self.engine_host = DeciderEngineHost(self, settings, seed)
        self.operations = operations
        stage_fence = PersistentFence(agent.stage_file, self.log_event)
        self.key_journal: KeyJournalFile | None = None
        if agent.facts_file is not None:
            self.key_journal = KeyJournalFile(
                agent.facts_file,
                journal_owner(document),
                stage_fence.fence.seen,
                self.log_event,
                agent.facts_most,
                facts,
            )
            stage_fence.on_follow = self.key_journal.record_decision
            if (
                self.book.state.get("stage") is None
            ):  # the agent's first: what came before it is known by the file alone
                self.engine_host.restore(self.key_journal.recalled)
        self._restore()
        self.registry, self.conveyor, self.peers = make_control_plane_clients(
            document,
            self.engine_host,
            self,
            self.clock.now,
            self.log_event,
            self.chance,
            session_limits(document),
            tap,
            stage_fence,
        )

    def _restore(self) -> None:
        """What the one before wrote down."""
        book, agent, now = self.book, self.engine_host.engine.agent, self.clock.now()
        sends = trusted(
            book.exposures(), now, self.engine_host.settings["window"] + 2 * self.engine_host.settings["tick"]
        )
        for when, operation in sends:
            agent.exposure_budgets[self.operations[operation]].sends.append([when, 0])
        if (told := book.state.get("stage")) is not None:
            build, number, phase, cap, since = told
            agent.bound_keys_incomplete = book.state.get("forgot", False)
            self.engine_host.apply_stage(Stage(build, number, phase, cap, max(0, now - since)))
            agent.bound_keys = book.keys()
            put_back(agent, self.operations, book.state.get("mind", {}))
            if (vote := book.state.get("vote")) is not None and tuple(vote[:2]) == (build, number):
                agent.current_vote = tuple(vote)
            self.log_event(
                "restored", exposures=len(sends), keys=len(agent.bound_keys), build=build, stage=number
            )

    # ---- its life ----
    def start_up(self) -> None:
        self.registry.start()
        for act in self._to_say:
            act()
        self.conveyor.start()
        self._beat()
        self.log_event("deciding")

    def _beat(self) -> None:
        stalled = self.clock.measure_stall()
        if stalled:
            self.log_event("stalled", level="warning", milliseconds=stalled // 1000)
        for member in self.members.values():
            member.pipe.send([say.PULSE])
        self._keep()
        self.loop.call_later(self.clock.heartbeat / 1e6, self._beat)

    def _keep(self) -> None:
        """Evidence since the last beat is lost with this process; votes are written down as they are cast."""
        mind = kept(self.engine_host.engine.agent, self.operations)
        if mind != self.book.state.get("mind"):
            try:
                self.book.put(mind=mind)
            except ValueError as error:
                self.book.put(mind={**mind, "judges": [], "times": []})
                if not self._short:
                    self._short = True
                    self.log_event("book_short", level="warning", why=str(error))

    def meet(self, number: int, sock: Any) -> None:
        """A carrying part, old or new."""
        if number in self.members:
            self._lost(self.members[number])
        member = WorkerConnection(number, None, self.division.joined(number, self.clock.now()))
        member.pipe = Pipe(sock, partial(self._heard, member), partial(self._lost, member))
        self.members[number] = member

    def _lost(self, member: WorkerConnection) -> None:
        """A part that has gone owes nothing; what it had out may have run, and stays counted."""
        if self.members.get(member.number) is not member:
            return
        del self.members[member.number]
        self.division.lost(member.number)
        member.pipe.close()
        self.log_event(
            "part_lost",
            level="info" if member.leaving else "warning",
            lost=member.number,
            held=len(member.invocations),
        )
        for invocation in list(member.invocations.values()):
            self.engine_host.client_left(invocation)
            for dispatch in invocation.dispatches:
                if dispatch.result is None:
                    self._bound(member, invocation.key, dispatch.appliance.build)
                    self.engine_host.dispatch_ended(dispatch, ours.CANCELLED)

    # ---- what parts say ----
    def _heard(self, member: WorkerConnection, message: list) -> None:
        member.share.heard = self.clock.now()
        self._NEWS[message[0]](self, member, *message[1:])

    def _hello(self, member: WorkerConnection, number: int) -> None:
        whole = [self._row(row) for row in self.rows.values() if row.state != ours.GONE]
        if whole:
            member.pipe.send([say.ROWS, "whole", whole])
        if (stage := self.engine_host.engine.agent.stage) is not None:
            member.pipe.send(self._stage_message(stage))
        member.pipe.send([say.PULSE])

    def _take(self, member: WorkerConnection, invocation_id: int, operation: int, *facts: Any) -> None:
        act = partial(self._taken, member, invocation_id, self.operations[operation], *facts)
        if self.engine_host.settings["one_way"] and facts[3]:
            # behind whatever other parts had said of the key before its client could know: that is read a turn later
            self.loop.add_callback(self.loop.add_callback, act)
        else:
            act()

    def _taken(
        self,
        member: WorkerConnection,
        invocation_id: int,
        operation: Any,
        arrived: int,
        limit: int,
        customer: str,
        key: str | None,
        hint: int,
        retry: bool,
        write: bool,
    ) -> None:
        if self.members.get(member.number) is not member or invocation_id in member.invocations:
            return
        member.invocations[invocation_id] = self.engine_host.accept(
            RemoteCall(member, invocation_id),
            operation,
            arrived,
            limit,
            invocation_id=invocation_id,
            customer=customer,
            key=key,
            work_hint=hint,
            retry=retry,
            write=write,
        )
        member.tidy(invocation_id)

    def _left(self, member: WorkerConnection, invocation_id: int) -> None:
        invocation = member.invocations.get(invocation_id)
        if invocation is not None:
            self.engine_host.client_left(invocation)
            member.tidy(invocation_id)

    def _ended(
        self,
        member: WorkerConnection,
        invocation_id: int,
        number: int,
        how: int,
        load: dict | None,
        passed: bool,
        lag: int,
        given: bool,
    ) -> None:
        invocation = member.invocations.get(invocation_id)
        if invocation is None or number >= len(invocation.dispatches):
            return
        dispatch = invocation.dispatches[number]
        call, name = self.engine_host.calls.get(invocation), OUTCOMES[how]
        if call is not None:
            call.answer, call.given = number, given
        self.engine_host.lag = lag
        self.engine_host.dispatch_ended(
            dispatch, name, load, ((), [], ()) if name == ours.SUCCEEDED else None, passed
        )
        self.engine_host.lag = 0
        member.tidy(invocation_id)

    def _begun(self, member: WorkerConnection, invocation_id: int) -> None:
        invocation = member.invocations.get(invocation_id)
        if invocation is not None:
            invocation.streaming = True

    def _may(self, member: WorkerConnection, invocation_id: int, number: int) -> None:
        """A grant was not used in time; it counts from now, if it may still go."""
        invocation, goes = member.invocations.get(invocation_id), False
        if invocation is not None and number < len(invocation.dispatches):
            dispatch = invocation.dispatches[number]
            goes = self.engine_host.may_send(dispatch) and self._booked(dispatch)
        member.pipe.send([say.MAY_GO, invocation_id, number, goes, self.engine_host.engine.now])

    def _probed(self, member: WorkerConnection, mark: str | None, answered: bool, took: int, load: dict | None) -> None:
        appliance = next(
            (a for a in self.engine_host.appliance_list.appliances.values() if self.marks.get(a) == mark),
            None,
        )
        if appliance is not None:
            self.engine_host.probe_ended(appliance, answered, took, load)

    def _told(self, member: WorkerConnection, message: bytes) -> None:
        try:
            self.peers.handle_message(message)
        except MalformedError as error:
            self.log_event("message_bad", level="debug", why=str(error))

    def _bound(self, member: WorkerConnection, key: str | None, build: int) -> None:
        agent = self.engine_host.engine.agent
        if binds(self.engine_host.settings, agent.stage, key, build):
            agent.bound_keys[key] = max(build, agent.bound_keys.get(key, 0))
            self._write_down(key, build)

    def _member_beat(self, member: WorkerConnection, leaving: bool) -> None:
        if leaving and not member.leaving:
            member.leaving = True
            self.division.lost(member.number)

    _NEWS: dict[int, Callable[..., None]] = {
        say.HELLO: _hello,
        say.TAKE: _take,
        say.LEFT: _left,
        say.ENDED: _ended,
        say.BEGUN: _begun,
        say.MAY: _may,
        say.PROBED: _probed,
        say.TOLD: _told,
        say.BOUND: _bound,
        say.BEAT: _member_beat,
    }

    # ---- what parts are told ----
    def _row(self, row: ListEntry) -> list:
        return [
            row.id,
            row.build,
            row.run,
            row.started,
            row.state,
            row.zone,
            row.cell,
            row.kind,
            row.weight,
            self.addresses.get(row.id, ""),
        ]

    def tell_rows(self, how: str, rows: list[ListEntry], changed: list[Appliance]) -> None:
        for appliance in changed:
            if appliance.state == ours.GONE:
                self.marks.pop(appliance, None)
                if self.engine_host.appliance_list.appliances.get(appliance.id) is appliance:
                    self.rows.pop(appliance.id, None)
        if how in (ours.DELTA, ours.SNAPSHOT, ours.CACHED):
            text = [
                say.ROWS,
                ours.DELTA if how == ours.DELTA else ours.SNAPSHOT,
                [self._row(row) for row in rows],
            ]
            for member in self.members.values():
                member.pipe.send(text)

    def _stage_message(self, stage: Stage) -> list:
        return [
            say.STAGE,
            stage.build,
            stage.number,
            stage.phase,
            max(0, self.clock.now() - self.engine_host.engine.agent.stage_since),
        ]

    def tell_stage(self, told: Stage) -> None:
        agent = self.engine_host.engine.agent
        stage = agent.stage
        if stage is not told:  # a vote's refusal brings no news
            return
        state = [stage.build, stage.number, stage.phase, stage.cap, agent.stage_since]
        if self.book.state.get("stage") != state:
            if (self.book.state.get("stage") or [None])[0] != stage.build:
                self.book.keep_keys(agent.bound_keys.items())
            self.book.put(stage=state, forgot=agent.bound_keys_incomplete)
            for member in self.members.values():
                member.pipe.send(self._stage_message(stage))

    # ---- the book ----
    def _booked(self, dispatch: Dispatch) -> bool:
        """A dispatch that counts, or may bind its key, is written down before anybody is told of it. False: the book has
        no room."""
        key, build = dispatch.invocation.key, dispatch.appliance.build
        if binds(self.engine_host.settings, self.engine_host.engine.agent.stage, key, build):
            self._write_down(key, build)
        if dispatch.decision_state is not None:
            when = dispatch.decision_state[0]
            if (
                self.book.full_since()
                > when - self.engine_host.settings["window"] - 2 * self.engine_host.settings["tick"]
            ):
                return False
            self.book.exposed(when, self._index[dispatch.invocation.operation])
        return True

    def _write_down(self, key: str, build: int) -> None:
        """For the next deciding part, and for the agent's next life."""
        self.book.bound(key, build)
        if self.key_journal is not None:
            self.key_journal.record_binding(key, build)

    # ---- the World ----
    def now(self) -> int:
        return self.clock.now()

    def schedule_alarm(self, due: int) -> None:
        self.alarms.schedule(due)

    def run_soon(self, do: Callable[[], None]) -> None:
        self.loop.add_callback(do)

    def start(self, dispatch: Dispatch, call: RemoteCall) -> RemoteAttempt:
        invocation, member = dispatch.invocation, call.member
        carrier = self.division.carrier(member.share, dispatch.appliance.id, self.clock.now())
        carrier.out += 1
        if self._booked(dispatch):
            member.pipe.send(
                [
                    say.DISPATCH,
                    invocation.id,
                    dispatch.number,
                    self.marks.get(dispatch.appliance, ""),
                    dispatch.timeout,
                    self.engine_host.engine.now,
                    carrier.number,
                ]
            )
        else:
            self.log_event("book_full", level="error")
            self.loop.add_callback(self.engine_host.dispatch_ended, dispatch, ours.OBSOLETE)
        return RemoteAttempt(call, dispatch, carrier)

    def probe(self, appliance: Appliance) -> None:
        share = self.division.prober(appliance.id, self.clock.now())
        if share is not None and share.number in self.members:
            self.members[share.number].pipe.send([say.PROBE, self.marks.get(appliance, "")])

    def vote(self, build: int, stage: int, verdict: str) -> None:
        self.book.put(vote=[build, stage, verdict])
        self.conveyor.vote(build, stage, verdict)

    def subscribe(self) -> None:
        if self.registry is None:
            self._to_say.append(self.subscribe)
        else:
            self.registry.subscribe()

    def fetch_list(self) -> None:
        self.registry.fetch()

    def message(self, to: int | None, figures: list[int]) -> None:
        self.peers.message(to, figures)

    def log_event(self, event: str, level: str = "info", **facts: Any) -> None:
        write_event(self.log, event, level, **facts)

    # ---- as the registry's Links ----
    def retire_gone(self, changed: list[Appliance]) -> None: ...

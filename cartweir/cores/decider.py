"""The decider: runs the decisions for all workers of one agent, with registry, conveyor and shared state.

Workers report what happens to invocations; actions of the decisions go to the worker that owns the call.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import IO, Any, ClassVar, NamedTuple

from tornado.ioloop import IOLoop

from .. import interface as ours
from ..agent.control_plane import PersistentFence
from ..agent.daemon import (
    ControlPlaneUser,
    build_operations,
    journal_owner,
    make_control_plane_clients,
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
from . import messages
from .assignment import WorkerAssignment, WorkerLoad
from .dispatcher import OUTCOMES, instance_id
from .grants import exposures_in_window, may_bind_key
from .messages import DispatchOrder, DispatchReport, InvocationMessage
from .pipe import Message, Pipe
from .shared_state import SharedState
from .snapshot import restore_snapshot, take_snapshot

SEED_STRIDE = 1000  # each generation of the decider draws other random numbers from the agent's seed
SEED_BITS = 63  # of a seed where the settings name none


class WorkerConnection:
    """One worker as the decider sees it.

    Attributes:
        number: Number of the worker.
        pipe: The connection to it.
        load: What is known of its load.
        draining: Whether it drains and sends nothing new for other workers.
        invocations: Invocations that it owns, until all their dispatches have ended.
    """

    def __init__(self, number: int, pipe: Pipe, load: WorkerLoad) -> None:
        self.number, self.pipe, self.load = number, pipe, load
        self.draining = False
        self.invocations: dict[int, Invocation] = {}

    def forget_if_done(self, invocation_id: int) -> None:
        """Forgets an invocation once it is answered and all its dispatches have ended."""
        invocation = self.invocations.get(invocation_id)
        if (
            invocation is not None
            and invocation.concluded
            and all(d.result is not None for d in invocation.dispatches)
        ):
            del self.invocations[invocation_id]


class RemoteCall:
    """Stands for a client's call: sends its answer to the worker that owns the call.

    Attributes:
        worker: The owner of the call.
        invocation_id: Number of the invocation.
        answer_dispatch: Number of the dispatch whose answer the client is to get.
        answered: Whether the worker has passed that answer on already.
    """

    __slots__ = ("answer_dispatch", "answered", "invocation_id", "worker")

    def __init__(self, worker: WorkerConnection, invocation_id: int) -> None:
        self.worker, self.invocation_id = worker, invocation_id
        self.answer_dispatch = 0
        self.answered = False

    def _send(self, answer: int, figure: int) -> None:
        self.worker.pipe.send([messages.ANSWER, self.invocation_id, answer, figure])
        IOLoop.current().add_callback(self.worker.forget_if_done, self.invocation_id)

    def succeed(self, *answer: Any) -> None:
        """Lets the worker pass on the answer of the dispatch."""
        if not self.answered:
            self._send(messages.SUCCEED, self.answer_dispatch)

    def throttle(self, retry_after: int) -> None:
        """Lets the worker refuse the call; `retry_after` is in microseconds."""
        self._send(messages.THROTTLE, retry_after)

    def terminate(self) -> None:
        """Lets the worker end the call without a promise."""
        self._send(messages.TERMINATE, 0)


class RemoteAttempt:
    """Stands for an attempt at an appliance, which a worker makes."""

    __slots__ = ("call", "dispatch", "load")

    def __init__(self, call: RemoteCall, dispatch: Dispatch, load: WorkerLoad) -> None:
        self.call, self.dispatch, self.load = call, dispatch, load

    def abandon(self, late: bool) -> None:
        """Lets the owner of the call cancel the dispatch; `late` says that its time is up."""
        dispatch = self.dispatch
        self.call.worker.pipe.send([messages.CANCEL, dispatch.invocation.id, dispatch.number, late])


class DeciderEngineHost(EngineHost):
    """Hosts the decisions and passes lists and stages on to the workers."""

    def __init__(self, decider: Decider, settings: Mapping[str, Any], seed: int) -> None:
        self.decider = decider
        super().__init__(decider, settings, seed)

    def apply_list(
        self,
        how: str,
        rows: Iterable[ListEntry] = (),
        waited: int | None = 0,
        confirms: bool = True,
    ) -> list[Appliance]:
        """Applies the registry's list and sends it to the workers."""
        rows = list(rows)
        for row in rows:
            self.decider.rows[row.id] = row
        changed = super().apply_list(how, rows, waited, confirms)
        for row in rows:
            self.decider.instances[self.appliance_list.appliances[row.id]] = instance_id(row)
        self.decider.send_list(how, rows, changed)
        return changed

    def apply_stage(self, stage: Stage) -> None:
        """Applies a stage from the conveyor and sends it to the workers."""
        super().apply_stage(stage)
        self.decider.send_stage(stage)

    def dispatch_ended(self, dispatch: Dispatch, how: str, *facts: Any, **more: Any) -> None:
        """Applies the end of a dispatch and takes it off its sender's load."""
        attempt = self.attempts.get(dispatch)
        super().dispatch_ended(dispatch, how, *facts, **more)
        if attempt is not None:
            attempt.load.open_dispatches -= 1
            attempt.call.worker.forget_if_done(dispatch.invocation.id)


class DeciderFiles(NamedTuple):
    """Files of a decider.

    Attributes:
        shared_state: Descriptors of the state that the decider before wrote.
        tap: Records the traffic on the sockets.
        facts_lock: Lock on the agent's file of bound keys, which outlives the agent; the shared state does
            not.
    """

    shared_state: tuple[int, int, int]
    tap: Tap | None = None
    facts_lock: IO[str] | None = None


class Decider:
    """Hosts the decisions of an agent on several cores and owns the pipes to its workers.

    Args:
        document: The agent's settings.
        log: The agent's log.
        generation: How often the decider has been started, from 1.
        files: Its files.
    """

    def __init__(self, document: AgentDocument, log: Any, generation: int, files: DeciderFiles) -> None:
        self.document, self.log = document, log
        agent = document.agent
        self.loop = IOLoop.current()
        self.clock = Clock(agent.heartbeat, arrival_selector(asyncio.get_running_loop()))
        seed = secrets.randbits(SEED_BITS) if agent.seed is None else agent.seed * SEED_STRIDE + generation
        self.chance = random.Random(seed)
        self.alarms = AlarmScheduler(self.loop, self.clock.now, self._run_decision_timers)
        self.shared_state = SharedState(files.shared_state)
        self.workers: dict[int, WorkerConnection] = {}
        self.assignment = WorkerAssignment(document.agent.cores, document.appliances.connections)
        self.rows: dict[str, ListEntry] = {}
        self.instances: dict[Appliance, str] = {}
        self.addresses: dict[str, str] = {}
        self._deferred: list[Callable[[], None]] = []  # actions from before the registry client exists
        self._snapshot_truncated = False  # the shared state has no room for all evidence
        self.registry = None
        operations = build_operations(document)
        self._operation_index = {operation: place for place, operation in enumerate(operations)}
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
                files.facts_lock,
            )
            stage_fence.on_follow = self.key_journal.record_decision
            # the agent's first decider: only the file knows what came before it
            if self.shared_state.state.get("stage") is None:
                self.engine_host.restore(self.key_journal.recalled)
        self._restore()
        self.registry, self.conveyor, self.peers = make_control_plane_clients(
            document,
            ControlPlaneUser(
                self.engine_host,
                self,
                self.clock.now,
                self.log_event,
                self.chance,
                files.tap,
                stage_fence,
            ),
        )

    def _restore(self) -> None:
        """Restores what the decider before wrote into the shared state."""
        shared, agent, now = self.shared_state, self.engine_host.engine.agent, self.clock.now()
        window = self.engine_host.settings["window"] + 2 * self.engine_host.settings["tick"]
        exposures = exposures_in_window(shared.exposures(), now, window)
        for when, operation in exposures:
            agent.exposure_budgets[self.operations[operation]].sends.append([when, 0])
        if (recorded := shared.state.get("stage")) is not None:
            build, number, phase, cap, since = recorded
            agent.bound_keys_incomplete = shared.state.get("forgot", False)
            self.engine_host.apply_stage(Stage(build, number, phase, cap, max(0, now - since)))
            agent.bound_keys = shared.bound_keys()
            restore_snapshot(agent, self.operations, shared.state.get("mind", {}))
            if (vote := shared.state.get("vote")) is not None and tuple(vote[:2]) == (build, number):
                agent.current_vote = tuple(vote)
            self.log_event(
                "restored", exposures=len(exposures), keys=len(agent.bound_keys), build=build, stage=number
            )

    def _run_decision_timers(self) -> None:
        self.engine_host.run_timers()

    # ---- start and heartbeat ----
    def start_up(self) -> None:
        """Connects to the registry and the conveyor."""
        self.registry.start()
        for act in self._deferred:
            act()
        self.conveyor.start()
        self._heartbeat()
        self.log_event("deciding")

    def _heartbeat(self) -> None:
        stalled = self.clock.measure_stall()
        if stalled:
            self.log_event("stalled", level="warning", milliseconds=stalled // 1000)
        for worker in self.workers.values():
            worker.pipe.send([messages.DECIDER_HEARTBEAT])
        self._save_snapshot()
        self.loop.call_later(self.clock.heartbeat / 1e6, self._heartbeat)

    def _save_snapshot(self) -> None:
        """Writes the evidence; what came since the last heartbeat is lost with this process.

        Votes are written when they are cast.
        """
        snapshot = take_snapshot(self.engine_host.engine.agent, self.operations)
        if snapshot != self.shared_state.state.get("mind"):
            try:
                self.shared_state.put(mind=snapshot)
            except ValueError as error:
                self.shared_state.put(mind={**snapshot, "judges": [], "times": []})
                if not self._snapshot_truncated:
                    self._snapshot_truncated = True
                    self.log_event("book_short", level="warning", why=str(error))

    # ---- workers ----
    def connect_worker(self, number: int, sock: Any) -> None:
        """Takes up the connection to a worker, in place of the one before."""
        if number in self.workers:
            self._on_worker_lost(self.workers[number])
        worker = WorkerConnection(number, None, self.assignment.add_worker(number, self.clock.now()))
        worker.pipe = Pipe(sock, partial(self._on_message, worker), partial(self._on_worker_lost, worker))
        self.workers[number] = worker

    def _on_worker_lost(self, worker: WorkerConnection) -> None:
        """Gives up the calls of a worker that has ended.

        Its open dispatches may have run and stay counted.
        """
        if self.workers.get(worker.number) is not worker:
            return
        del self.workers[worker.number]
        self.assignment.remove_worker(worker.number)
        worker.pipe.close()
        self.log_event(
            "part_lost",
            level="info" if worker.draining else "warning",
            lost=worker.number,
            held=len(worker.invocations),
        )
        for invocation in list(worker.invocations.values()):
            self.engine_host.client_left(invocation)
            for dispatch in invocation.dispatches:
                if dispatch.result is None:
                    self._on_key_bound(worker, invocation.key, dispatch.appliance.build)
                    self.engine_host.dispatch_ended(dispatch, ours.CANCELLED)

    # ---- messages from workers ----
    def _on_message(self, worker: WorkerConnection, message: Message) -> None:
        worker.load.last_heard = self.clock.now()
        self._HANDLERS[message[0]](self, worker, *message[1:])

    def _on_hello(self, worker: WorkerConnection, number: int) -> None:
        rows = [self._row_message(row) for row in self.rows.values() if row.state != ours.GONE]
        if rows:
            worker.pipe.send([messages.APPLIANCE_LIST, "whole", rows])
        if (stage := self.engine_host.engine.agent.stage) is not None:
            worker.pipe.send(self._stage_message(stage))
        worker.pipe.send([messages.DECIDER_HEARTBEAT])

    def _on_invocation(self, worker: WorkerConnection, *fields: Any) -> None:
        message = InvocationMessage(*fields)
        take = partial(self._take, worker, message)
        if self.engine_host.settings["one_way"] and message.key:
            # two turns later: by then the decider has read every report on the key that a worker had sent
            # before the client could know of the answer
            self.loop.add_callback(self.loop.add_callback, take)
        else:
            take()

    def _take(self, worker: WorkerConnection, message: InvocationMessage) -> None:
        if self.workers.get(worker.number) is not worker or message.invocation in worker.invocations:
            return
        worker.invocations[message.invocation] = self.engine_host.accept(
            RemoteCall(worker, message.invocation),
            self.operations[message.operation],
            message.arrived,
            message.limit,
            invocation_id=message.invocation,
            customer=message.customer,
            key=message.key,
            work_hint=message.hint,
            retry=message.retry,
            write=message.write,
        )
        worker.forget_if_done(message.invocation)

    def _on_withdraw(self, worker: WorkerConnection, invocation_id: int) -> None:
        invocation = worker.invocations.get(invocation_id)
        if invocation is not None:
            self.engine_host.client_left(invocation)
            worker.forget_if_done(invocation_id)

    def _on_dispatch_ended(self, worker: WorkerConnection, *fields: Any) -> None:
        report = DispatchReport(*fields)
        invocation = worker.invocations.get(report.invocation)
        if invocation is None or report.number >= len(invocation.dispatches):
            return
        dispatch = invocation.dispatches[report.number]
        call, outcome = self.engine_host.calls.get(invocation), OUTCOMES[report.outcome]
        if call is not None:
            call.answer_dispatch, call.answered = report.number, report.answered
        self.engine_host.lag = report.lag
        answer = ((), [], ()) if outcome == ours.SUCCEEDED else None
        self.engine_host.dispatch_ended(dispatch, outcome, report.load, answer, report.passed)
        self.engine_host.lag = 0
        worker.forget_if_done(report.invocation)

    def _on_stream_started(self, worker: WorkerConnection, invocation_id: int) -> None:
        invocation = worker.invocations.get(invocation_id)
        if invocation is not None:
            invocation.streaming = True

    def _on_renew_grant(self, worker: WorkerConnection, invocation_id: int, number: int) -> None:
        """Renews a grant that was not used in time: the dispatch counts from now, if it may still be sent."""
        invocation, may_send = worker.invocations.get(invocation_id), False
        if invocation is not None and number < len(invocation.dispatches):
            dispatch = invocation.dispatches[number]
            may_send = self.engine_host.may_send(dispatch) and self._record_dispatch(dispatch)
        worker.pipe.send(
            [messages.GRANT_RENEWED, invocation_id, number, may_send, self.engine_host.engine.now]
        )

    def _on_probe_result(
        self, worker: WorkerConnection, instance: str | None, answered: bool, took: int, load: dict | None
    ) -> None:
        appliance = next(
            (
                listed
                for listed in self.engine_host.appliance_list.appliances.values()
                if self.instances.get(listed) == instance
            ),
            None,
        )
        if appliance is not None:
            self.engine_host.probe_ended(appliance, answered, took, load)

    def _on_peer_message(self, worker: WorkerConnection, message: bytes) -> None:
        try:
            self.peers.handle_message(message)
        except MalformedError as error:
            self.log_event("message_bad", level="debug", why=str(error))

    def _on_key_bound(self, worker: WorkerConnection, key: str | None, build: int) -> None:
        agent = self.engine_host.engine.agent
        if may_bind_key(self.engine_host.settings, agent.stage, key, build):
            agent.bound_keys[key] = max(build, agent.bound_keys.get(key, 0))
            self._record_key(key, build)

    def _on_heartbeat(self, worker: WorkerConnection, draining: bool) -> None:
        if draining and not worker.draining:
            worker.draining = True
            self.assignment.remove_worker(worker.number)

    _HANDLERS: ClassVar[dict[int, Callable[..., None]]] = {
        messages.HELLO: _on_hello,
        messages.INVOCATION: _on_invocation,
        messages.WITHDRAW: _on_withdraw,
        messages.DISPATCH_ENDED: _on_dispatch_ended,
        messages.STREAM_STARTED: _on_stream_started,
        messages.RENEW_GRANT: _on_renew_grant,
        messages.PROBE_RESULT: _on_probe_result,
        messages.PEER_MESSAGE: _on_peer_message,
        messages.KEY_BOUND: _on_key_bound,
        messages.HEARTBEAT: _on_heartbeat,
    }

    # ---- messages to workers ----
    def _row_message(self, row: ListEntry) -> list[Any]:
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

    def send_list(self, how: str, rows: list[ListEntry], changed: list[Appliance]) -> None:
        """Sends the workers a list or the changes of one, and forgets appliances that are gone."""
        for appliance in changed:
            if appliance.state == ours.GONE:
                self.instances.pop(appliance, None)
                if self.engine_host.appliance_list.appliances.get(appliance.id) is appliance:
                    self.rows.pop(appliance.id, None)
        if how in (ours.DELTA, ours.SNAPSHOT, ours.CACHED):
            message = [
                messages.APPLIANCE_LIST,
                ours.DELTA if how == ours.DELTA else ours.SNAPSHOT,
                [self._row_message(row) for row in rows],
            ]
            for worker in self.workers.values():
                worker.pipe.send(message)

    def _stage_message(self, stage: Stage) -> Message:
        return [
            messages.STAGE,
            stage.build,
            stage.number,
            stage.phase,
            max(0, self.clock.now() - self.engine_host.engine.agent.stage_since),
        ]

    def send_stage(self, received: Stage) -> None:
        """Records a new stage and sends it to the workers."""
        agent = self.engine_host.engine.agent
        stage = agent.stage
        if stage is not received:  # a refused vote brings no new stage
            return
        state = [stage.build, stage.number, stage.phase, stage.cap, agent.stage_since]
        if self.shared_state.state.get("stage") != state:
            if (self.shared_state.state.get("stage") or [None])[0] != stage.build:
                self.shared_state.replace_keys(agent.bound_keys.items())
            self.shared_state.put(stage=state, forgot=agent.bound_keys_incomplete)
            for worker in self.workers.values():
                worker.pipe.send(self._stage_message(stage))

    # ---- the shared state ----
    def _record_dispatch(self, dispatch: Dispatch) -> bool:
        """Records a dispatch that counts towards the cap or may bind its key, before any worker knows of it.

        Returns:
            False if the shared state has no room: the dispatch must not be sent.
        """
        key, build = dispatch.invocation.key, dispatch.appliance.build
        if may_bind_key(self.engine_host.settings, self.engine_host.engine.agent.stage, key, build):
            self._record_key(key, build)
        if dispatch.decision_state is not None:
            when = dispatch.decision_state[0]
            window = self.engine_host.settings["window"] + 2 * self.engine_host.settings["tick"]
            if self.shared_state.oldest_exposure() > when - window:
                return False
            self.shared_state.add_exposure(when, self._operation_index[dispatch.invocation.operation])
        return True

    def _record_key(self, key: str, build: int) -> None:
        """Records a bound key for the next decider and, in the agent's own file, for its next start."""
        self.shared_state.bind_key(key, build)
        if self.key_journal is not None:
            self.key_journal.record_binding(key, build)

    # ---- surroundings of the decisions ----
    def now(self) -> int:
        """Returns the time in microseconds."""
        return self.clock.now()

    def schedule_alarm(self, due: int) -> None:
        """Wakes the decisions at a time."""
        self.alarms.schedule(due)

    def run_soon(self, do: Callable[[], None]) -> None:
        """Calls a function in the next loop turn."""
        self.loop.add_callback(do)

    def start(self, dispatch: Dispatch, call: RemoteCall) -> RemoteAttempt:
        """Gives the owner of the call a grant for a dispatch, and chooses the worker that sends it."""
        invocation, worker = dispatch.invocation, call.worker
        sender = self.assignment.choose_sender(worker.load, dispatch.appliance.id, self.clock.now())
        sender.open_dispatches += 1
        if self._record_dispatch(dispatch):
            order = DispatchOrder(
                invocation.id,
                dispatch.number,
                self.instances.get(dispatch.appliance, ""),
                dispatch.timeout,
                self.engine_host.engine.now,
                sender.number,
            )
            worker.pipe.send([messages.DISPATCH, *order])
        else:
            self.log_event("book_full", level="error")
            self.loop.add_callback(self.engine_host.dispatch_ended, dispatch, ours.OBSOLETE)
        return RemoteAttempt(call, dispatch, sender)

    def probe(self, appliance: Appliance) -> None:
        """Lets a worker probe an appliance."""
        load = self.assignment.choose_prober(appliance.id, self.clock.now())
        if load is not None and load.number in self.workers:
            self.workers[load.number].pipe.send([messages.PROBE, self.instances.get(appliance, "")])

    def vote(self, build: int, stage: int, verdict: str) -> None:
        """Records a vote, so that the next decider does not cast it again, and casts it."""
        self.shared_state.put(vote=[build, stage, verdict])
        self.conveyor.vote(build, stage, verdict)

    def subscribe(self) -> None:
        """Subscribes to the registry's list, as soon as there is a connection to do so."""
        if self.registry is None:
            self._deferred.append(self.subscribe)
        else:
            self.registry.subscribe()

    def fetch_list(self) -> None:
        """Fetches the whole list from the registry."""
        self.registry.fetch()

    def message(self, to: int | None, figures: list[int]) -> None:
        """Sends figures to another agent; None sends them to all."""
        self.peers.message(to, figures)

    def log_event(self, event: str, level: str = "info", **facts: Any) -> None:
        """Logs an event."""
        write_event(self.log, event, level, **facts)

    def retire_gone(self, changed: list[Appliance]) -> None:
        """Does nothing: the registry client calls it, but only workers have connections to appliances."""

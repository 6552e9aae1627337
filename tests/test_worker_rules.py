"""Rules for the processes of one agent: by traces, and in every order of events of small cases."""

from __future__ import annotations

import random
from collections import deque
from itertools import pairwise

import pytest

from cartweir.cores.assignment import FRESHNESS, WorkerAssignment
from cartweir.cores.grants import DROP, RENEW, USE, check_grant, exposures_in_window
from cartweir.cores.restarts import RestartPolicy
from cartweir.cores.standalone import DECIDER_TIMEOUT, DeciderMonitor
from cartweir.window import WindowBudget

MS, S = 1_000, 1_000_000
TICK = 10 * MS


def test_a_grant_is_valid_for_its_lifetime_then_renewed_and_dropped_once_it_is_not_needed():
    assert check_grant(100, 100, TICK, True) == USE and check_grant(100 + TICK, 100, TICK, True) == USE
    assert check_grant(101 + TICK, 100, TICK, True) == RENEW
    assert check_grant(101 + TICK, 100, TICK, False) == check_grant(100, 100, TICK, False) == DROP


def test_all_workers_send_for_a_client_connection_that_brings_all_traffic():
    assignment, open_dispatches, senders = WorkerAssignment(4, 8), deque(), []
    loads = [assignment.add_worker(number, 0) for number in range(1, 5)]
    for step in range(400):
        load = assignment.choose_sender(loads[0], f"m{step % 9}", 0)
        load.open_dispatches += 1
        open_dispatches.append(load)
        senders.append(load.number)
        if len(open_dispatches) > 100:
            open_dispatches.popleft().open_dispatches -= 1
    counts = [senders.count(number) for number in range(1, 5)]
    assert min(counts) > 50 and counts[0] == max(counts)


def test_the_owner_sends_its_own_dispatches_while_it_has_few():
    assignment = WorkerAssignment(4, 8)
    loads = [assignment.add_worker(number, 0) for number in range(1, 5)]
    for _ in range(8):
        load = assignment.choose_sender(loads[2], "m1", 0)
        load.open_dispatches += 1
        assert load is loads[2]


def test_an_appliance_that_takes_few_connections_has_few_eligible_workers():
    assignment = WorkerAssignment(8, 2)
    loads = {number: assignment.add_worker(number, 0) for number in range(1, 9)}
    before = {f"m{n}": assignment.eligible_workers(f"m{n}") for n in range(60)}
    assert all(len(eligible) == 2 for eligible in before.values())
    for appliance, eligible in before.items():
        for owner in loads.values():
            assert assignment.choose_sender(owner, appliance, 0).number in eligible
    assignment.remove_worker(5)
    moved = [name for name in before if assignment.eligible_workers(name) != before[name]]
    assert moved and all(5 in before[name] for name in moved)
    assert all(len(assignment.eligible_workers(name) & before[name]) == 1 for name in moved)


def test_a_suspended_worker_sends_for_no_other():
    assignment = WorkerAssignment(3, 8)
    loads = [assignment.add_worker(number, 0) for number in (1, 2, 3)]
    loads[0].open_dispatches = 100
    loads[2].last_heard = now = FRESHNESS + 1
    assert assignment.choose_sender(loads[0], "m1", now) is loads[2]
    assert assignment.choose_prober("m1", now) is loads[2]
    loads[2].last_heard = 0
    assert assignment.choose_sender(loads[0], "m1", now) is loads[0]
    assert assignment.choose_prober("m1", now) is None


def test_silence_of_the_decider_counts_only_from_when_the_worker_could_listen():
    monitor = DeciderMonitor(0)
    assert monitor.standalone and monitor.record_message(10) and not monitor.record_message(20)
    assert not monitor.check(20 + DECIDER_TIMEOUT, 0) and not monitor.standalone
    assert not monitor.check(21 + DECIDER_TIMEOUT, 5 * MS)  # the worker itself has only just resumed
    assert monitor.check(6 * MS + DECIDER_TIMEOUT, 5 * MS) and monitor.standalone
    assert not monitor.check(7 * MS + DECIDER_TIMEOUT, 0)
    assert monitor.record_message(8 * MS + DECIDER_TIMEOUT)


def test_restarts_back_off_unless_the_child_ran_for_long():
    policy, now, waits = RestartPolicy(5 * S, random.Random(1)), 0, []
    for _ in range(12):
        policy.record_start(now)
        next_start = policy.next_start(now + MS)
        waits.append((next_start - now - MS) // MS)
        now = next_start
    assert waits[0] == 0 and waits[-1] >= 500 and max(waits) <= 1000
    policy.record_start(now)
    assert policy.next_start(now + 11 * S) == now + 11 * S


def test_a_child_hangs_once_its_heartbeat_is_old_unless_the_supervisor_ran_late():
    policy = RestartPolicy(5 * S, random.Random(1))
    policy.record_start(0)
    assert not policy.is_hung(5 * S, 0) and policy.is_hung(5 * S + 1, 0) and not policy.is_hung(5 * S + 1, S)


def test_exposures_that_may_still_be_in_the_window_count_after_a_restart():
    assert exposures_in_window([(900, 1), (100, 0), (500, 0)], 1000, 500) == [(500, 0), (900, 1)]


# ---- every order of events ---------------------------------------------------------------------------------
WINDOW, LIFETIME = 4, 1  # steps of a small clock


class Model:
    """Two workers with one call each, one token in the window, and a decider with its shared state.

    The exposure budget of the decisions, check_grant() and exposures_in_window() are the real ones. Pipes
    keep their order; time passes by whole steps.

    `fault` seeds a fault: "stale" uses a grant however old; "forgets" loses the shared state; "twice" gives
    the token back both when a grant is renewed and when it is dropped; "unrecorded" sends a grant before it
    is recorded.
    """

    def __init__(self, fault=""):
        self.fault, self.now = fault, 0
        self.recorded, self.unrecorded, self.sent, self.kills = [], [], [], 0
        self.to_worker = {1: deque(), 2: deque()}
        self.to_decider = {1: deque(), 2: deque()}
        self.stopped, self.has_renewed = set(), set()
        self.submitted = {1: False, 2: False}
        self.start()

    def start(self):
        self.exposure, self.entries = WindowBudget(WINDOW + 2 * LIFETIME, 1), {}
        exposures = (
            []
            if self.fault == "forgets"
            else exposures_in_window(((when, 0) for when in self.recorded), self.now, WINDOW + 2 * LIFETIME)
        )
        for when, _ in exposures:
            self.exposure.sends.append([when, 0])

    def moves(self):
        if self.now < 2 * WINDOW and not self.finished:
            yield "time"
        if self.kills < 1 and self.now:
            yield "kill"
        for worker in (1, 2):
            if not self.submitted[worker]:
                yield f"submit {worker}"
            if self.to_decider[worker]:
                yield f"decide {worker}"
            if self.to_worker[worker] and worker not in self.stopped:
                yield f"deliver {worker}"
            if worker not in self.stopped and len(self.stopped) < 1 and self.to_worker[worker]:
                yield f"stop {worker}"
            if worker in self.stopped:
                yield f"resume {worker}"

    def apply(self, move):
        kind, _, number = move.partition(" ")
        worker = int(number or 0)
        match kind:
            case "time":
                self.now += 1
                self.recorded += self.unrecorded
                self.unrecorded = []
            case "kill":
                self.kills += 1
                self.unrecorded = []
                # messages to the decider are lost, those from it are not
                for pipe in self.to_decider.values():
                    pipe.clear()
                self.start()
            case "submit":
                self.submitted[worker] = True
                self.to_decider[worker].append("submit")
            case "decide":
                self.decide(worker, self.to_decider[worker].popleft())
            case "deliver":
                self.deliver(worker, self.to_worker[worker].popleft())
            case "stop":
                self.stopped.add(worker)
            case "resume":
                self.stopped.discard(worker)

    def decide(self, worker, message):
        if message == "dropped":
            if self.fault == "twice" and self.exposure.sends:
                self.exposure.drop(self.exposure.sends[-1])
            return
        if message == "renew":
            entry = self.entries.pop(worker, None)
            self.exposure.drop(entry)
            if entry is None:  # granted by an earlier decider: this one knows of no such dispatch
                self.to_worker[worker].append(("no", self.now))
                return
        if self.exposure.room(self.now, 1e-9):
            self.entries[worker] = self.exposure.add(self.now)
            (self.unrecorded if self.fault == "unrecorded" else self.recorded).append(self.now)
            self.to_worker[worker].append(("go", self.now))
        else:
            self.to_worker[worker].append(("no", self.now))

    def deliver(self, worker, message):
        verdict, granted_at = message
        if verdict == "no":
            return
        action = USE if self.fault == "stale" else check_grant(self.now, granted_at, LIFETIME, True)
        if action == USE:
            self.sent.append(self.now)
        elif worker in self.has_renewed:  # a worker renews a grant once
            self.to_decider[worker].append("dropped")
        else:
            self.has_renewed.add(worker)
            self.to_decider[worker].append("renew")
            if self.fault == "twice":
                self.to_decider[worker].append("dropped")

    @property
    def finished(self):
        return not any((*self.to_decider.values(), *self.to_worker.values())) and all(self.submitted.values())

    def copy(self):
        other = object.__new__(Model)
        other.__dict__.update(self.__dict__)
        other.recorded, other.unrecorded, other.sent = self.recorded[:], self.unrecorded[:], self.sent[:]
        other.to_decider, other.to_worker = (
            {worker: pipe.copy() for worker, pipe in pipes.items()}
            for pipes in (self.to_decider, self.to_worker)
        )
        other.stopped, other.has_renewed, other.submitted = (
            self.stopped.copy(),
            self.has_renewed.copy(),
            self.submitted.copy(),
        )
        copies = {id(entry): entry[:] for entry in (*self.exposure.sends, *self.entries.values())}
        other.exposure = WindowBudget(WINDOW + 2 * LIFETIME, 1)
        other.exposure.sends = deque(copies[id(entry)] for entry in self.exposure.sends)
        other.entries = {worker: copies[id(entry)] for worker, entry in self.entries.items()}
        return other

    def exceeds_cap(self):
        return any(later - earlier <= WINDOW for earlier, later in pairwise(self.sent))

    def state(self):
        return (
            self.now,
            tuple(self.recorded),
            tuple(self.unrecorded),
            tuple(self.sent),
            self.kills,
            tuple(tuple(p) for p in self.to_worker.values()),
            tuple(tuple(p) for p in self.to_decider.values()),
            frozenset(self.stopped),
            frozenset(self.has_renewed),
            tuple(self.submitted.values()),
            tuple(tuple(s) for s in self.exposure.sends),
            tuple(sorted((k, tuple(v)) for k, v in self.entries.items())),
        )


def explore(fault=""):
    """Tries every order of moves, each state once.

    Returns the number of states seen, and the moves that exceed the cap, if any do.
    """
    first = Model(fault)
    seen, frontier = {first.state()}, deque([(first, ())])
    while frontier:
        model, path = frontier.popleft()
        for move in model.moves():
            other = model.copy()
            other.apply(move)
            if other.exceeds_cap():
                return len(seen), (*path, move)
            if (state := other.state()) not in seen:
                seen.add(state)
                frontier.append((other, (*path, move)))
    return len(seen), None


def test_no_order_of_events_exceeds_the_cap_of_the_window():
    seen, path = explore()
    assert path is None and seen > 5000


@pytest.mark.parametrize("fault", ["stale", "forgets", "twice", "unrecorded"])
def test_each_seeded_fault_is_found(fault):
    _, path = explore(fault)
    assert path is not None, f"no order of events exceeds the cap despite the seeded fault: {fault}"

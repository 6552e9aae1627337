"""What is decided anew for several cores, by traces and by every order of events of small cases."""

from __future__ import annotations

import random
from collections import deque

import pytest

from cartweir.cores.division import (
    ASK,
    DROP,
    FRESH,
    GO,
    SILENT,
    DeciderMonitor,
    Division,
    RestartPolicy,
    fate,
    trusted,
)
from cartweir.window import WindowBudget

MS, S = 1_000, 1_000_000
TICK = 10 * MS


def test_fate_of_a_grant():
    assert fate(100, 100, TICK, True) == GO and fate(100 + TICK, 100, TICK, True) == GO
    assert fate(101 + TICK, 100, TICK, True) == ASK
    assert fate(101 + TICK, 100, TICK, False) == fate(100, 100, TICK, False) == DROP


def test_one_connection_with_all_traffic_uses_all_parts():
    division, out, carried = Division(4, 8), deque(), []
    shares = [division.joined(number, 0) for number in range(1, 5)]
    for step in range(400):
        share = division.carrier(shares[0], f"m{step % 9}", 0)
        share.out += 1
        out.append(share)
        carried.append(share.number)
        if len(out) > 100:
            out.popleft().out -= 1
    counts = [carried.count(number) for number in range(1, 5)]
    assert min(counts) > 50 and counts[0] == max(counts)


def test_what_little_there_is_spares_the_hop():
    division = Division(4, 8)
    shares = [division.joined(number, 0) for number in range(1, 5)]
    for _ in range(8):
        share = division.carrier(shares[2], "m1", 0)
        share.out += 1
        assert share is shares[2]


def test_an_appliance_with_few_connections_has_few_parts():
    division = Division(8, 2)
    shares = {number: division.joined(number, 0) for number in range(1, 9)}
    before = {f"m{n}": division.may_carry(f"m{n}") for n in range(60)}
    assert all(len(may) == 2 for may in before.values())
    for appliance_id, may in before.items():
        for holder in shares.values():
            assert division.carrier(holder, appliance_id, 0).number in may
    division.lost(5)
    moved = [
        appliance_id for appliance_id in before if division.may_carry(appliance_id) != before[appliance_id]
    ]
    assert moved and all(5 in before[appliance_id] for appliance_id in moved)
    assert all(len(division.may_carry(appliance_id) & before[appliance_id]) == 1 for appliance_id in moved)


def test_a_part_that_stands_still_carries_for_no_other():
    division = Division(3, 8)
    shares = [division.joined(number, 0) for number in (1, 2, 3)]
    shares[0].out = 100
    shares[2].heard = now = FRESH + 1
    assert division.carrier(shares[0], "m1", now) is shares[2]
    assert division.prober("m1", now) is shares[2]
    shares[2].heard = 0
    assert division.carrier(shares[0], "m1", now) is shares[0]
    assert division.prober("m1", now) is None


def test_silence_counts_from_when_one_could_have_listened():
    silence = DeciderMonitor(0)
    assert silence.alone and silence.hear(10) and not silence.hear(20)
    assert not silence.look(20 + SILENT, 0) and not silence.alone
    assert not silence.look(21 + SILENT, 5 * MS)  # this part itself has only just woken
    assert silence.look(6 * MS + SILENT, 5 * MS) and silence.alone
    assert not silence.look(7 * MS + SILENT, 0) and silence.hear(8 * MS + SILENT)


def test_restarts_wait_longer_the_less_a_part_lives():
    tending, now, waits = RestartPolicy(5 * S, random.Random(1)), 0, []
    for _ in range(12):
        tending.started(now)
        again = tending.again(now + MS)
        waits.append((again - now - MS) // MS)
        now = again
    assert waits[0] == 0 and waits[-1] >= 500 and max(waits) <= 1000
    tending.started(now)
    assert tending.again(now + 11 * S) == now + 11 * S


def test_a_part_hangs_once_its_beat_is_old_unless_the_watcher_stood_still():
    tending = RestartPolicy(5 * S, random.Random(1))
    tending.started(0)
    assert not tending.hung(5 * S, 0) and tending.hung(5 * S + 1, 0) and not tending.hung(5 * S + 1, S)


def test_what_a_window_may_still_hold_is_trusted():
    assert trusted([(900, 1), (100, 0), (500, 0)], 1000, 500) == [(500, 0), (900, 1)]


# ---- every order of events ---------------------------------------------------------------------------------
WINDOW, LIFE = 4, 1  # steps of a small clock


class Model:
    """Two parts that hold a call each, one token in the window, and a deciding part with its book, as they really are:
    the exposure of the decisions, fate() and trusted(). Pipes keep their order; time passes by whole steps.

    `flaw` seeds a fault: 'stale' uses a grant however old, 'forgets' loses the book, 'twice' gives the token back both
    when a grant is asked for anew and when it is dropped, 'unbooked' tells of a grant before it is written down."""

    def __init__(self, flaw=""):
        self.flaw, self.now = flaw, 0
        self.book, self.unwritten, self.left, self.dead = [], [], [], 0
        self.down = {1: deque(), 2: deque()}
        self.up = {1: deque(), 2: deque()}
        self.stopped, self.has_asked = set(), set()
        self.asked = {1: False, 2: False}
        self.start()

    def start(self):
        self.exposure, self.entries = WindowBudget(WINDOW + 2 * LIFE, 1), {}
        found = (
            []
            if self.flaw == "forgets"
            else trusted(((when, 0) for when in self.book), self.now, WINDOW + 2 * LIFE)
        )
        for when, _ in found:
            self.exposure.sends.append([when, 0])

    def moves(self):
        if self.now < 2 * WINDOW and not self.over:
            yield "time"
        if self.dead < 1 and self.now:
            yield "kill"
        for part in (1, 2):
            if not self.asked[part]:
                yield f"take {part}"
            if self.up[part]:
                yield f"decide {part}"
            if self.down[part] and part not in self.stopped:
                yield f"deliver {part}"
            if part not in self.stopped and len(self.stopped) < 1 and self.down[part]:
                yield f"stop {part}"
            if part in self.stopped:
                yield f"wake {part}"

    def play(self, move):
        what, _, number = move.partition(" ")
        part = int(number or 0)
        match what:
            case "time":
                self.now += 1
                self.book += self.unwritten
                self.unwritten = []
            case "kill":
                self.dead += 1
                self.unwritten = []
                for pipe in self.up.values():  # what was on its way to it is lost, what it said is not
                    pipe.clear()
                self.start()
            case "take":
                self.asked[part] = True
                self.up[part].append("take")
            case "decide":
                self.decide(part, self.up[part].popleft())
            case "deliver":
                self.deliver(part, self.down[part].popleft())
            case "stop":
                self.stopped.add(part)
            case "wake":
                self.stopped.discard(part)

    def decide(self, part, message):
        if message == "dropped":
            if self.flaw == "twice" and self.exposure.sends:
                self.exposure.drop(self.exposure.sends[-1])
            return
        if message == "may":
            entry = self.entries.pop(part, None)
            self.exposure.drop(entry)
            if entry is None:  # of a deciding part that is gone: it knows of no such dispatch
                self.down[part].append(("no", self.now))
                return
        if self.exposure.room(self.now, 1e-9):
            self.entries[part] = self.exposure.add(self.now)
            (self.unwritten if self.flaw == "unbooked" else self.book).append(self.now)
            self.down[part].append(("go", self.now))
        else:
            self.down[part].append(("no", self.now))

    def deliver(self, part, message):
        word, given = message
        if word == "no":
            return
        holds = GO if self.flaw == "stale" else fate(self.now, given, LIFE, True)
        if holds == GO:
            self.left.append(self.now)
        elif part in self.has_asked:  # it gives up the second time
            self.up[part].append("dropped")
        else:
            self.has_asked.add(part)
            self.up[part].append("may")
            if self.flaw == "twice":
                self.up[part].append("dropped")

    @property
    def over(self):
        return not any((*self.up.values(), *self.down.values())) and all(self.asked.values())

    def copy(self):
        other = object.__new__(Model)
        other.__dict__.update(self.__dict__)
        other.book, other.unwritten, other.left = self.book[:], self.unwritten[:], self.left[:]
        other.up, other.down = (
            {part: pipe.copy() for part, pipe in pipes.items()} for pipes in (self.up, self.down)
        )
        other.stopped, other.has_asked, other.asked = (
            self.stopped.copy(),
            self.has_asked.copy(),
            self.asked.copy(),
        )
        copies = {id(entry): entry[:] for entry in (*self.exposure.sends, *self.entries.values())}
        other.exposure = WindowBudget(WINDOW + 2 * LIFE, 1)
        other.exposure.sends = deque(copies[id(entry)] for entry in self.exposure.sends)
        other.entries = {part: copies[id(entry)] for part, entry in self.entries.items()}
        return other

    def broken(self):
        return any(later - earlier <= WINDOW for earlier, later in zip(self.left, self.left[1:]))

    def state(self):
        return (
            self.now,
            tuple(self.book),
            tuple(self.unwritten),
            tuple(self.left),
            self.dead,
            tuple(tuple(p) for p in self.down.values()),
            tuple(tuple(p) for p in self.up.values()),
            frozenset(self.stopped),
            frozenset(self.has_asked),
            tuple(self.asked.values()),
            tuple(tuple(s) for s in self.exposure.sends),
            tuple(sorted((k, tuple(v)) for k, v in self.entries.items())),
        )


def explore(flaw=""):
    """Every order, each state once. Returns states seen, and the moves that break the cap, if any do."""
    first = Model(flaw)
    seen, edge = {first.state()}, deque([(first, ())])
    while edge:
        model, path = edge.popleft()
        for move in model.moves():
            other = model.copy()
            other.play(move)
            if other.broken():
                return len(seen), (*path, move)
            if (state := other.state()) not in seen:
                seen.add(state)
                edge.append((other, (*path, move)))
    return len(seen), None


def test_no_order_of_events_lets_the_window_hold_more():
    seen, path = explore()
    assert path is None and seen > 5000


@pytest.mark.parametrize("flaw", ["stale", "forgets", "twice", "unbooked"])
def test_each_seeded_fault_is_found(flaw):
    _, path = explore(flaw)
    assert path is not None, f"no order of events breaks the cap though it is flawed: {flaw}"

"""What must be decided anew when one agent is several processes: whether a grant still holds, who carries a dispatch,
when a part counts as silent or hung, and what one may do by itself. No I/O; times are whole microseconds.

A grant is the deciding part's word that one dispatch may go, counted against cap, window and cold credit at the moment
at which it was given. It holds for one tick: the decisions count their window two ticks longer than it is, and the
platform's graces are longer still. Past it the carrying part asks anew, and the count moves to the present.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from ..interface import ON_TRIAL, READY, Appliance, Invocation, Stage

MS, S = 1_000, 1_000_000
GO, ASK, DROP = "go", "ask", "drop"
SILENT = 250 * MS  # without a word from the deciding part for so long, a part goes on alone
FRESH = 150 * MS  # a part that was heard within it is given dispatches that others hold
SLACK = 2.0  # a dispatch leaves the part that holds its call when it is so much busier than others
FREE_HAND = 8  # and has more than so many dispatches out


def fate(now: int, given: int, life: int, owed: bool) -> str:
    """Of a grant, as it is about to be used. owed: its invocation still wants it."""
    if not owed:
        return DROP
    return GO if now - given <= life else ASK


# ---- who carries: by the deciding part ------------------------------------------------------------------------
@dataclass(eq=False, slots=True)
class Share:
    """One carrying part, as the deciding one sees it."""

    number: int
    heard: int = 0  # when it last said something
    out: int = 0  # dispatches that it carries


class Division:
    """connections: most that one appliance is to get from all parts together."""

    def __init__(self, parts: int, connections: int) -> None:
        self.parts, self.connections = parts, connections
        self.shares: dict[int, Share] = {}
        self._may: dict[str, frozenset[int]] = {}

    def joined(self, number: int, now: int) -> Share:
        self._may.clear()
        share = self.shares[number] = Share(number, now)
        return share

    def lost(self, number: int) -> None:
        self._may.clear()
        self.shares.pop(number, None)

    def may_carry(self, appliance_id: str) -> frozenset[int]:
        """Those that may connect to an appliance: all, or, where it takes fewer connections than there are parts, the
        first by rendezvous hashing of those that live, so that a death moves but what was its own."""
        may = self._may.get(appliance_id)
        if may is None:
            ranked = sorted(
                self.shares, key=lambda n: blake2b(f"{appliance_id}/{n}".encode(), digest_size=8).digest()
            )
            may = self._may[appliance_id] = frozenset(
                ranked if self.connections >= self.parts else ranked[: self.connections]
            )
        return may

    def carrier(self, holder: Share, appliance_id: str, now: int) -> Share:
        """The part that holds the call spares a hop. Guards against one connection with all the traffic: its part
        sends away what others have more time for."""
        may = self.may_carry(appliance_id)
        others = [
            share
            for share in self.shares.values()
            if share is not holder and share.number in may and now - share.heard <= FRESH
        ]
        if not others:
            return holder if holder.number in may or not may else self.shares[max(may)]
        idlest = min(others, key=lambda share: (share.out, share.number))
        if holder.number in may and holder.out <= max(FREE_HAND, SLACK * idlest.out):
            return holder
        return idlest

    def prober(self, appliance_id: str, now: int) -> Share | None:
        """Whoever may connect, is awake and has least to do."""
        may = self.may_carry(appliance_id)
        return min(
            (s for s in self.shares.values() if s.number in may and now - s.heard <= FRESH),
            key=lambda share: (share.out, share.number),
            default=None,
        )


# ---- going on alone: by a carrying part ----------------------------------------------------------------------
class DeciderMonitor:
    """Whether the deciding part is to be counted on."""

    def __init__(self, now: int) -> None:
        self.heard, self.alone = now, True

    def hear(self, now: int) -> bool:
        """Returns True where this ends a time alone."""
        self.heard, was, self.alone = now, self.alone, False
        return was

    def look(self, now: int, woke: int) -> bool:
        """woke: when this part itself last began to run after a standstill, since what was sent to it meanwhile lies
        unread. Returns True where a time alone begins."""
        if not self.alone and now - max(self.heard, woke) > SILENT:
            self.alone = True
            return True
        return False


def stood_still(now: int, last: int, tick: int, heartbeat: int) -> bool:
    """Of a part that looks at the clock once a tick, and last did then."""
    return now - last > 2 * tick + heartbeat


def last_word(expires: int, tick: int, decided: bool) -> int:
    """When a part answers by itself what nobody has answered. The deciding part's own last word is due two ticks before
    the end: one that does not decide is not waited for longer, one that does gets half a tick more."""
    return expires - (3 * tick // 2 if decided else 2 * tick)


def understudy_known(settings: Mapping[str, Any], parts: int) -> dict[str, Any]:
    """Settings of the decisions where one part goes on alone: nothing is free at a build on trial and no cap is known,
    so none of it is met; limits are a part's; it has no voice among agents."""
    return {
        **settings,
        "free": 0.0,
        "caps": tuple(0.0 for _ in settings["caps"]),
        "agents": settings["agents"] * parts,
        "may_message": False,
        "may_probe": False,
        "must_ask": False,
        "vote_allowance": 0.0,
        "on_votes": 0,
    }


def may_stand_in(settings: Mapping[str, Any], invocation: Invocation) -> bool:
    """What a part may take by itself. Where a key may have been answered by the newest build, only the deciding
    part knows which was: such an invocation waits for it."""
    return not (settings["one_way"] and invocation.key)


def may_meet_alone(settings: Mapping[str, Any], appliance: Appliance, now: int) -> bool:
    """Cold ones get their part of all that is taken, which nobody counts meanwhile."""
    cold = (
        settings["cold_share"] < 1.0 and appliance.started and now - appliance.started < settings["warm_time"]
    )
    return appliance.state == READY and not cold


def must_wait(settings: Mapping[str, Any], invocation: Invocation) -> bool:
    """An answer that binds its key is passed on once the deciding part knows of it, lest the client's next call of the
    key be quicker. Any other goes to its client as it comes."""
    return bool(settings["one_way"] and invocation.key)


def accept_after(connections: int) -> int:
    """Parts accept from one queue: the more connections one has, the longer it leaves the next to the others."""
    return min(connections, 32) * 300


def binds(settings: Mapping[str, Any], stage: Stage | None, key: str | None, build: int) -> bool:
    """Whether a dispatch of a key may end in its being answered by the newest build, which binds it: written down when
    it is granted, since whoever gets the answer may not live to tell of it."""
    return bool(settings["one_way"] and key and stage) and build >= stage.build + (stage.phase != ON_TRIAL)


# ---- watching parts: by the supervisor --------------------------------------------------------------------------
class RestartPolicy:
    """One part's lives. hang: a part whose loop has not turned for so long is ended by force."""

    LEAST, MOST, WELL = 20 * MS, S, 10 * S  # waits between starts double, unless a life lasted

    def __init__(self, hang: int, chance: random.Random) -> None:
        self.hang, self.chance = hang, chance
        self.beat = self.began = 0
        self._wait = 0

    def started(self, now: int) -> None:
        self.began = self.beat = now

    def hung(self, now: int, lag: int) -> bool:
        """lag: by how long the supervisor itself came late, which holds up beats as well."""
        return now - self.beat - lag > self.hang

    def again(self, now: int) -> int:
        """When it is to be started after an end. The first time at once."""
        lasted = now - self.began > self.WELL
        wait = 0 if lasted else self._wait
        self._wait = self.LEAST if lasted or not self._wait else min(2 * self._wait, self.MOST)
        return now + (self.chance.randrange(wait // 2, wait + 1) if wait else 0)


def trusted(sends: Iterable[tuple[int, int]], now: int, window: int) -> list[tuple[int, int]]:
    """Of (when, operation) found in the book: those that a window may still hold, in their order. What was taken
    before the restart pays for nothing: the count of invocations begins anew."""
    return sorted((when, operation) for when, operation in sends if when >= now - window)

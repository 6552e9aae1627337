"""All decisions of one cartweir instance; types in and out are in interface.py, the host is engine.py.

The host makes one Agent(host, known, chance) an instance: `known` is the plain map of settings, `chance` its
only random source. It calls on_list, on_stage, on_tally, on_flag, on_probed, on_message as news comes,
observe() for every outcome, and runs handle() for each invocation taken: a generator that yields what it
wants done (Dispatch, Wait, Cancel, Throttle, Terminate) and is resumed with an Outcome or None.
Sections: judge, exposure, health, pick, votes, invocation. Times are whole microseconds.
"""
from __future__ import annotations

import random
from bisect import bisect_left
from collections import deque
from collections.abc import Mapping
from math import exp, log, sqrt
from typing import Any

from .interface import (BACK, CANCELLED, ERROR, FINGERPRINTED, GOING_BACK, IDEMPOTENT, HOLD, MOOT, NEVER_RAN, ON,
                        ON_TRIAL, READY, RELEASED, RESET, SIDE_EFFECTING, SUCCEEDED, TIMEOUT, UNCONNECTED,
                        Appliance, Cancel, Dispatch, Host, Invocation, Operation, Outcome, Stage, Steps, Tally,
                        Terminate, Throttle, Wait)

MS, S = 1_000, 1_000_000
ALPHA = 0.05                                # the paper's level
EARLIER_BLOCK = 5                           # outcomes of earlier builds that a block needs, and for each stream
SLOW, ERRORS = (20, 0.2), (8, 0.2)          # its trial outcomes and the width of the Normal prior: small blocks
FLAGS, RARE = (40, 0.2), (60, 0.05)         # look for much at once, large ones for little
FADE = 15 / 16                              # of the weight of past blocks, at each new one
SKIP = 5 * S                                # slowness of an appliance younger than this is no evidence
ON_AFTER, VOTE_SPREAD = 3 * S, S // 2       # 'on' is due so long after the newest start; votes are spread over
APART = 300 * MS                            # between samples of slowness at one appliance: a jam is one event
SLOW_BY = 1.4                               # beyond the usual by more than cold memories of keys explain
HOLD_ABOVE, HOLD_MOST = 4.5, 3 * S          # undecided evidence delays 'on', at most so long a stage
EDGES = [round(10 * MS * 1.5 ** i) for i in range(18)]      # bins of times


# ---- judge: is the build on trial worse than the earlier one? -------------------------------------
class Judge:
    """The paper's mixture likelihood ratio on our own blocks, with Normal densities (see docs/design.md)."""

    def __init__(self, block: int, width: float) -> None:
        self.block, self.width = block, width
        self.precision = self.weighted = 0.0                # A and S of the design page
        self.counts, self.failures = [0, 0], [0.0, 0.0]     # of the open block: earlier, trial
        self.blocks = 0
        self.seen, self.failed = [0, 0], [0.0, 0.0]         # in all, for the log
        self.kept = (0, 0.0)                                # the earlier side of the last closed block

    def add(self, trial: bool, failures: float, count: int = 1, alone: bool = False) -> None:
        """alone: the build is released and the earlier machines are gone, so the last earlier side stands in."""
        self.counts[trial] += count
        self.failures[trial] += failures
        self.seen[trial] += count
        self.failed[trial] += failures
        if alone and self.counts[False] < EARLIER_BLOCK:
            self.counts[False], self.failures[False] = self.kept
        if self.counts[True] < self.block or self.counts[False] < EARLIER_BLOCK:
            return
        self.kept = self.counts[False], self.failures[False]
        shares = [min(1.0, failed / n) for failed, n in zip(self.failures, self.counts)]
        floored = [(p * n + 0.5) / (n + 1) for p, n in zip(shares, self.counts)]
        spread = sum(p * (1 - p) / n for p, n in zip(floored, self.counts))
        # blocks fade: guards against a build that turns bad late, or only once it bears the full load
        self.precision = self.precision * FADE + 1 / spread
        self.weighted = self.weighted * FADE + (shares[True] - shares[False]) / spread
        self.counts, self.failures = [0, 0], [0.0, 0.0]
        self.blocks += 1

    def log_ratio(self) -> float:
        """ln L; 0 while the new build looks no worse."""
        if self.weighted <= 0 or (self.blocks < 2 and self.block == SLOW[0]):   # one jam fills one block
            return 0.0
        grown = 1 + self.width ** 2 * self.precision
        return self.width ** 2 * self.weighted ** 2 / (2 * grown) - log(grown) / 2


class Times:
    """How long one operation's answers took at earlier builds: a coarse histogram, halved now and then."""

    def __init__(self) -> None:
        self.bins, self.total = [0.0] * (len(EDGES) + 1), 0.0

    def add(self, took: int) -> None:
        self.bins[bisect_left(EDGES, took)] += 1
        self.total += 1
        if self.total >= 400:
            self.bins = [n / 2 for n in self.bins]
            self.total /= 2

    def quantile(self, share: float) -> int | None:
        """The upper edge of the bin that holds this share; None on too few answers."""
        if self.total < 40:
            return None
        below = 0.0
        for edge, n in zip(EDGES, self.bins):
            below += n
            if below >= share * self.total:
                return edge
        return EDGES[-1]


# ---- exposure: dispatches at builds on trial -------------------------------------------------------
class Exposure:
    """Keeps every span of the window within free + cap x taken, also one that ends between events."""

    def __init__(self, known: Mapping[str, Any]) -> None:
        self.window, self.free = known["window"] + 2 * known["tick"], known["free"]
        self.taken = 0
        self.sends: deque[list[int]] = deque()      # [when, invocations taken up to then]

    def take(self, now: int) -> None:
        self.taken += 1
        for send in reversed(self.sends):           # of one batch: which came first is not known outside
            if send[0] != now:
                break
            send[1] = self.taken

    def room(self, now: int, cap: float) -> bool:
        """May one more go? Any span can begin at an earlier send, so each of them is looked at."""
        while self.sends and self.sends[0][0] < now - self.window:
            self.sends.popleft()
        count = len(self.sends) + 1
        return cap > 0 and count >= 1 and self.free >= 1 and all(
            count - i <= self.free + cap * (self.taken - send[1]) - 1e-9 for i, send in enumerate(self.sends))

    def sent(self, now: int) -> None:
        self.sends.append([now, self.taken])


# ---- health: what is known of one appliance --------------------------------------------------------
class Health:
    def __init__(self) -> None:
        self.open = 0                       # own dispatches out
        self.good = self.bad = 0.0          # recent outcomes, halved now and then
        self.shut_until = self.strikes = 0
        self.unanswered = 0                 # when the first dispatch since its last answer was sent; 0: none
        self.sampled = 0                    # when its slowness was last sampled
        self.silences = 0                   # ends without a word since its last answer
        self.sends: deque[int] = deque()    # while cold
        self.load, self.load_at = 0.0, 0

    def count(self, failed: bool) -> None:
        self.good, self.bad = self.good + (not failed), self.bad + failed
        if self.good + self.bad >= 16:
            self.good, self.bad = self.good / 2, self.bad / 2

    def bad_share(self) -> float:
        return self.bad / (self.good + self.bad + 2)

    def shut(self, now: int) -> int:
        self.strikes = min(self.strikes + 1, 4)
        self.shut_until = now + (S << self.strikes) // 2
        return self.shut_until - now


class Agent:
    def __init__(self, host: Host, known: Mapping[str, Any], chance: random.Random) -> None:
        self.host, self.known, self.chance = host, known, chance
        self.fleet: list[Appliance] = []            # ready ones
        self.stage: Stage | None = None
        self.judges: dict[Any, Judge] = {}          # by operation, and one for reported answers
        self.exposures: dict[Operation | None, Exposure] = {}
        self.bound_keys: dict[str, int] = {}        # keys -> the newest build that has answered them
        self.held: deque[Invocation] = deque()
        self.open, self.limit, self.cut_at = 0, 0.0, 0
        self.recent: deque[int] = deque()           # when invocations were taken
        self.spare_retries = 10.0
        self.asked_at, self.subscribed = host.now, False
        self.mode = "calm"
        self.vote_key: tuple | None = None          # what the standing or planned vote says
        self.casts = self.ticks = 0
        self.stage_since = self.hold_since = host.now
        self.holding = 0
        self.untold = [0, 0, 0, 0]                  # answers and reports of earlier builds and of the trial
        self.times: dict[tuple[Operation, str], Times] = {}     # machines of one kind compare with their like
        if known["must_ask"]:
            host.subscribe()
            host.at(host.now + self.ask_again(), self.keep_asking)

    # ---- the list ----
    def ask_again(self) -> int:
        return self.chance.randrange(S // 2, S)

    def keep_asking(self) -> None:
        """Until a subscription stands, ask again; well within the time after which not asking counts as told."""
        if not self.subscribed:
            self.host.subscribe()
            self.host.at(self.host.now + 2 * self.ask_again(), self.keep_asking)

    def on_list(self, how: str, changed: list[Appliance]) -> None:
        if how == "failed":
            # guards against a subscription that broke unnoticed: the notice does not say whether it stands
            if self.subscribed:
                self.subscribed = False
                self.host.at(self.host.now + self.ask_again(), self.keep_asking)
            return
        if how != "cached":
            self.subscribed = True
        gone = {id(appliance) for appliance in changed}
        self.fleet = [a for a in self.fleet if id(a) not in gone] + [a for a in changed if a.state == READY]
        for appliance in changed:
            if appliance.learned is None:
                appliance.learned = Health()
        self.limit = max(self.limit, 2.0 * len(self.fleet))
        self.stir()

    # ---- news of little weight so far ----
    def on_tally(self, tally: Tally) -> None:
        """The platform's own count joins the block like our own outcomes."""
        if self.judging() and tally.count:
            self.judge(tally.operation, SLOW).add(tally.build >= self.stage.build, tally.failures, tally.count)
            self.review()

    def on_probed(self, appliance: Appliance, how: str, took: int, load: Mapping[str, float]) -> None:
        pass

    def on_message(self, sender: int, body: bytes) -> None:
        """Counts of reported answers from another agent: they are too rare for one agent's blocks."""
        fields = body.decode("ascii", "replace").split()
        if len(fields) == 5 and all(f.isdigit() for f in fields) and self.judging():
            build, *figures = map(int, fields)
            if build == self.stage.build:
                for trial in (False, True):
                    flags = figures[2 + trial] / self.known["flag_share"]
                    self.judge(None, FLAGS).add(trial, flags, figures[trial], self.alone())
                self.review()

    def tell(self) -> None:
        """Where messages are allowed: own counts since the last time, for the others' blocks."""
        if self.known["may_message"] and any(self.untold):
            self.host.message(None, " ".join(map(str, [self.stage.build, *self.untold])).encode())
        self.untold = [0, 0, 0, 0]

    def flagged(self, trial: bool, flags: int, count: int) -> None:
        self.untold[trial] += count
        self.untold[2 + trial] += flags
        self.judge(None, FLAGS).add(trial, flags / self.known["flag_share"], count, self.alone())

    def on_flag(self, operation: Operation, appliance: Appliance, age: int) -> None:
        """A client found an answer wrong: it turns from a success into a failure, as do those not reported."""
        if self.judging() and self.known["flag_share"] > 0:
            self.flagged(appliance.build == self.stage.build, 1, 0)
            self.review()

    def alone(self) -> bool:
        return not any(a.build < self.stage.build for a in self.fleet) if self.stage else True

    def judging(self) -> bool:
        return self.stage is not None and self.stage.phase in (ON_TRIAL, RELEASED)

    def judge(self, operation: Operation | None, stream: tuple[int, float]) -> Judge:
        """Compared within one operation, so that a change of mix moves nothing; None: where all are alike."""
        return self.judges.setdefault((operation, stream), Judge(*stream))

    def log_ratio(self) -> float:
        return max((judge.log_ratio() for judge in self.judges.values()), default=0.0)

    def evidence(self) -> str:
        worst = max(self.judges.values(), key=Judge.log_ratio, default=Judge(*SLOW))
        (n_old, n_new), (bad_old, bad_new) = worst.seen, worst.failed
        return (f"ln L {worst.log_ratio():.2f} after {worst.blocks} blocks of {worst.block}, "
                f"failed {bad_new:.0f}/{n_new} against {bad_old:.0f}/{n_old}")

    # ---- health of the fleet: every outcome passes here first ----
    def observe(self, outcome: Outcome) -> None:
        dispatch, how, now = outcome.dispatch, outcome.how, self.host.now
        appliance = dispatch.appliance
        health: Health = appliance.learned
        health.open -= 1
        self.open -= 1
        if how in (SUCCEEDED, ERROR, "full"):
            health.unanswered = health.silences = 0
        elif how in (TIMEOUT, RESET, UNCONNECTED):
            health.silences += 2 if how == UNCONNECTED else 1
        if outcome.load:
            health.load, health.load_at = outcome.load.get("inflight", 0.0), now
        operation = dispatch.invocation.operation
        if how == SUCCEEDED:
            health.strikes = 0
            health.count(False)
            key = dispatch.invocation.key
            if key is not None and self.stage is not None and appliance.build >= self.stage.build:
                self.bound_keys[key] = appliance.build
        elif how not in (CANCELLED, MOOT):
            health.count(True)
            if appliance.state == READY and now >= health.shut_until and (
                    health.silences > 3 or self.stands_out(appliance)):
                pause = health.shut(now)
                self.host.log(f"shut {appliance.ident} for {pause // MS} ms: {how}, "
                              f"bad {health.bad:.0f} good {health.good:.0f}")
        self.weigh(dispatch, outcome, operation, health)
        self.adapt(operation, outcome)
        self.stir()

    def stands_out(self, appliance: Appliance) -> bool:
        """Fails far more than its build's other appliances: then it is the machine and not the build."""
        health = appliance.learned
        peers = [a.learned for a in self.fleet if a.build == appliance.build and a is not appliance]
        if health.bad < 3 or health.bad_share() < 0.4 or not peers:
            return False
        return sum(p.bad for p in peers) / (sum(p.good + p.bad for p in peers) + 1) < health.bad_share() / 2

    def weigh(self, dispatch: Dispatch, outcome: Outcome, operation: Operation, health: Health) -> None:
        """What the judge gets to see of an outcome."""
        stage, appliance, how = self.stage, dispatch.appliance, outcome.how
        trial = self.judging() and appliance.build == stage.build
        times = self.times.setdefault((operation, appliance.kind), Times())
        usual = times.quantile(0.9)
        if not trial and how == SUCCEEDED:
            times.add(outcome.took)
        alone = self.alone()
        if not self.judging() or how in (CANCELLED, *NEVER_RAN) or (alone and self.stage.phase != RELEASED):
            return
        failed = how in (ERROR, RESET)
        if failed and self.stands_out(appliance):
            return                          # guards against a failing machine being taken for a failing build
        if how != TIMEOUT:
            self.judge(operation, ERRORS).add(trial, failed, 1, alone)
            self.judge(None, RARE).add(trial, failed, 1, alone)
        young = appliance.started and self.host.now - appliance.started < SKIP
        if not (alone or young or dispatch.learned) and self.host.now - health.sampled > APART:
            # a cold or crowded one is slow whatever its build; so is all after a jump of load with none to compare
            slow = how == TIMEOUT or (usual is not None and outcome.took > SLOW_BY * usual)
            self.judge(operation, SLOW).add(trial, failed or slow)
            health.sampled = self.host.now
        if how == SUCCEEDED and self.known["flag_share"] > 0:
            self.flagged(trial, 0, 1)
        if self.log_ratio() > log(1 / ALPHA):
            self.review()

    def adapt(self, operation: Operation, outcome: Outcome) -> None:
        """The bound on own open dispatches follows how quickly answers come, as overload shows there first."""
        now = self.host.now
        slow = outcome.how == TIMEOUT or outcome.took > 0.7 * operation.slo_time
        if slow and now - self.cut_at > 300 * MS:
            self.limit, self.cut_at = max(self.limit * 0.85, 0.5 * len(self.fleet), 4.0), now
        elif not slow and self.open >= 0.7 * self.limit:
            self.limit += 2 / self.limit

    # ---- pick: which appliance -----------------------------------------------------------------------
    def cap_of(self, appliance: Appliance) -> float | None:
        """The cap of a build on trial; None for one that is not."""
        stage = self.stage
        if stage is None:
            return None if appliance.build <= min((a.build for a in self.fleet), default=0) else 0.0
        if appliance.build > stage.build:
            return self.known["caps"][0] if self.known["caps"] else 0.0
        if appliance.build < stage.build or stage.phase == RELEASED:
            return None
        return stage.cap        # on the way back it falls to 0 only when earlier machines are there

    def exposure(self, operation: Operation) -> Exposure:
        key = operation if self.known["per_operation"] else None
        if key not in self.exposures:
            self.exposures[key] = Exposure(self.known)
        return self.exposures[key]

    def warmth(self, appliance: Appliance) -> float:
        """The share of its capacity that a started appliance has at least."""
        age = self.host.now - appliance.started
        if not appliance.started or age >= self.known["warm_time"]:
            return 1.0
        cold = self.known["cold_share"]
        return cold + (1 - cold) * max(0, age) / self.known["warm_time"]

    def cold_room(self, appliance: Appliance) -> bool:
        """Guards a cold appliance against the sum of all agents: each keeps to its own even part of the traffic,
        cut to what is warm, so the sum stays near what a warm appliance bears. A burst raises it for all."""
        warmth = self.warmth(appliance)
        if warmth >= 1.0:
            return True
        now, span, sends = self.host.now, self.known["fall_time"], appliance.learned.sends
        while sends and sends[0] <= now - span:
            sends.popleft()
        while self.recent and self.recent[0] <= now - 4 * S:
            self.recent.popleft()
        even = len(self.recent) / 4 * span / S / max(1, len(self.fleet))
        return len(sends) < 1 + even * warmth * min(1.3, self.known["fall_multiple"] / 2)

    def may_go(self, inv: Invocation, appliance: Appliance, group: Appliance | None) -> bool:
        """The gate that no dispatch passes by: drains, shut ones, repeats, cold ones, exposure, one-way keys."""
        health, now, operation = appliance.learned, self.host.now, inv.operation
        if appliance.state != READY or health.shut_until > now or (health.strikes and health.open):
            return False
        if group is not None and operation.group != "all":
            if appliance.zone != group.zone or (operation.group == "cell" and appliance.cell != group.cell):
                return False
        if not self.cold_room(appliance):
            return False
        cap = self.cap_of(appliance)
        if cap is None:
            return not self.known["one_way"] or appliance.build >= self.bound_keys.get(inv.key, 0)
        if self.stage is None or self.stage.build < appliance.build or self.stage.number < self.known["guarded_stages"]:
            if self.known["guarded_stages"] and operation.effect != IDEMPOTENT:
                return False
        return self.exposure(operation).room(now, cap)

    def busy(self, appliance: Appliance) -> float:
        health = appliance.learned
        load = health.open + 0.5
        if self.host.now - health.load_at < S:
            load = max(load, health.load)
        if health.unanswered and self.host.now - health.unanswered > 400 * MS:
            load += 2                               # guards against appliances that stand still
        if appliance.zone != self.known["zone"]:
            load += 0.3
        return load * (1 + 4 * health.bad_share()) / (max(appliance.weight, 0.01) * self.warmth(appliance))

    def pick(self, inv: Invocation, group: Appliance | None) -> Appliance | None:
        """The less busy of two random ones. Repeats go to the earlier build, unless the key must stay."""
        tried = {id(d.appliance) for d in inv.dispatches}
        fits = [a for a in self.fleet if self.may_go(inv, a, group)]
        if tried:
            earlier = [a for a in fits if self.cap_of(a) is None]
            fits = earlier or fits
            fits = [a for a in fits if id(a) not in tried] or fits
        trial = [a for a in fits if self.cap_of(a) is not None]
        earlier = [a for a in fits if self.cap_of(a) is None]
        if trial and earlier:
            if self.stage.phase != ON_TRIAL or (self.vote_key and self.vote_key[2] == BACK):    # no more than must
                fits = earlier
            else:       # as much as the cap allows, so that it is judged at its full load before it is released
                best = self.less_busy(trial)
                places = [a for a in self.fleet if self.known["in_place"] or a.build < best.build]
                usual = self.open / sum(a.weight for a in places)
                room = 0.5 if self.known["in_place"] else 1.5      # beside: the fleet has grown, its load fallen
                fits = [best] if best.learned.open < usual * best.weight * self.warmth(best) + room else earlier
        return self.less_busy(fits) if fits else None

    def less_busy(self, fits: list[Appliance]) -> Appliance:
        return min(self.chance.sample(fits, 2) if len(fits) > 2 else fits, key=self.busy)

    # ---- votes -----------------------------------------------------------------------------------------
    def on_stage(self, stage: Stage) -> None:
        old, now = self.stage, self.host.now
        if stage.answer not in (None, "ok"):        # a refused vote brings no news, whatever its fields say
            if self.vote_key and self.casts < 2 and stage.answer != "moot":
                verdict, self.vote_key = self.vote_key[2], None
                self.plan(verdict)
            return
        self.stage = stage
        if old is None or stage.build != old.build:
            self.judges = {}
            self.bound_keys = {key: build for key, build in self.bound_keys.items() if build >= stage.build}
        if stage.phase not in (ON_TRIAL, RELEASED):
            self.bound_keys.clear()
        if old is None or (stage.build, stage.number, stage.phase) != (old.build, old.number, old.phase):
            self.host.log(f"build {stage.build} stage {stage.number} {stage.phase}, cap {stage.cap:.2f}, "
                          f"{self.evidence()}")
            self.vote_key, self.casts, self.holding = None, 0, 0
            self.stage_since = now - stage.age
            agents = max(1, self.known["agents"])
            chance = self.known["vote_allowance"] * self.known["vote_life"] / S / agents
            if self.known["control"] == "share":
                chance = max(chance, self.known["on_votes"] / agents)
            self.votes = self.chance.random() < chance
            self.tend(stage)
            self.stir()

    def tend(self, stage: Stage) -> None:
        """Looks again from time to time for as long as this word of the platform stands."""
        now = self.stage
        if (now.build, now.number, now.phase) == (stage.build, stage.number, stage.phase):
            self.review()
            self.ticks += 1
            if self.ticks % 4 == 0:
                self.tell()
            self.host.at(self.host.now + 250 * MS, lambda: self.tend(stage))

    def review(self) -> None:
        stage, now, ratio = self.stage, self.host.now, self.log_ratio()
        if stage.phase not in (ON_TRIAL, RELEASED) or not self.votes:
            return
        if ratio > log(1 / ALPHA):
            self.plan(BACK)
        elif stage.phase == ON_TRIAL:
            starts = [a.started for a in self.fleet if a.build == stage.build]
            fresh = max(starts, default=0)
            if fresh < self.stage_since:            # this stage's machines are not listed yet
                fresh = self.stage_since + 8 * S
            undecided = ratio > log(HOLD_ABOVE)
            if undecided and not self.holding:
                self.holding = now
            held = self.holding and now - self.holding < HOLD_MOST and undecided
            if self.known["control"] == "timer":
                if held:
                    self.plan(HOLD)
            elif now >= fresh + ON_AFTER and not held:
                self.plan(ON)

    def plan(self, verdict: str) -> None:
        """One vote at a random moment within the spread; cast anew once when it lapsed or was refused."""
        key = (self.stage.build, self.stage.number, verdict)
        if self.vote_key == key or (self.vote_key and self.vote_key[2] == BACK):
            return
        self.casts = self.casts + 1 if self.casts and verdict == ON else 1
        self.vote_key = key
        self.host.at(self.host.now + VOTE_SPREAD // 2 + self.chance.randrange(VOTE_SPREAD), lambda: self.cast(key))

    def cast(self, key: tuple) -> None:
        if key != self.vote_key or key[:2] != (self.stage.build, self.stage.number):
            return
        self.host.log(f"vote {key[2]} build {key[0]} stage {key[1]}: {self.evidence()}")
        self.host.vote(*key)
        self.host.at(self.host.now + self.known["vote_life"], lambda: self.lapse(key))

    def lapse(self, key: tuple) -> None:
        if key == self.vote_key and self.casts < 2:
            self.vote_key = None
            self.casts = 1
            self.plan(key[2])
            self.casts = 2

    # ---- invocations: holding, dispatching, the final answer --------------------------------------------
    def stir(self) -> None:
        """Something changed: the best held invocations look again."""
        room = int(self.limit - self.open) + 1
        for inv in sorted(self.held, key=lambda i: (-i.operation.billed_value, i.taken))[:max(0, min(room, 4))]:
            self.host.wake(inv)

    def note_taken(self, inv: Invocation) -> None:
        now = self.host.now
        self.recent.append(now)
        if len(self.recent) > 4000:
            self.recent.popleft()
        self.spare_retries = min(20.0, self.spare_retries + 0.2)
        self.exposure(inv.operation).take(now)

    def handle(self, inv: Invocation) -> Steps:
        operation, known, host = inv.operation, self.known, self.host
        self.note_taken(inv)
        end = inv.expires - 2 * known["tick"]               # rule 1: the last moment for our answer
        useful = end if operation.late_value > 0 else min(end, inv.taken + operation.slo_time)
        group: Appliance | None = None                      # rule 2: where it may have run, and since when
        ran_at = 0
        while True:
            # 1. a place, or hold; overload is told by how long the oldest held one has waited
            held_until = min(useful, host.now + operation.slo_time // 3)
            place = None
            while not inv.concluded:
                if self.open < self.limit:
                    place = self.pick(inv, group)
                if place is not None or host.now >= held_until:
                    break
                self.held.append(inv)
                yield Wait(min(held_until, host.now + 50 * MS))
                self.held.remove(inv)
            if inv.concluded:
                return
            if place is None:
                yield self.give_up(inv, group)
                return
            # 2. dispatch
            patience = max(end - host.now, MS)
            if operation.effect != SIDE_EFFECTING and not known["may_duplicate"] and not inv.dispatches:
                patience = max((useful - host.now) * 6 // 10, MS)
            second_at = None
            if known["may_duplicate"] and operation.effect != SIDE_EFFECTING and self.calm():
                second_at = host.now + (useful - host.now) // 2
            dispatch = self.send(inv, place, patience, second_at)
            outcome = yield dispatch
            # 3. what came of it; a second copy where allowed
            while not inv.concluded and (inv.streaming or (open_ := [d for d in inv.dispatches if not d.ended])):
                if outcome is None and not inv.streaming and len(open_) == 1 and host.now >= (second_at or end):
                    ran = min(d.sent for d in inv.dispatches)
                    keep = open_[0].appliance
                    if operation.effect == IDEMPOTENT or host.now < ran + operation.window - 50 * MS:
                        place = self.pick(inv, None if operation.effect == IDEMPOTENT else keep)
                        if place is not None and place is not keep and self.may_retry(inv, 4.0):
                            outcome = yield self.send(inv, place, max(end - host.now, MS), None)
                            continue
                    second_at = end
                outcome = yield Wait(end if inv.streaming or second_at is None or host.now >= second_at else second_at)
                if host.now >= end and not inv.streaming:
                    break
            if inv.concluded:
                for d in inv.dispatches:
                    if not d.ended and known["may_cancel"]:
                        yield Cancel(d)
                return
            # 4. again, as its kind allows
            maybe = [d for d in inv.dispatches if d.ended not in NEVER_RAN]
            if maybe:
                group, ran_at = maybe[0].appliance, min(d.sent for d in maybe)
            again = host.now < useful - 20 * MS and self.may_retry(inv) and not (
                maybe and (operation.effect == SIDE_EFFECTING or (
                    operation.effect == FINGERPRINTED and host.now > ran_at + operation.window - 50 * MS)))
            if not again:
                yield self.give_up(inv, group)
                for d in inv.dispatches:
                    if not d.ended and known["may_cancel"]:
                        yield Cancel(d)
                return

    def calm(self) -> bool:
        return not self.held and self.open < 0.8 * self.limit

    def may_retry(self, inv: Invocation, price: float = 1.0) -> bool:
        """Guards against retry storms: further dispatches are a small part of the invocations taken."""
        if len(inv.dispatches) >= self.known["dispatch_limit"] or self.spare_retries < price:
            return False
        self.spare_retries -= price
        return True

    def send(self, inv: Invocation, place: Appliance, patience: int, until: int | None) -> Dispatch:
        """Books a dispatch that the gate has let through."""
        now, health = self.host.now, place.learned
        health.open += 1
        health.load += 1
        self.open += 1
        health.unanswered = health.unanswered or now
        if self.warmth(place) < 1.0:
            health.sends.append(now)
        if self.cap_of(place) is not None:
            self.exposure(inv.operation).sent(now)
        usual = self.open / sum(a.weight for a in self.fleet)
        crowded = health.open > 1 + 1.5 * usual * place.weight
        return Dispatch(place, patience, until, learned=crowded)

    def give_up(self, inv: Invocation, group: Appliance | None) -> Throttle | Terminate:
        """Throttled where that is true: nothing ran, or a repeat is harmless wherever it goes."""
        operation = inv.operation
        harmless = operation.effect == IDEMPOTENT or group is None or (
            operation.effect == FINGERPRINTED and operation.group == "all")
        advice = min(self.known["max_advice"], S) if self.known["may_advise"] else 0
        return Throttle(advice) if harmless else Terminate()

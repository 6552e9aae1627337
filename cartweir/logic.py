"""All decisions of one cartweir instance. Types in and out: interface.py; its memory: state.py.

The host (engine.py) makes one Agent(host, known, chance): `known` is the plain map of settings. It calls on_list,
on_stage, on_tally, on_flag, on_message, on_probe as news comes, observe() for every outcome, and runs handle() for
each invocation taken: a generator that yields what it wants done. Times are whole microseconds.
"""
from __future__ import annotations

import random
from collections import defaultdict, deque
from collections.abc import Mapping
from functools import partial
from math import log
from typing import Any

from .interface import (BACK, CANCELLED, ERROR, FINGERPRINTED, FULL, HOLD, IDEMPOTENT, MOOT, NEVER_RAN, ON, ON_TRIAL,
                        READY, RELEASED, RESET, SIDE_EFFECTING, SUCCEEDED, TIMEOUT, UNCONNECTED, Appliance, Cancel,
                        Dispatch, Host, Invocation, Operation, Outcome, Stage, Steps, Tally, Terminate, Throttle, Wait)
from .state import Histogram, Memory, Notes

MS, S = 1_000, 1_000_000
ALPHA = 0.05                                # the paper's level
EARLIER_BLOCK = 5                           # outcomes of earlier builds that a block needs; for each stream
SLOW, ERRORS = (20, 0.2), (8, 0.2)          # its trial outcomes and the Normal prior's width: small blocks
FLAGS, RARE = (80, 0.05), (120, 0.05)       # large blocks and narrow priors look for little
POOLED = ((30, 0.2), (30, 0.1))             # slowness and errors of all agents
FADE = 15 / 16                              # of the weight of past blocks, at each new one
SKIP = 5 * S                                # slowness of an appliance younger than this is no evidence
APART = 300 * MS                            # between samples of slowness at one appliance: a jam is one event
LOOK, STALL = 800 * MS, 150 * MS            # between looks at the evidence; an own stall
AFTER = 10 * S                              # of a release, in which slowness is still the build's
STALE = S                                   # after so long without an answer, a machine's load is not known
COLD = 0.55                                 # of the multiple at which a cold one falls: its part at most
SLOW_BY = 1.4                               # beyond the usual by more than cold memories of keys explain
ON_AFTER, VOTE_SPREAD = 3 * S, S // 2       # 'on' is due so long after the newest start, then spread out
HOLD_ABOVE, HOLD_MOST = 4.5, 3 * S          # undecided evidence delays 'on', at most so long a stage
EDGES = [round(10 * MS * 1.5 ** i) for i in range(18)]      # bins of times


# ---- judge: is the build on trial worse than the earlier one? ---------------------------------------
class Judge:
    """One stream: the paper's mixture likelihood ratio on our own blocks, with Normal densities."""

    def __init__(self, block: int, width: float, half: float = 0.5, level: float = ALPHA) -> None:
        self.block, self.width, self.half = block, width, half      # half a failure, as this stream counts
        self.few, self.least = 3, 0.1 if self.block == SLOW[0] else 0.0     # one in ten is slow at best
        self.level = level                                  # of an error of this agent, for the group's to be ALPHA
        self.precision = self.weighted = 0.0                # A and S of the design page
        self.counts, self.failures = [0, 0], [0.0, 0.0]     # of the open block: earlier, trial
        self.kept = (0, 0.0)                                # the earlier side of the last closed block
        self.blocks = 0

    def add(self, trial: bool, failures: float, count: int, alone: bool) -> None:
        """alone: released and the earlier machines are gone, so the last earlier side stands in."""
        self.counts[trial] += count
        self.failures[trial] += failures
        if alone and self.counts[False] < EARLIER_BLOCK:
            self.counts[False], self.failures[False] = self.kept
        if self.counts[False] > 5 * max(self.counts[True], 8):      # of late only: guards against jams, and v of 0
            self.counts[False], self.failures[False] = self.counts[False] / 2, self.failures[False] / 2
        if self.counts[True] < self.block or self.counts[False] < EARLIER_BLOCK:
            return
        precision, weighted = self.gain()
        self.kept, self.blocks = (self.counts[False], self.failures[False]), self.blocks + 1
        # blocks fade: guards against a build that turns bad late, or only once it bears the full load
        self.precision, self.weighted = self.precision * FADE + precision, self.weighted * FADE + weighted
        self.counts, self.failures = [0, 0], [0.0, 0.0]

    def gain(self) -> tuple[float, float]:
        """1/v and d/v of the open block; v takes the share that both sides would have if nothing differed."""
        shares = [min(1.0, failed / n) for failed, n in zip(self.failures, self.counts)]
        shares[False] = max(shares[False], self.least)
        both = (sum(s * n for s, n in zip(shares, self.counts)) + self.half) / (sum(self.counts) + 2 * self.half)
        spread = both * (1 - both) * (1 / self.counts[False] + 1 / self.counts[True]) * (2 * self.half) ** 0.5
        return 1 / spread, (shares[True] - shares[False]) / spread

    def log_ratio(self) -> float:
        """ln L; 0 while the new build looks no worse. An open block counts once it holds two failures: guards
        against agents with so little traffic that none of their blocks ever fills."""
        precision, weighted = self.precision, self.weighted
        if self.counts[False] >= EARLIER_BLOCK and self.failures[True] > self.few * self.half:
            precision, weighted = (old + new for old, new in zip((precision, weighted), self.gain()))
        if weighted <= 0 or (self.blocks < 2 and self.block == POOLED[0][0]):       # a jam fills one
            return 0.0
        grown = 1 + self.width ** 2 * precision
        return self.width ** 2 * weighted ** 2 / (2 * grown) - log(grown) / 2

    def margin(self) -> float:
        """Above 0: 'back' stands."""
        return self.log_ratio() + log(self.level)


class Jury:
    """All streams on the newest build; the one with the most to say decides."""

    def __init__(self, agent: Agent) -> None:
        self.agent, self.known = agent, agent.known
        self.judges: dict[tuple, Judge] = {}
        self.times: dict[tuple, Histogram] = defaultdict(partial(Histogram, EDGES, 400))
        # of earlier builds and the trial: answers, reports; timed, slow; told from errors, errors
        self.untold = [0] * 12
        self.failing: tuple = (None, 0)             # of the trial, the last to fail or to be slow, and when
        agents, needed = self.known["agents"], self.known["back_votes"] or 1
        # guards against one of very many being wrong: so small that fewer than are needed err together
        self.level = min(ALPHA, max(ALPHA * needed, needed - 2 * needed ** 0.5) / agents ** 0.5)

    def add(self, operation: Operation | None, stream: tuple, trial: bool, failures: float, count: int = 1):
        """Compared within one operation, so that a change of mix moves nothing; None: where all are alike."""
        if (operation, stream) not in self.judges:
            pooled = self.known["may_message"] and operation is None and stream not in (RARE, SLOW)
            self.judges[operation, stream] = Judge(*stream, level=ALPHA if pooled else self.level)
        self.judges[operation, stream].add(trial, failures, count, self.agent.alone())

    def worst(self) -> Judge:
        return max(self.judges.values(), key=Judge.margin, default=Judge(*SLOW))

    def evidence(self) -> str:
        worst = self.worst()
        return (f"ln L {worst.log_ratio():.2f}, {worst.blocks} blocks of {worst.block}, open: {worst.failures[1]:.0f} of "
                f"{worst.counts[1]:.0f} against {worst.failures[0]:.0f} of {worst.counts[0]:.0f}")

    def share(self, kind: int, trial: bool, failures: int, count: int, own: bool = True) -> None:
        """Streams that agents pool where they may message. Reported answers stand for those not reported."""
        if own:
            self.untold[4 * kind + trial] += count
            self.untold[4 * kind + 2 + trial] += failures
            if self.known["may_message"] and self.agent.hub() is not None:
                return                      # comes back with the sum
        if kind == 0 and (part := self.known["flag_share"]) > 0:
            self.add(None, (*FLAGS, 0.5 / part), trial, failures / part, count)
        elif kind and self.known["may_message"]:
            self.add(None, POOLED[kind - 1], trial, failures, count)

    def weigh(self, outcome: Outcome) -> None:
        """What is evidence in an outcome."""
        dispatch, how, now = outcome.dispatch, outcome.how, self.agent.host.now
        operation, appliance = dispatch.invocation.operation, dispatch.appliance
        trial = self.agent.on_newest(appliance)
        times, common = self.times[operation, appliance.kind], self.times[None, None]
        too_long = float("inf")     # well beyond the bin of nine tenths; of all, by parts of SLO times, where few
        if times.total >= 15:
            too_long = SLOW_BY * times.edge(0.9)
        elif common.total >= 15:
            too_long = SLOW_BY * common.edge(0.9) * operation.slo_time / S
        if not trial and how == SUCCEEDED:
            times.add(outcome.took)
            common.add(outcome.took * S // operation.slo_time)
        if not self.agent.judging() or how == CANCELLED or how in NEVER_RAN:
            return
        if how == SUCCEEDED:
            # guards against requests that fail anywhere: an error counts once a repeat has shown it needless
            for earlier in dispatch.invocation.dispatches:
                if earlier.ended == ERROR:
                    self.judged(earlier, True, True)
            self.share(0, trial, 0, 1)
        elif how == ERROR and not outcome.complete and operation.effect != SIDE_EFFECTING:
            return
        self.judged(dispatch, how in (ERROR, RESET), how != SUCCEEDED or outcome.took > too_long, how == TIMEOUT)

    def judged(self, dispatch: Dispatch, failed: bool, slow: bool, silent: bool = False) -> None:
        operation, appliance, now = dispatch.invocation.operation, dispatch.appliance, self.agent.host.now
        trial, health = self.agent.on_newest(appliance), appliance.learned
        if trial and (failed or slow) and len(self.agent.trial) > 1:
            last, self.failing = self.failing, (appliance, now)     # guards against a failing machine being
            if appliance is last[0] and now - last[1] < 3 * S:      # taken for a failing build
                return
        if failed and self.agent.stands_out(appliance):
            return
        if not silent:
            self.add(operation, ERRORS, trial, failed)
            self.add(None, RARE, trial, failed)
            self.share(2, trial, failed, 1)
        # a cold or crowded one is slow whatever its build; so are all after a jump, with none to compare
        young = appliance.started and now - appliance.started < SKIP
        single = trial and len(self.agent.trial) == 1      # the machine or the build: not to be told
        spoilt = young or single or dispatch.learned or self.agent.host.lag > STALL     # an own stall
        late = self.agent.alone() and now - self.agent.stage_since > AFTER
        if not (spoilt or late) and now - health.sampled > APART:
            health.sampled = now
            self.add(operation, SLOW, trial, slow)
            self.add(None, SLOW, trial, slow)
            self.share(1, trial, slow, 1)


# ---- exposure: dispatches at builds on trial ----------------------------------------------------------
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
        return cap > 0 and self.free >= 1 and all(
            count - i <= self.free + cap * (self.taken - send[1]) - 1e-9 for i, send in enumerate(self.sends))


class Agent(Memory):
    """One instance: the news, the pick, the votes and the invocations."""

    def __init__(self, host: Host, known: Mapping[str, Any], chance: random.Random) -> None:
        super().__init__(host, known, chance, spare_retries=10.0, watch=chance.random(), credit=chance.random() - 1)
        self.jury, self.relay = Jury(self), [0] * 12
        whole, apart = Exposure(known), known["per_operation"]
        self.exposures = {operation: Exposure(known) if apart else whole for operation in known["operations"]}
        if known["must_ask"]:
            host.subscribe()
            host.at(host.now + self.some(S), self.keep_asking)

    def some(self, time: int) -> int:
        return self.chance.randrange(time // 2, time)           # spreads agents out

    # ---- the list ----
    def keep_asking(self) -> None:
        """Until a subscription stands, ask again; well before not asking counts as having been told."""
        if not self.subscribed:
            self.host.subscribe()
            self.host.at(self.host.now + self.some(2 * S), self.keep_asking)

    def on_list(self, how: str, changed: list[Appliance]) -> None:
        if how == "failed":                 # the notice does not say whether an earlier one still stands
            if self.subscribed:
                self.host.at(self.host.now + self.some(S), self.keep_asking)
            self.subscribed = False
            return
        self.subscribed = self.subscribed or how != "cached"
        news = {id(appliance) for appliance in changed}
        self.fleet = [a for a in self.fleet if id(a) not in news] + [a for a in changed if a.state == READY]
        for appliance in changed:
            appliance.learned = appliance.learned or Notes()
        self.limit = max(self.limit, 2.0 * len(self.fleet) / self.known["agents"], 2.0)
        self.regroup()
        self.stir()

    def regroup(self) -> None:
        """The sides, and what is cold: kept, so that a dispatch costs the same however large the fleet is."""
        self.trial, self.earlier, self.cold = [], [], [a for a in self.fleet if self.warmth(a) < 1.0]
        for appliance in self.fleet:
            (self.earlier if self.cap_of(appliance) is None else self.trial).append(appliance)
        both = not self.earlier or self.known["in_place"] or self.stage and self.stage.phase != ON_TRIAL
        before = self.fleet if both else self.earlier
        self.places = sum(a.weight for a in before) or 1.0

    def on_tally(self, tally: Tally) -> None:
        """The platform's own count joins the block like our own outcomes."""
        if self.judging() and tally.count:
            self.jury.add(tally.operation, SLOW, tally.build >= self.stage.build, tally.failures, tally.count)
            self.review()

    def on_flag(self, operation: Operation, appliance: Appliance, age: int) -> None:
        if self.judging():
            self.jury.share(0, self.on_newest(appliance), 1, 0)
            self.review()

    def hub(self) -> int | None:
        """Who adds up the counts at present; None: all tell all, where agents are few."""
        agents = self.known["agents"]
        return None if agents <= 8 else (self.stage.build * 31 + self.host.now // (2 * S)) % agents

    def on_message(self, sender: int, figures: list[int]) -> None:
        """Counts from another agent, of what one agent alone sees too little; a sum has a 0 in front."""
        if len(figures) in (13, 14) and self.judging() and figures[-13] == self.stage.build:
            if len(figures) == 13 and self.hub() is not None:
                self.relay = [old + new for old, new in zip(self.relay, figures[1:])]
            else:
                self.pool(figures[-12:])

    def pool(self, figures: list[int]) -> None:
        for at in (0, 1, 4, 5, 8, 9):
            if figures[at] or figures[at + 2]:
                self.jury.share(at // 4, bool(at % 4), figures[at + 2], figures[at], own=False)
        self.review()

    def tell(self) -> None:
        """Own counts go to all, or to the hub, whose sum goes to all: messages grow evenly with the agents."""
        untold = self.jury.untold
        if not self.known["may_message"] or not self.judging():
            return
        hub, news = self.hub(), any(untold[1::4] + untold[3::4])
        if hub is None and any(untold):
            self.host.message(None, [self.stage.build, *untold])
        elif hub == self.known["me"]:
            self.relay = [old + new for old, new in zip(self.relay, untold)]
        elif hub is not None and news:
            self.host.message(hub, [self.stage.build, *untold])
        if hub in (None, self.known["me"]) or news:
            self.jury.untold = [0] * 12
        if any(self.relay):
            relay, self.relay = self.relay, [0] * 12
            self.host.message(None, [0, self.stage.build, *relay])
            self.pool(relay)

    def alone(self) -> bool:
        return self.stage is None or not any(a.build < self.stage.build for a in self.earlier)

    def on_newest(self, appliance: Appliance) -> bool:
        return self.stage is not None and appliance.build == self.stage.build

    def judging(self) -> bool:
        phase = self.stage.phase if self.stage else None
        return phase == RELEASED or (phase == ON_TRIAL and not self.alone())

    # ---- health: every outcome passes here first -----------------------------------------------------------
    def observe(self, outcome: Outcome) -> None:
        dispatch, how, now = outcome.dispatch, outcome.how, self.host.now
        appliance, health = dispatch.appliance, dispatch.appliance.learned
        self.open, health.open, self.answered = self.open - 1, health.open - 1, self.answered + (how == SUCCEEDED)
        if how in (SUCCEEDED, ERROR, FULL):
            health.unanswered = health.silences = 0
        elif how in (TIMEOUT, RESET, UNCONNECTED):
            health.silences += 2 if how == UNCONNECTED else 1
        if how == SUCCEEDED:
            self.hear(health, outcome.load)
            health.good, health.strikes = health.good + 1, 0
        elif how not in (CANCELLED, MOOT):
            health.bad += 1
        if health.good + health.bad >= 16:
            health.good, health.bad = health.good / 2, health.bad / 2
        operation = dispatch.invocation.operation
        key = dispatch.invocation.key if self.known["one_way"] and self.stage else None
        if how == SUCCEEDED and key and appliance.build >= self.stage.build + (self.stage.phase != ON_TRIAL):
            self.bound_keys[key] = appliance.build
        if how not in (SUCCEEDED, CANCELLED, MOOT) and now >= health.shut_until and (
                health.silences > 3 or self.stands_out(appliance)):
            health.strikes = min(health.strikes + 1, 4)
            health.shut_until = now + (S << health.strikes) // 2
            self.host.log(f"shut {appliance.ident}: {how}, strike {health.strikes}, silent {health.silences} "
                          f"bad {health.bad:.0f}, good {health.good:.0f}")
        self.jury.weigh(outcome)
        if self.jury.worst().margin() > 0:
            self.review()
        self.bound(how, outcome.took / operation.slo_time, outcome.took / min(dispatch.patience, operation.slo_time))
        self.stir()

    def bound(self, how: str, took: float, of_patience: float) -> None:
        """On own open dispatches: follows how quickly answers come; settles where one in eight is slow."""
        if how in (SUCCEEDED, FULL):
            self.crawling = how == FULL or took > 0.3       # guards against lost answers taken for overload
        if how == FULL or (self.crawling if how == TIMEOUT else of_patience > 0.7):
            least = max(0.1, 1.5 * len(self.fleet) / self.known["agents"])
            self.limit = max(self.limit - min(14 / self.limit, 0.35 * self.limit), least)
        elif self.open + 1 >= 0.7 * self.limit:
            self.limit += min(2 / self.limit, 0.05 * self.limit)

    def hear(self, health: Notes, load: Mapping[str, float] | None, took: int = 0) -> None:
        """An answer: its report of what the machine holds or how busy it is; without one, a probe's time."""
        health.heard = self.host.now
        if load or took:
            load = load or {"inflight": took / (50 * MS)}
            health.load, health.load_at = load.get("inflight", 3 * load.get("util", 0.0)), self.host.now

    def stands_out(self, appliance: Appliance) -> bool:
        """Fails far more than its build's other appliances: then it is the machine and not the build."""
        health = appliance.learned
        if health.bad < 3 or health.bad_share() < 0.4:
            return False
        peers = [a.learned for a in self.fleet if a.build == appliance.build and a is not appliance]
        bad, good = sum(p.bad for p in peers), sum(p.good for p in peers)
        return bool(peers) and bad / (bad + good + 1) < health.bad_share() / 2

    # ---- pick: which appliance ---------------------------------------------------------------------------
    def cap_of(self, appliance: Appliance) -> float | None:
        """The cap of a build on trial; None for one that is not."""
        stage = self.stage
        if stage is None:
            return None if appliance.build <= min((a.build for a in self.fleet), default=0) else 0.0
        if appliance.build > stage.build:
            return (*self.known["caps"], 0.0)[0]    # not announced yet: as in its first stage
        if appliance.build < stage.build or stage.phase == RELEASED:
            return None
        return stage.cap        # on the way back it falls to 0 only when earlier machines are there

    def warmth(self, appliance: Appliance) -> float:
        """The share of its capacity that a started appliance has at least."""
        age, warm_time = max(0, self.host.now - appliance.started), self.known["warm_time"]
        ramp = age / warm_time if appliance.started and age < warm_time else 1.0
        return ramp + (1 - ramp) * self.known["cold_share"]

    def warm_up(self) -> None:
        """Guards cold appliances against the sum of all agents: each invocation taken earns this agent their
        even part of it, cut to what is warm and to what succeeds; whole dispatches come of it in time."""
        self.asked, self.taken = self.asked + 1, self.taken + 1
        if self.asked > 40:
            self.asked, self.answered = self.asked / 2, self.answered / 2
        if self.cold:
            self.cold = [a for a in self.cold if a.state == READY and self.warmth(a) < 1.0]
            part = sum(a.weight * self.warmth(a) for a in self.cold) / self.places
            served = min(1.0, (self.answered + 2) / (self.asked + 2))
            if self.credit >= 0:            # not spent at once: lapses, or all agents would save up for a burst
                self.credit = self.chance.random() - 1
            most = 1.0 if self.known["in_place"] else 2.0
            self.credit += part * served * min(most, self.known["fall_multiple"] * COLD)

    def may_repeat(self, inv: Invocation, appliance: Appliance) -> bool:
        """Rule 2, for whatever was sent before and may have run or still be out."""
        operation, maybe = inv.operation, [d for d in inv.dispatches if d.ended not in NEVER_RAN]
        if not self.known["may_duplicate"] and any(d.ended is None for d in maybe):
            return False
        if not maybe or operation.effect == IDEMPOTENT:
            return True
        return operation.effect == FINGERPRINTED and all(
            self.host.now < d.sent + operation.window - 50 * MS and (operation.group == "all" or (
                appliance.zone == d.appliance.zone and operation.group == "zone") or (
                appliance.cell == d.appliance.cell and operation.group == "cell")) for d in maybe)

    def may_go(self, inv: Invocation, appliance: Appliance) -> bool:
        """The gate that no dispatch passes by: drains, shut ones, repeats, cold ones, exposure, keys."""
        health, stage = appliance.learned, self.stage
        if appliance.state != READY or health.shut_until > self.host.now or (health.strikes and health.open):
            return False
        if self.credit < 0 and self.warmth(appliance) < 1.0:
            return False
        cap = self.cap_of(appliance) if self.may_repeat(inv, appliance) else 0.0
        if cap is None:     # once released, any key may have been answered: a late earlier machine gets none
            over = self.known["one_way"] and inv.key and stage and stage.phase == RELEASED
            return appliance.build >= (stage.build if over else self.bound_keys.get(inv.key, 0))
        number = stage.number if self.on_newest(appliance) else 0
        return self.exposures[inv.operation].room(self.host.now, cap) and (
            inv.operation.effect == IDEMPOTENT or number >= self.known["guarded_stages"])

    def busy(self, appliance: Appliance) -> float:
        health, now = appliance.learned, self.host.now
        load = max(health.open + 0.5, health.load if now - health.load_at < S else 0)
        load += 4 * (health.heard < health.probed)          # guards against appliances that stand still
        load += 2 * (0 < health.unanswered < now - 400 * MS)
        load += 0.3 * (appliance.zone != self.known["zone"])
        return load * (1 + 4 * health.bad_share()) / (max(appliance.weight, 0.01) * self.warmth(appliance))

    def draw(self, inv: Invocation, side: list[Appliance], tried: list[Appliance]) -> list[Appliance]:
        """Two random ones that fit; the whole side is looked at only when draws find none."""
        def fits(appliance: Appliance) -> bool:
            health = appliance.learned      # silent to the latest probe while most are answered: seldom tried
            mute = health.heard < health.probed < self.host.now - 100 * MS and (
                self.chance.random() < min(0.9, self.probes_answered))
            return appliance not in tried and not mute and self.may_go(inv, appliance)
        found: list[Appliance] = []
        for appliance in self.chance.sample(side, min(8, len(side))):
            if fits(appliance):
                found.append(appliance)
            if len(found) == 2:
                break
        if not found and len(side) > 8 and (found := [a for a in side if fits(a)]):
            found = self.chance.sample(found, min(2, len(found)))
        return found

    def watches(self) -> bool:
        """Where the free number alone lets agents send far more than their part, few send all they may and the
        others none: guards against evidence spread so thin that nobody holds any."""
        part = sum(a.weight for a in self.trial if self.warmth(a) >= 1.0) / self.places
        share = part / min(1.0, max(self.stage.cap, 0.01) + self.known["free"] / max(self.pace, 0.5))
        few = share < 0.5 and share * self.known["agents"] >= 8
        return self.watch < share if few else self.chance.random() < part

    def pick(self, inv: Invocation) -> list[Appliance]:
        """The trial gets its machines' part, so that it is judged at full load before its release, from the
        cold credit or by chance. Repeats go to the earlier build, unless the key must stay."""
        tried, sides = [d.appliance for d in inv.dispatches], [self.earlier, self.trial]
        fair = self.stage and self.stage.phase == ON_TRIAL and not (self.vote and self.vote[2] == BACK)
        if not tried and self.cold and self.credit >= 0:
            sides.insert(0, [a for a in self.cold if fair or self.cap_of(a) is None])
        elif not tried and fair and self.trial and self.watches():
            sides.reverse()
        for skip in (tried, []) if tried else ([],):
            for side in sides:
                if found := self.draw(inv, side, skip):
                    return found
        return []

    def on_probe(self, appliance: Appliance, answered: bool, took: int, load: Mapping[str, float] | None) -> None:
        """An unanswered one is no reason to shut anything: it only makes probes rarer."""
        health = appliance.learned
        self.probes_answered += (answered - self.probes_answered) / 16
        if answered:
            self.hear(health, load, took)
            for inv in self.probing:
                self.host.wake(inv)

    def unsure(self, fits: list[Appliance]) -> list[Appliance]:
        """Which of a pair to probe: guards against agents whose own dispatches are too few to tell of a load,
        a standstill or a slow link."""
        stale = [a for a in fits if self.host.now - a.learned.heard > STALE]
        worth = self.known["may_probe"] and len(fits) == 2 and len(stale) > 0
        return stale if worth and self.chance.random() < max(self.probes_answered, 0.05) else []

    # ---- votes -------------------------------------------------------------------------------------------
    def on_stage(self, stage: Stage) -> None:
        old, known = self.stage, self.known
        if stage.answer not in (None, "ok"):        # a refused vote brings no news, whatever its fields say
            if stage.answer != "moot":
                self.recast(self.vote)
            return
        self.stage = stage
        self.regroup()
        if old is None or stage.build != old.build:
            self.jury.judges, self.jury.untold, self.relay = {}, [0] * 12, [0] * 12
            self.jury.failing, self.watch = (None, 0), self.chance.random()
        kept = stage.build + (stage.phase != ON_TRIAL)
        self.bound_keys = {key: build for key, build in self.bound_keys.items() if build >= kept}
        if old is None or stage.word != old.word:
            if self.jury.worst().log_ratio() > 0:
                self.host.log(f"build {stage.build} stage {stage.number} {stage.phase}: {self.jury.evidence()}")
            self.vote, self.undecided_since, self.stage_since = None, 0, self.host.now - stage.age
            voters = max(known["vote_allowance"] * known["vote_life"] / S,
                         known["on_votes"] if known["control"] == "share" else 0)
            self.votes = self.chance.random() < voters / known["agents"]
            self.tend(stage)
            self.stir()

    def tend(self, stage: Stage) -> None:
        """Looks again from time to time for as long as this word of the platform stands."""
        if self.stage.word == stage.word:
            self.review()
            self.tell()
            self.pace += (self.taken * self.known["window"] / LOOK - self.pace) / 8
            self.taken = 0
            self.host.at(self.host.now + LOOK, lambda: self.tend(stage))

    def review(self) -> None:
        stage, now, worst = self.stage, self.host.now, self.jury.worst()
        if stage.phase not in (ON_TRIAL, RELEASED) or not self.votes:
            return
        if worst.margin() > 0:
            self.plan(BACK)
        elif stage.phase == ON_TRIAL:
            starts = [a.started for a in self.trial if a.build == stage.build]
            due = self.known["shares"][stage.number] * len(self.fleet if self.known["in_place"] else self.earlier)
            newest = max(starts, default=0)
            if newest < self.stage_since or len(starts) < due - 1e-6:     # this stage's machines are not listed yet
                newest = self.stage_since + 8 * S
            undecided = worst.log_ratio() > log(HOLD_ABOVE)
            self.undecided_since = self.undecided_since or (now if undecided else 0)
            held = undecided and now - self.undecided_since < HOLD_MOST
            if held and self.known["control"] == "timer":
                self.plan(HOLD)
            elif not held and self.known["control"] != "timer" and now >= newest + ON_AFTER:
                self.plan(ON)

    def plan(self, verdict: str) -> None:
        """One vote at a random moment within the spread; cast anew once when it lapsed or was refused."""
        vote = (self.stage.build, self.stage.number, verdict)
        if self.vote not in (vote, (*vote[:2], BACK)):
            self.vote, self.may_recast = vote, True
            wait = self.some(2 * VOTE_SPREAD if verdict != BACK else 100 * MS)
            self.host.at(self.host.now + wait, lambda: self.cast(vote))

    def cast(self, vote: tuple) -> None:
        if vote == self.vote:
            if vote[2] != ON or self.jury.worst().log_ratio() > 0:
                self.host.log(f"vote {vote[2]} build {vote[0]} stage {vote[1]}: {self.jury.evidence()}")
            self.host.vote(*vote)
            self.host.at(self.host.now + self.known["vote_life"], lambda: self.recast(vote))

    def recast(self, vote: tuple | None) -> None:
        if vote and vote == self.vote and self.may_recast:
            self.may_recast = False
            self.host.at(self.host.now + self.some(VOTE_SPREAD), lambda: self.cast(vote))

    # ---- invocations: holding, dispatching, the final answer ----------------------------------------------
    def stir(self) -> None:
        """Something changed: the best held invocations look again."""
        room = max(0, min(int(self.limit - self.open + 1), 4))
        for inv in sorted(self.held, key=lambda i: (-i.operation.billed_value, i.taken))[:room]:
            self.host.wake(inv)

    def handle(self, inv: Invocation) -> Steps:
        operation, known, host = inv.operation, self.known, self.host
        self.warm_up()
        self.spare_retries = min(20.0, self.spare_retries + 0.2)
        self.exposures[operation].take(host.now)
        end = inv.expires - 2 * known["tick"]               # rule 1: the last moment for our answer
        useful = end if operation.late_value > 0 else min(end, inv.taken + operation.slo_time)
        part = self.chance.random()                         # chance stands for what is less than one dispatch
        while True:
            # 1. a place, or hold; overload is told by how long the oldest held one has waited
            held_until, fits = min(useful, host.now + operation.slo_time // 6), []
            while not inv.concluded:
                if self.open + part < self.limit:
                    fits = self.pick(inv)
                if fits or host.now >= held_until:
                    break
                self.held.append(inv)
                yield Wait(min(held_until, host.now + 50 * MS))
                self.held.remove(inv)
            if not fits or inv.concluded:
                break
            if asked := self.unsure(fits):
                since, wait = host.now, min(useful, host.now + operation.slo_time // 15)
                for appliance in asked:
                    appliance.learned.probed = host.now
                    host.probe(appliance)
                self.probing.append(inv)
                while not inv.concluded and host.now < wait and not all(a.learned.heard >= since for a in asked):
                    yield Wait(wait)
                    if any(a.learned.heard >= since for a in asked):
                        wait = min(wait, host.now + 2 * known["tick"])
                self.probing.remove(inv)
                fits = [a for a in fits if self.may_go(inv, a)]
            if inv.concluded:
                break
            if not fits:
                continue
            place = min(fits, key=self.busy)
            # 2. dispatch; a second copy where one is allowed and little waits
            patience, second_at = end - host.now, end
            if operation.effect != SIDE_EFFECTING:
                if known["may_duplicate"] and not self.held and self.open < 0.8 * self.limit:
                    second_at = host.now + (useful - host.now) // 2
                elif not known["may_duplicate"] and not inv.dispatches:
                    patience = (useful - host.now) * 6 // 10
            yield self.send(inv, place, patience, second_at)
            while not inv.concluded and (inv.streaming or any(d.ended is None for d in inv.dispatches)):
                if host.now >= end and not inv.streaming:
                    break
                if host.now < second_at or inv.streaming:
                    yield Wait(second_at if host.now < second_at else None)
                    continue
                second_at, place = end, min(self.pick(inv), key=self.busy, default=None)
                if place and place not in [d.appliance for d in inv.dispatches] and self.may_retry(inv, 4.0):
                    yield self.send(inv, place, end - host.now, end)
            # 3. again, if there is use in it
            if inv.concluded or host.now >= useful - 20 * MS or not self.may_retry(
                    inv, 0.25 if inv.dispatches[-1].ended in (ERROR, UNCONNECTED) else 1.0) or [
                    d.ended for d in inv.dispatches].count(ERROR) > 1 or not any(
                    self.may_repeat(inv, a) for a in self.fleet):
                break
        if not inv.concluded:
            yield self.give_up(inv)
        for dispatch in inv.dispatches:
            if dispatch.ended is None and known["may_cancel"]:
                yield Cancel(dispatch)

    def may_retry(self, inv: Invocation, price: float) -> bool:
        """Guards against retry storms: further dispatches are a small part of the invocations taken."""
        if may := len(inv.dispatches) < self.known["dispatch_limit"] and self.spare_retries >= price:
            self.spare_retries -= price
        return may

    def send(self, inv: Invocation, place: Appliance, patience: int, until: int) -> Dispatch:
        """Books a dispatch that the gate has let through."""
        now, health = self.host.now, place.learned
        self.open, health.open, health.load = self.open + 1, health.open + 1, health.load + 1
        health.unanswered = health.unanswered or now
        if self.warmth(place) < 1.0:
            self.credit -= 1
        if self.cap_of(place) is not None:
            exposure = self.exposures[inv.operation]
            exposure.sends.append([now, exposure.taken])
        crowded = health.open > 1 + 1.5 * self.open / sum(a.weight for a in self.fleet) * place.weight
        return Dispatch(place, max(patience, MS), until, learned=crowded)

    def give_up(self, inv: Invocation) -> Throttle | Terminate:
        """Throttled where that is true: nothing ran, or a repeat is harmless wherever it goes."""
        everywhere = {IDEMPOTENT} | ({FINGERPRINTED} if inv.operation.group == "all" else set())
        harmless = inv.operation.effect in everywhere or all(d.ended in NEVER_RAN for d in inv.dispatches)
        advice = min(self.known["max_advice"], S) if self.known["may_advise"] else 0
        return Throttle(advice) if harmless else Terminate()

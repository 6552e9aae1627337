"""All decisions of one cartweir instance. Types in and out: interface.py; its plain memory: state.py.

The host (engine.py) makes one Agent(host, known, chance), `known` being the plain map of settings. It calls
the methods on_... as news comes, observe() for every outcome, and runs handle() for each invocation taken: a
generator that yields what it wants done. Times are whole microseconds.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping
from math import exp, inf, log
from typing import Any

from .interface import (
    BACK,
    CACHED,
    CANCELLED,
    DELTA,
    ERROR,
    FAILED,
    FINGERPRINTED,
    FULL,
    HOLD,
    IDEMPOTENT,
    NEVER_RAN,
    OBSOLETE,
    ON,
    ON_TRIAL,
    READY,
    RELEASED,
    RESET,
    SIDE_EFFECTING,
    SNAPSHOT,
    SUCCEEDED,
    TIMEOUT,
    UNANSWERED,
    UNCHANGED,
    UNCONNECTED,
    UNREACHABLE,
    ActionGenerator,
    Appliance,
    Cancel,
    Dispatch,
    Host,
    Invocation,
    Operation,
    Outcome,
    Probe,
    Stage,
    Tally,
    Terminate,
    Throttle,
    Wait,
)
from .state import Counts, Histogram, Ledger, Memory, Notes
from .window import WindowBudget

MS, S = 1_000, 1_000_000
ALPHA = 0.05  # the paper's level
EARLIER_BLOCK = 5  # outcomes of earlier builds that a block needs; for each stream
SLOW, ERRORS = (20, 0.2), (8, 0.2)  # its trial outcomes and the Normal prior's width
FLAGS, POOLED = (80, 0.2), ((80, 0.08), (30, 0.2), (30, 0.1))  # reports; these, slowness, errors of all
BEFORE, TALLY_STREAM, LITTLE, MUCH = (40, 0.3), (60, 0.2), 0.15, 0.3  # all against when the trial had little
FADE = 15 / 16  # of the weight of past blocks, at each new one
SKIP = 5 * S  # slowness of an appliance younger than this is no evidence
SLOW_BY = 1.4  # beyond what cold memories of keys explain
FEW = 4.0  # so many open ones an agent is free to reach
SINGLE = 0.4  # of a cut, where the late answer came behind a quick one
LOOK, STALL, STALE = 500 * MS, 150 * MS, S  # between looks at evidence; own stall; load is no longer known
THRIFT = 0.01  # of the worth asked for: what probes may cost
STAY, ENOUGH = 0.9, 6  # of the dispatches, on standing connections, where so many stand
UNREAD = 0.6  # of the SLO time: out for longer may be answered unread
FIT = 0.7  # of the cap: what one-way keys may bind
COLD = 0.55  # of the multiple at which a cold one falls: its part at most
ANNOUNCED_WITHIN, LEASE_MARGIN = 6 * S, 100 * MS  # the platform's; a request may be under way at the end
RESTART_TIME, PRESUMED_DOWN_AFTER = (
    2 * S,
    40 * S,
)  # at least, once discovery went; how long a silence is a queue
BACKOFFS = 2  # doublings, from a second, of the pause before discovery is asked
ON_AFTER, VOTE_SPREAD = 3 * S, S // 2  # 'on' is due so long after the newest start, then spread out
HOLD_ABOVE, HOLD_MOST = 4.5, 3 * S  # undecided evidence delays 'on', at most so long a stage
RESPONSE_TIME_EDGES = [round(10 * MS * 1.5**i) for i in range(18)]  # bins of times


# ---- judge: is the build on trial worse than the earlier one? ---------------------------------------
class Judge(Counts):
    """One stream: the paper's mixture likelihood ratio on our own blocks, with Normal densities."""

    def add(self, trial: bool, failures: float, count: int, alone: bool) -> None:
        """alone: released and the earlier machines are gone, so the last earlier side stands in."""
        self.counts[trial], self.failures[trial] = self.counts[trial] + count, self.failures[trial] + failures
        if alone and self.counts[False] < EARLIER_BLOCK:
            self.counts[False], self.failures[False] = self.last_earlier
        most = 5 * max(self.counts[True], self.block if self.block > SLOW[0] else ERRORS[0])
        if self.counts[False] > most and not alone:  # of late only: guards against jams
            self.counts[False], self.failures[False] = self.counts[False] / 2, self.failures[False] / 2
        if self.counts[True] >= self.block and self.counts[False] >= EARLIER_BLOCK:
            # blocks fade: guards against a build that turns bad late, or only once it bears the full load
            self.totals = [old * FADE + new for old, new in zip(self.totals, self.gain())]
            self.last_earlier, self.blocks = (self.counts[False], self.failures[False]), self.blocks + 1
            self.counts, self.failures = [0, 0], [0.0, 0.0]

    def gain(self) -> list[float]:
        """Of the open block: 1/v and d/v, but for the share that v takes; and all outcomes and failures."""
        shares = [min(1.0, failed / n) for failed, n in zip(self.failures, self.counts)]
        shares[False] = max(shares[False], 0.1 * (self.block == SLOW[0]))  # by what slow means
        weight = 1 / (1 / self.counts[False] + 1 / self.counts[True])
        failures = sum(share * n for share, n in zip(shares, self.counts))
        return [weight, weight * (shares[True] - shares[False]), sum(self.counts), failures]

    def log_ratio(self) -> float:
        """ln L. An open block counts from two failures on: with little traffic none ever fills. v takes the
        share that both sides would have in common, of all blocks, lest good ones outweigh bad ones."""
        totals = self.totals
        if (
            self.counts[False] >= EARLIER_BLOCK
            and self.counts[True]
            and (  # reports come after these
                self.failures[True] > self.least * self.half
            )
        ):
            totals = [old + new for old, new in zip(totals, self.gain())]
        precision, weighted, count, failures = totals
        if weighted <= 0 or (self.blocks < 2 and self.block == POOLED[1][0]):  # a jam fills one
            return 0.0
        both = (failures + self.half) / (count + 2 * self.half)
        spread = both * (1 - both) * (2 * self.half) ** 0.5
        grown = 1 + self.width**2 * precision / spread
        return self.width**2 * (weighted / spread) ** 2 / (2 * grown) - log(grown) / 2

    def margin(self) -> float:
        return self.log_ratio() + log(self.level)  # above 0: 'back' stands


class Jury:
    def __init__(self, agent: Agent) -> None:
        self.agent, self.settings = agent, agent.settings
        self.streams: dict[tuple, Judge] = {}
        self.response_times: dict[str, Histogram] = {}
        self.usual: dict[Operation, int] = {}  # mean times by tallies, before the trial had traffic
        self.untold, self.failing = Ledger(), (None, 0)  # the latter: last of the trial to fail, and when
        # guards against one of very many being wrong: the more may vote and the fewer are needed, the smaller
        agents, needed = self.settings["agents"], self.settings["back_votes"] or 1
        self.level = min(ALPHA, max(ALPHA * needed, needed - 2 * needed**0.5) / agents**0.5)

    def add(
        self,
        operation: Operation | None,
        stream: tuple,
        trial: bool,
        failures: float,
        count: int = 1,
        alone: bool | None = None,
    ) -> None:
        """Compared within one operation, so that a change of mix moves nothing; None: where all are alike."""
        if (operation, stream) not in self.streams:
            pooled = stream == TALLY_STREAM or (
                self.settings["may_message"] and operation is None and stream not in (SLOW, BEFORE)
            )
            of = f"{operation.name if operation else 'all'} {stream[0]}/{stream[1]}"
            self.streams[operation, stream] = Judge(*stream, level=ALPHA if pooled else self.level, of=of)
            if stream[0] == FLAGS[0] and not pooled and self.settings["back_votes"] > 1:
                self.streams[operation, stream].least = 1  # one report, as others must have one too
            elif stream == BEFORE:
                self.streams[operation, stream].least = 5  # three machines, lest a few be taken for all
        alone = self.agent.alone if alone is None else alone
        self.streams[operation, stream].add(trial, failures, count, alone)

    def strongest(self) -> Judge:
        return max(self.streams.values(), key=Judge.margin, default=Judge(*SLOW, level=ALPHA))

    def add_pooled(self, kind: int, trial: bool, failures: int, count: int, own: bool = True) -> None:
        """Streams that agents pool where they may message. Reported answers stand for those not reported."""
        if own and self.settings["may_message"]:  # comes back with the sum
            self.untold.note(kind, trial, count, failures)
        elif kind == 0 and (part := self.settings["flag_share"]) > 0:
            self.add(None, (*(FLAGS if own else POOLED[0]), 0.5 / part), trial, failures / part, count)
        elif kind and not own:
            self.add(None, POOLED[kind], trial, failures, count)

    def weigh(self, outcome: Outcome) -> None:
        dispatch, how, appliance = outcome.dispatch, outcome.result, outcome.dispatch.appliance
        operation, trial = dispatch.invocation.operation, self.agent.on_newest(appliance)
        times = self.response_times.setdefault(appliance.kind, Histogram(RESPONSE_TIME_EDGES, 400))
        slo_time = operation.slo_time  # times are in parts of it, so that operations pool
        too_long = SLOW_BY * times.edge(0.9) * slo_time / S if times.total >= 15 else inf
        if not trial and how == SUCCEEDED:
            times.add(outcome.duration * S // slo_time)
        if not self.agent.judging() or how == CANCELLED or how in NEVER_RAN:
            return
        if how == SUCCEEDED:  # guards against what fails anywhere: errors count once repeated well
            for earlier in (d for d in dispatch.invocation.dispatches if d.result == ERROR):
                self.judged(earlier, True, True)
            self.add_pooled(0, trial, 0, 1)
            self.compare(appliance, outcome.duration > too_long)
        final = outcome.complete or operation.effect == SIDE_EFFECTING
        if how != ERROR or (final and not self.agent.alone):  # alone: no repeat tells it apart
            self.judged(dispatch, how in (ERROR, RESET), how != SUCCEEDED or outcome.duration > too_long)

    def before(self) -> bool | None:
        """Whether the trial has much of the traffic now (True) or little (False). Guards against a build that
        slows every machine alike, in step with its traffic: no side by side comparison shows it."""
        stage = self.agent.stage
        part, beside = self.settings["shares"][stage.number], not self.settings["in_place"]
        return part > MUCH if beside and stage.phase == ON_TRIAL and (part < LITTLE or part > MUCH) else None

    def compare(self, appliance: Appliance, slow: bool) -> None:
        """Own answers against before, where several must agree: one agent's machines and moment are not all.
        Each machine counts once a stage, when all of its are in: a few slow ones are not all."""
        much, agent, now = self.before(), self.agent, self.agent.host.now
        counts = not appliance.started or now - appliance.started >= SKIP
        if much:
            counts = (
                counts
                and now > agent.newest() + S
                and appliance.decision_state.told_in != agent.stage.identity
            )
        if (
            much is not None
            and counts
            and agent.host.lag <= STALL
            and (self.settings["back_votes"] > 1 and appliance.zone == self.settings["zone"])
        ):
            appliance.decision_state.told_in = agent.stage.identity
            self.add(None, BEFORE, much, slow, alone=much)

    def tallied(self, tally: Tally) -> None:
        """Earlier builds' mean time now against before; the sample is the same at all agents."""
        much, count, agent = self.before(), tally.count - tally.failures, self.agent
        begun = agent.host.now - tally.age - self.settings["tally_time"]
        if much is None or count <= 0 or (much and begun < agent.stage_since):
            return
        usual = self.usual.setdefault(tally.operation, tally.mean_time)
        if not much:
            self.usual[tally.operation] = usual + (tally.mean_time - usual) // 16
        slow = exp(-SLOW_BY * log(10) * usual / tally.mean_time)  # were times exponential
        self.add(None, TALLY_STREAM, much, slow * count, count, alone=much)

    def judged(self, dispatch: Dispatch, failed: bool, slow: bool) -> None:
        operation, appliance, now = dispatch.invocation.operation, dispatch.appliance, self.agent.host.now
        trial, trials = self.agent.on_newest(appliance), len(self.agent.trial)
        if trial and (failed or slow) and trials > 1:  # in a row a machine counts once in 3 s, lest it
            if appliance is self.failing[0] and now - self.failing[1] < 3 * S:  # be taken for a bad build
                return
            self.failing = (appliance, now)
        if dispatch.result != TIMEOUT:
            self.add(operation, ERRORS, trial, failed)
            self.add_pooled(2, trial, failed, 1)
        # a cold one is slow whatever its build; a single one or an own stall tells nothing, nor a jump in
        # load as the earlier machines go
        spoilt = (
            now - appliance.started < SKIP
            and appliance.started
            or self.agent.host.lag > STALL
            or (trial and trials == 1)
            or self.agent.alone
        )
        if not spoilt:
            self.add(operation, SLOW, trial, slow)
            self.add(None, SLOW, trial, slow)
            if sum(now - a.started >= SKIP for a in self.agent.trial) > 5:  # a few: not the build's doing
                self.add_pooled(1, trial, slow, 1)


# ---- lease: for how long the list is relied on without a word of discovery --------------------------------
class ListLease:
    """Rule 3. A change counts as told once discovery could be reached with it for ANNOUNCED_WITHIN, arrived
    or not: the lease ends so long, and the grace of a drain, after discovery fell silent."""

    def __init__(self, drain_grace: int) -> None:
        self.term = ANNOUNCED_WITHIN + drain_grace - LEASE_MARGIN
        self.silent_since: int | None = None  # None: discovery tells something, or was not missed yet
        self.age_known = True  # False: of a list that a new process was given

    def update(self, how: str, now: int, waited: int | None) -> None:
        if how not in (UNREACHABLE, UNANSWERED):
            self.silent_since, self.age_known = None, True
        elif (
            how == UNREACHABLE and self.silent_since is None
        ):  # it announces nothing, and is not back at once
            self.silent_since = now + RESTART_TIME
        elif how == UNREACHABLE and self.age_known:  # to a list of unknown age that adds nothing
            self.silent_since = max(now, self.silent_since)
        elif how == UNANSWERED and self.silent_since is None:
            self.silent_since = now - (ANNOUNCED_WITHIN if waited is None else waited)
            self.age_known = waited is not None

    def holds(self, now: int) -> bool:
        """No queue at discovery lasts for PRESUMED_AWAY: then the list is better than none."""
        silence = -inf if self.silent_since is None else now - self.silent_since
        return silence < self.term or silence >= PRESUMED_DOWN_AFTER


class Agent(Memory):
    def __init__(self, host: Host, settings: Mapping[str, Any], chance: random.Random) -> None:
        super().__init__(host, settings, chance, retry_budget=10.0)
        self.least_value = min((o.billed_value for o in settings["operations"]), default=1.0) or 1.0
        self.cold_credit, self.owed, self.evidence = chance.random() - 1, chance.random(), Jury(self)
        self.list_lease = ListLease(settings["drain_grace"])
        span, apart = settings["window"] + 2 * settings["tick"], settings["per_operation"]
        whole = WindowBudget(span, settings["free"])
        self.exposure_budgets = {
            operation: WindowBudget(span, settings["free"]) if apart else whole
            for operation in settings["operations"]
        }
        if settings["must_ask"]:
            host.subscribe()
            self.ask_in(self.some(S))

    def restore(self, bound: dict[str, int], forgot: bool, spent: bool) -> None:
        """Of a life before this one. What is not known counts as worst: exposure as spent, keys as bound."""
        self.bound_keys, self.bound_keys_incomplete = dict(bound), forgot and self.settings["one_way"]
        for exposure in {id(e): e for e in self.exposure_budgets.values()}.values():
            for _ in range(int(exposure.free) * spent):
                exposure.add(self.host.now)

    def binds_key(self, appliance: Appliance) -> bool:
        """Whether its answer binds a one-way key."""
        return bool(self.stage) and appliance.build >= self.stage.build + (self.stage.phase != ON_TRIAL)

    def some(self, time: int) -> int:
        return self.chance.randrange(time // 2, time)  # spreads agents out

    # ---- the news ----
    def ask_in(self, wait: int) -> None:
        self.next_subscribe_at = self.host.now + wait
        self.host.call_at(self.next_subscribe_at, self.keep_asking)

    def keep_asking(self) -> None:
        if (
            not self.subscribed and self.host.now >= self.next_subscribe_at
        ):  # an earlier timer has been replaced
            self.host.subscribe()
            self.ask_in(self.some(2 * S))  # well before not asking counts as having been told

    def on_list(self, how: str, changed: list[Appliance], waited: int | None = 0) -> None:
        """waited: without an answer, how long one was waited for; None: for an unknown time, not by us."""
        self.list_lease.update(how, self.host.now, waited)
        if (
            how in (UNREACHABLE, UNANSWERED) and waited is not None
        ):  # backs off: failed calls fill its queue too
            self.failed_calls += 1
            pause = self.chance.randrange(S << min(self.failed_calls, BACKOFFS))
            self.ask_in(max(pause, self.some(2 * S) - waited))
        elif how == FAILED and self.subscribed:
            self.ask_in(self.some(S))
        if how not in (DELTA, SNAPSHOT, CACHED):  # failed: whether an earlier one still stands is not told
            self.subscribed = how == UNCHANGED
            return
        self.subscribed, self.failed_calls = self.subscribed or how != CACHED, 0
        news = {id(appliance) for appliance in changed}
        self.fleet = [a for a in self.fleet if id(a) not in news] + [a for a in changed if a.state == READY]
        for appliance in changed:
            appliance.decision_state = appliance.decision_state or Notes()
        self.concurrency_limit = max(
            self.concurrency_limit, 2.0 * len(self.fleet) / self.settings["agents"], FEW
        )
        self.regroup()
        self.wake_held()

    def regroup(self) -> None:
        """The sides, and what is cold: kept, so that a dispatch costs the same however large the fleet is."""
        self.lowest_build = min((a.build for a in self.fleet), default=0)
        self.trial, self.earlier, self.cold = [], [], [a for a in self.fleet if self.warmth(a) < 1.0]
        for appliance in self.fleet:
            (self.earlier if self.cap_of(appliance) is None else self.trial).append(appliance)
        both = not self.earlier or self.settings["in_place"] or (self.stage and self.stage.phase != ON_TRIAL)
        self.alone = self.stage is None or not any(a.build < self.stage.build for a in self.earlier)
        self.places = sum(a.weight for a in (self.fleet if both else self.earlier)) or 1.0

    def on_tally(self, tally: Tally) -> None:
        if self.judging() and tally.build < self.stage.build and tally.mean_time:
            self.evidence.tallied(tally)

    def on_flag(self, operation: Operation, appliance: Appliance, age: int) -> None:
        if self.judging():
            self.evidence.add_pooled(0, self.on_newest(appliance), 1, 0)

    def hub(self) -> int:  # who adds up the counts at present: messages grow evenly with the agents
        return (self.stage.build * 31 + self.host.now // (2 * S)) % self.settings["agents"]

    def on_message(self, sender: int, figures: list[int]) -> None:
        """Counts of what one agent sees too little: another's for the hub, or a sum with a 0 in front."""
        if len(figures) in (13, 14) and self.judging() and figures[-13] == self.stage.build:
            (self.relay.merge if len(figures) == 13 else self.pool)(figures[-12:])

    def pool(self, figures: list[int]) -> None:
        for kind, trial, count, failures in Ledger(figures).rows():
            self.evidence.add_pooled(kind, trial, failures, count, own=False)
        self.review()

    def tell(self) -> None:
        """Own counts go to the hub once the trial is among them; its sum goes to all."""
        if self.hub() == self.settings["me"]:
            self.relay.merge(self.evidence.untold.take())
        elif self.evidence.untold.of_trial():
            self.host.message(self.hub(), [self.stage.build, *self.evidence.untold.take()])
        if any(figures := self.relay.take()):
            self.host.message(None, [0, self.stage.build, *figures])
            self.pool(figures)

    def on_newest(self, appliance: Appliance) -> bool:
        return self.stage is not None and appliance.build == self.stage.build

    def judging(self) -> bool:
        return bool(self.stage) and self.stage.phase in ((RELEASED,) if self.alone else (RELEASED, ON_TRIAL))

    # ---- health: every outcome passes here first -----------------------------------------------------------
    def observe(self, outcome: Outcome) -> None:
        dispatch, how, now = outcome.dispatch, outcome.result, self.host.now
        appliance, health = dispatch.appliance, dispatch.appliance.decision_state
        self.open_dispatches, self.answered = self.open_dispatches - 1, self.answered + (how == SUCCEEDED)
        health.note(how, 16)
        if how == UNCONNECTED or (how == SUCCEEDED and not health.linked):  # what new connections come to
            self.links[appliance.zone] = (self.links.get(appliance.zone, 0.0) * 7 + (how == UNCONNECTED)) / 8
        if how in (SUCCEEDED, ERROR, FULL, UNCONNECTED):
            health.linked = now * (how != UNCONNECTED)
        if how == SUCCEEDED:
            self.hear(health, outcome.load, outcome.duration, False)
        key = dispatch.invocation.key if self.settings["one_way"] else None
        if key:
            (out := self.keys_out[key, appliance.build]).remove(dispatch.sent)
            if not out:
                del self.keys_out[key, appliance.build]
        unread = how in (RESET, TIMEOUT, CANCELLED)  # guards against answers given but never read
        if (how == SUCCEEDED or unread) and key and self.binds_key(appliance):
            self.bound_keys[key] = appliance.build
        if health.unanswered_count > 3 and now >= health.closed_until:
            health.closures = min(health.closures + 1, 4)
            health.closed_until = now + (S << health.closures) // 2
            self.host.log(
                f"shut {appliance.id}: {how}, strike {health.closures}, silent {health.unanswered_count}"
            )
        self.evidence.weigh(outcome)
        if self.evidence.strongest().margin() > 0:
            self.review()
        # the bound on own open dispatches settles where one answer in eight is slow
        slo_time = dispatch.invocation.operation.slo_time
        crawled = self.crawling
        if how in (SUCCEEDED, FULL):  # guards against lost answers being taken for overload
            self.crawling = how == FULL or outcome.duration > 0.3 * slo_time
        late = outcome.duration > 0.7 * slo_time and self.host.lag <= STALL  # clients in a hurry: no overload
        if appliance.zone == self.settings["zone"]:
            self.strain += (late - self.strain) / 16
        if how == FULL or (late and (self.crawling or how != TIMEOUT)):
            least = max(0.1, 1.5 * len(self.fleet) / self.settings["agents"])
            cut = min(14 / self.concurrency_limit, 0.35 * self.concurrency_limit) * (
                1.0 if crawled or how == FULL else SINGLE
            )
            self.concurrency_limit = max(self.concurrency_limit - cut, least)
        elif (
            self.open_dispatches + 1 >= 0.7 * self.concurrency_limit or self.concurrency_limit < FEW
        ):  # which few answers never test
            self.concurrency_limit += min(2 / self.concurrency_limit, 0.05 * self.concurrency_limit)
        self.wake_held()

    def hear(self, health: Notes, load: Mapping | None, took: int, probe: bool) -> None:
        health.heard = self.host.now
        load = load or ({"inflight": took / (50 * MS)} if probe else {})
        if "inflight" in load or "util" in load:
            health.load, health.load_at = load.get("inflight", 3 * load.get("util", 0.0)), self.host.now
        elif "queue" in load:  # those in work by Little's law
            health.load = load["queue"] + load.get("rate", 0.0) * load.get("mean_ms", 0.0) / 1000
            health.load_at = self.host.now
        elif probe:
            self.probes_report_load = False

    def on_probe(self, appliance: Appliance, answered: bool, took: int, load: Mapping | None) -> None:
        """An unanswered one is no reason to shut anything: it only makes probes rarer."""
        self.probes_answered += (answered - self.probes_answered) / 16
        if answered:
            self.hear(appliance.decision_state, load, took, True)

    # ---- pick: which appliance ---------------------------------------------------------------------------
    def cap_of(self, appliance: Appliance) -> float | None:
        stage = self.stage  # the cap of a build on trial; None for one that is not
        if stage is None:
            return None if appliance.build <= self.lowest_build else 0.0
        if appliance.build > stage.build:
            return (*self.settings["caps"], 0.0)[0]  # not announced yet: as in its first stage
        if appliance.build < stage.build or stage.phase == RELEASED:
            return None
        return stage.cap  # on the way back it falls to 0 only when earlier machines are there

    def warmth(self, appliance: Appliance) -> float:
        age, warm_time = max(0, self.host.now - appliance.started), self.settings["warm_time"]
        ramp = age / warm_time if appliance.started and age < warm_time else 1.0
        return ramp + (1 - ramp) * self.settings["cold_share"]

    def warm_up(self) -> None:
        """Guards cold ones against the sum of all agents: an invocation taken earns their even part of it,
        cut to what is warm and to what succeeds; whole dispatches come of it in time."""
        self.asked += 1
        if self.asked > 40:
            self.asked, self.answered = 20.0, self.answered / 2
        self.pace = 0.0
        if self.cold:
            self.cold = [a for a in self.cold if a.state == READY and self.warmth(a) < 1.0]
            part = sum(a.weight * self.warmth(a) for a in self.cold) / self.places
            served = min(1.0, (self.answered + 2) / (self.asked + 2))
            if self.cold_credit >= 0:  # not spent at once: lapses, or all agents would save up for a burst
                self.cold_credit = self.chance.random() - 1
            most = min(2 - 0.5 * self.settings["in_place"], self.settings["fall_multiple"] * COLD)
            self.pace = part * served * most
            self.cold_credit += self.pace

    def may_repeat(
        self, invocation: Invocation, appliance: Appliance, leaving: Dispatch | None = None
    ) -> bool:
        """Rule 2, for whatever was sent before and may have run or still be out."""
        operation = invocation.operation
        maybe = [d for d in invocation.dispatches if d.result not in NEVER_RAN and d is not leaving]
        if not self.settings["may_duplicate"] and any(d.result is None for d in maybe):
            return False
        if not maybe or operation.effect == IDEMPOTENT:
            return True
        return operation.effect == FINGERPRINTED and all(
            self.host.now < d.sent + operation.window - 50 * MS
            and {
                "all": True,
                "zone": appliance.zone == d.appliance.zone,
                "cell": appliance.cell == d.appliance.cell,
            }[operation.group]
            for d in maybe
        )

    def may_go(self, invocation: Invocation, appliance: Appliance) -> bool:
        """The gate that no dispatch passes by: drains, shut ones, repeats, cold ones, exposure, keys."""
        health = appliance.decision_state
        shut = health.closed_until > self.host.now or (health.closures and health.open_dispatches)
        leaving = appliance.state != READY or not self.list_lease.holds(self.host.now)
        if leaving or shut or (self.cold_credit < 0 and self.warmth(appliance) < 1.0):
            return False
        return self.may_repeat(invocation, appliance) and self.may_meet(invocation, appliance)

    def may_meet(self, invocation: Invocation, appliance: Appliance) -> bool:
        """Exposure and keys."""
        stage, cap = self.stage, self.cap_of(appliance)
        if (
            cap is None
            and self.bound_keys_incomplete
            and invocation.key
            and (stage is None or stage.phase == ON_TRIAL)
        ):
            return False  # the trial may have answered it
        if cap is None:  # once released, any key may have been answered: a late earlier machine gets none
            over = (
                self.settings["one_way"]
                and invocation.key
                and stage
                and (
                    stage.phase == RELEASED
                    or (
                        stage.phase == ON_TRIAL
                        and self.host.now
                        > UNREAD * invocation.operation.slo_time
                        + min(self.keys_out.get((invocation.key, stage.build), ()), default=self.host.now)
                    )
                )
            )
            return appliance.build >= (stage.build if over else self.bound_keys.get(invocation.key, 0))
        number = stage.number if self.on_newest(appliance) else 0
        return self.exposure_budgets[invocation.operation].room(self.host.now, cap) and (
            invocation.operation.effect == IDEMPOTENT or number >= self.settings["guarded_stages"]
        )

    def busy(self, appliance: Appliance) -> float:
        health, now = appliance.decision_state, self.host.now
        load = max(health.open_dispatches + 0.5, health.load if now - health.load_at < S else 0)
        load += 4 * (health.heard < health.probed)  # guards against appliances that stand still
        load += 0.3 * (appliance.zone != self.settings["zone"])
        return load * (1 + 4 * health.bad_share()) / max(appliance.weight * self.warmth(appliance), 0.01)

    def fits(self, invocation: Invocation, appliance: Appliance, tried: list[Appliance]) -> bool:
        health = appliance.decision_state  # silent to its latest probe while most are answered: seldom tried
        mute = health.heard < health.probed < self.host.now - 100 * MS and (
            self.chance.random() < min(0.9, self.probes_answered)
        )
        return appliance not in tried and not mute and self.may_go(invocation, appliance)

    def handy(self, side: list[Appliance]) -> list[Appliance]:
        """Of the own zone, which costs least, unless that is strained. Where new connections fail, those that
        have one, and also where many have and a new one has its price: guards against appliances that take
        few, links that break off, and agents that each leave their connections idle for new ones."""
        home, now, idle = self.settings["zone"], self.host.now, self.settings["idle_time"]
        stays, luck = side is self.earlier and self.chance.random() >= 4 * self.strain, self.chance.random()
        near = [a for a in side if a.zone == home] if stays else side
        linked = [a for a in near or side if 0 < a.decision_state.linked > now - idle]
        if self.settings["connect_price"] > 0 and len(linked) >= ENOUGH and luck < STAY:
            return linked
        return [
            a
            for a in near or side
            if 0 < a.decision_state.linked > now - idle or luck >= min(0.9, 2 * self.links.get(a.zone, 0.0))
        ]

    def draw(self, invocation: Invocation, side: list[Appliance], tried: list[Appliance]) -> list[Appliance]:
        found: list[Appliance] = []  # two random ones; the whole side is looked at only if none fits
        handy = self.handy(side)
        for appliance in self.chance.sample(handy, min(8, len(handy))):
            if len(found) < 2 and self.fits(invocation, appliance, tried):
                found.append(appliance)
        if not found and (found := [a for a in side if self.fits(invocation, a, tried)]):
            found = self.chance.sample(found, min(2, len(found)))
        return found

    def pick(self, invocation: Invocation) -> list[Appliance]:
        """The trial gets its machines' part, to be judged at full load before its release. Repeats go to the
        earlier build, unless the key must stay."""
        tried, sides = [d.appliance for d in invocation.dispatches], [self.earlier, self.trial]
        fair = self.stage and self.stage.phase == ON_TRIAL  # also after an own 'back': evidence grows
        part = sum(a.weight for a in self.trial if self.warmth(a) >= 1.0) / self.places
        if fair and self.settings["one_way"]:  # the cap holds in any short span, keys come in bursts
            part = min(part, FIT * self.stage.cap)
        # a key that the trial answers binds all that follow, which must fit its part: of the latest, how many
        bound, least = invocation.key in self.bound_keys, len(self.recent) + 1
        taken = sum(map(self.bound_keys.__contains__, self.recent)) / least
        if not tried and self.cold and self.cold_credit >= 0:
            fits = fair and (bound or taken < min(part + self.pace / 2, FIT * self.stage.cap))
            sides.insert(0, [a for a in self.cold if fits or self.cap_of(a) is None])
        elif not tried and fair and (bound or self.owed >= 1):
            sides.reverse()
        choices = (
            self.draw(invocation, side, skip) for skip in ((tried, []) if tried else ([],)) for side in sides
        )
        found = next(filter(None, choices), [])
        if found and fair and not tried and not bound:
            # owed, not drawn: of two drawn in a row one has no room under the cap
            paid = self.owed >= 1 and self.cap_of(found[0]) is not None
            self.owed = min(self.owed + max(0.0, part - taken) / (1 - taken), 2.0) - paid
        return found

    def unsure(self, pair: list[Appliance]) -> list[Appliance]:
        """Whom to probe: own dispatches may be too few to tell of a load, a standstill or a slow link."""
        stale = [a for a in pair if self.host.now - a.decision_state.heard > STALE]
        worth = self.settings["may_probe"] and len(pair) == 2 and self.probes_report_load
        # guards against a fleet whose probes cost more than they tell: each asks little, all together much
        often = min(1.0, THRIFT / max(self.settings["probe_price"], THRIFT))
        return stale if worth and self.chance.random() < often * max(self.probes_answered, 0.05) else []

    # ---- votes -------------------------------------------------------------------------------------------
    def on_stage(self, stage: Stage) -> None:
        old, settings = self.stage, self.settings
        if stage.vote_answer not in (None, "ok"):  # a refused vote brings no news, whatever its fields say
            return (
                None
                if stage.vote_answer == OBSOLETE
                else self.recast(self.current_vote, stage.vote_answer == FULL)
            )
        self.stage = stage
        self.regroup()
        self.bound_keys_incomplete = self.bound_keys_incomplete and (old is None or stage.build == old.build)
        if old is None or stage.build != old.build:
            self.evidence.streams, self.evidence.usual, self.evidence.untold, self.relay = (
                {},
                {},
                Ledger(),
                Ledger(),
            )
            self.evidence.failing = (None, 0)
        kept = stage.build + (stage.phase != ON_TRIAL)
        self.bound_keys = {key: build for key, build in self.bound_keys.items() if build >= kept}
        if old is None or stage.identity != old.identity:
            self.current_vote, self.undecided_since, self.stage_since = None, 0, self.host.now - stage.age
            self.due = settings["shares"][stage.number] * len(
                self.fleet if settings["in_place"] else self.earlier
            )
            needed, agents = settings["on_votes"] if settings["control"] == "share" else 0, settings["agents"]
            enough = needed + 3 * (needed * max(0.0, 1 - needed / agents)) ** 0.5  # also by an unlucky draw
            voters = max(settings["vote_allowance"] * settings["vote_life"] / S, enough)
            self.is_voter = self.chance.random() < voters / agents
            self.tend(stage)
            self.wake_held()

    def tend(self, stage: Stage) -> None:
        if self.stage.identity == stage.identity:
            self.review()
            if self.judging() and self.settings["may_message"]:
                self.tell()
            self.host.call_at(self.host.now + LOOK, lambda: self.tend(stage))

    def review(self) -> None:
        stage, now, worst, settings = self.stage, self.host.now, self.evidence.strongest(), self.settings
        if stage.phase not in (ON_TRIAL, RELEASED) or not self.is_voter:
            return
        if worst.margin() > 0:
            self.plan(BACK)
        elif stage.phase == ON_TRIAL:
            undecided = worst.log_ratio() > log(HOLD_ABOVE)
            self.undecided_since = self.undecided_since or (now if undecided else 0)
            held = undecided and now - self.undecided_since < HOLD_MOST
            if held and settings["control"] == "timer":
                self.plan(HOLD)
            elif not held and settings["control"] != "timer" and now >= self.newest() + ON_AFTER:
                self.plan(ON)

    def newest(self) -> int:
        """When the stage's newest machine started; 8 s after its launch while not all of them are listed."""
        newest = max((a.started for a in self.trial), default=0)
        listed = newest >= self.stage_since and len(self.trial) >= self.due - 1e-6
        return newest if listed else self.stage_since + 8 * S

    def plan(self, verdict: str) -> None:
        """One vote at a random moment within the spread; cast anew as it lapses or is refused."""
        vote = (self.stage.build, self.stage.number, verdict)
        if self.current_vote not in (vote, (*vote[:2], BACK)):
            self.current_vote, self.may_recast = vote, True
            wait = self.chance.randrange(2 * VOTE_SPREAD) if verdict != BACK else self.some(100 * MS)
            self.host.call_at(self.host.now + wait, lambda: self.cast(vote))

    def cast(self, vote: tuple) -> None:
        if vote == self.current_vote:
            worst = self.evidence.strongest()
            if (ratio := worst.log_ratio()) > 0 or vote[2] != ON:
                self.host.log(f"vote {vote[2]} build {vote[0]} stage {vote[1]}: ln L {ratio:.2f}, {worst}")
            self.host.vote(*vote)
            self.cast_at = self.host.now
            self.host.call_at(self.host.now + self.settings["vote_life"], lambda: self.lapse(vote))

    def lapse(self, vote: tuple) -> None:
        if vote == self.current_vote and self.host.now >= self.cast_at + self.settings["vote_life"]:
            if vote[2] == BACK and self.evidence.strongest().margin() <= 0:
                self.current_vote = None
            else:
                self.cast(vote)

    def recast(self, vote: tuple | None, full: bool) -> None:
        """Of a refused vote: soon where too many came at once, and once where it may be the platform's fault;
        a recast that fails too stands for a platform that is away."""
        if vote and vote == self.current_vote:
            wait = self.some(VOTE_SPREAD if full or self.may_recast else self.settings["vote_life"] // 2)
            self.may_recast = full and self.may_recast
            self.host.call_at(
                self.host.now + wait, lambda at=self.cast_at: self.cast_at == at and self.cast(vote)
            )

    # ---- invocations: holding, dispatching, the final answer ----------------------------------------------
    def wake_held(self) -> None:
        room = max(0, min(int(self.concurrency_limit - self.open_dispatches + 1), 4))
        for invocation in sorted(self.held, key=lambda i: (-i.operation.billed_value, i.arrived_at))[:room]:
            self.host.wake(invocation)

    def handle(self, invocation: Invocation) -> ActionGenerator:
        operation, settings, host = invocation.operation, self.settings, self.host
        self.warm_up()
        self.retry_budget = min(20.0, self.retry_budget + 0.2)
        self.exposure_budgets[operation].take(host.now)
        if settings["one_way"] and invocation.key:
            self.recent.append(invocation.key)
        end = invocation.deadline - 2 * settings["tick"]  # rule 1: the last moment for our answer
        useful = end if operation.late_value > 0 else min(end, invocation.arrived_at + operation.slo_time)
        scarce = min(2.0, operation.billed_value / self.least_value)  # in overload, worth most goes first
        part = self.chance.random()  # chance stands for what is less than one dispatch
        while True:
            # 1. a pair, or hold; overload is told by how long the oldest held one has waited
            held_until, pair = min(useful, host.now + operation.slo_time // 6), []
            while not invocation.concluded:
                if (
                    self.open_dispatches + part < self.concurrency_limit * scarce or host.lag > STALL
                ):  # a stall withheld these
                    pair = self.pick(invocation)
                if pair or host.now >= held_until:
                    break
                self.held.append(invocation)
                yield Wait(min(held_until, host.now + 50 * MS))
                self.held.remove(invocation)
            if pair and (asked := self.unsure(pair)) and not invocation.concluded:
                for appliance in asked:
                    appliance.decision_state.probed = host.now
                yield Probe(asked, min(useful, host.now + operation.slo_time // 15))
                if not invocation.concluded and not (pair := [a for a in pair if self.may_go(invocation, a)]):
                    continue
            if not pair or invocation.concluded:
                break
            # 2. dispatch; a second copy where one is allowed and little waits
            patience, second_at = end - host.now, end
            if operation.effect != SIDE_EFFECTING:
                if settings["may_duplicate"]:
                    second_at = host.now + (useful - host.now) // 2
                elif not settings["may_duplicate"] and not invocation.dispatches:
                    patience = (useful - host.now) * 9 // 10
            yield self.send(invocation, min(pair, key=self.busy), patience, second_at)
            while not invocation.concluded and (
                invocation.streaming
                or (host.now < end and any(d.result is None for d in invocation.dispatches))
            ):
                if host.now < second_at or invocation.streaming:
                    yield Wait(second_at if host.now < second_at else None)
                    continue
                if (
                    self.held or self.open_dispatches >= 0.8 * self.concurrency_limit
                ):  # not now, perhaps a little later
                    second_at = host.now + operation.slo_time // 16 if host.now < useful else end
                    continue
                second_at, tried = end, [d.appliance for d in invocation.dispatches]
                place = min(self.pick(invocation), key=self.busy, default=None)
                if place and place not in tried and self.may_retry(invocation, 3.0):
                    yield self.send(invocation, place, end - host.now, end)
            # 3. again, if there is use in it: what has erred twice errs anywhere
            ended = [d.result for d in invocation.dispatches]
            if (
                invocation.concluded
                or host.now >= useful - 20 * MS
                or ended.count(ERROR) > 1
                or not self.may_retry(invocation, 0.25 if ended[-1] in (ERROR, UNCONNECTED) else 1.0)
                or not any(self.may_repeat(invocation, a) for a in self.fleet)
            ):
                break
        if not invocation.concluded:
            yield self.give_up(invocation)
        for dispatch in invocation.dispatches:
            if dispatch.result is None and settings["may_cancel"]:
                yield Cancel(dispatch)

    def may_retry(self, invocation: Invocation, price: float) -> bool:
        """Guards against retry storms: further dispatches are a small part of the invocations taken."""
        if may := len(invocation.dispatches) < self.settings["dispatch_limit"] and self.retry_budget >= price:
            self.retry_budget -= price
        return may

    def send(self, invocation: Invocation, place: Appliance, patience: int, until: int) -> Dispatch:
        health, exposure = place.decision_state, self.exposure_budgets[invocation.operation]
        self.open_dispatches, health.open_dispatches, health.load = (
            self.open_dispatches + 1,
            health.open_dispatches + 1,
            health.load + 1,
        )
        self.cold_credit -= self.warmth(place) < 1.0
        dispatch = Dispatch(place, max(patience, MS), until)
        if self.cap_of(place) is not None:
            dispatch.decision_state = exposure.add(self.host.now)
        if self.settings["one_way"] and invocation.key:
            self.keys_out.setdefault((invocation.key, place.build), []).append(self.host.now)
        return dispatch

    def may_send(self, dispatch: Dispatch) -> bool:
        """One that waited outside for its connection goes now, if it still may, and counts from now: guards
        against a build on trial getting in one burst what was let through one by one, and against a repeat
        that leaves once its window is over."""
        invocation, place = dispatch.invocation, dispatch.appliance
        exposure = self.exposure_budgets[invocation.operation]
        exposure.drop(dispatch.decision_state)
        ready = place.state == READY and self.list_lease.holds(self.host.now)
        may = (
            not invocation.concluded
            and not invocation.streaming
            and ready
            and (self.may_repeat(invocation, place, dispatch) and self.may_meet(invocation, place))
        )
        if may and self.cap_of(place) is not None:
            dispatch.decision_state = exposure.add(self.host.now)
        return may

    def give_up(self, invocation: Invocation) -> Throttle | Terminate:
        """Throttled where that is true: nothing ran, or a repeat is harmless wherever it goes."""
        effect, everywhere = invocation.operation.effect, invocation.operation.group == "all"
        harmless = (
            effect == IDEMPOTENT
            or (effect == FINGERPRINTED and everywhere)
            or all(d.result in NEVER_RAN for d in invocation.dispatches)
        )
        advice = min(self.settings["max_advice"], S) * self.settings["may_advise"]
        return Throttle(advice) if harmless else Terminate()

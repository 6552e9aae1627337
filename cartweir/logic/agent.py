"""The decisions of one agent: takes what the host reports, and runs a generator for each invocation."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any

from ..interface import (
    FINGERPRINTED,
    FULL,
    IDEMPOTENT,
    NEVER_RAN,
    OBSOLETE,
    ON_TRIAL,
    READY,
    SUCCEEDED,
    ActionGenerator,
    Appliance,
    Dispatch,
    Host,
    Invocation,
    Operation,
    Outcome,
    Stage,
    Tally,
    Terminate,
    Throttle,
)
from ..state import FLAG_COUNTS, ApplianceHealth, SharedCounts
from .builds import exposure_cap, is_judged, runs_newest_build
from .count_exchange import CountExchange
from .evidence import Evidence
from .exposure import make_budgets, within_limits
from .health import MAX_UNANSWERED, eject, record_answer, record_outcome
from .invocation_handler import Decisions, InvocationHandler
from .list_lease import ListLease
from .one_way_keys import (
    binds_key,
    bound_share,
    lowest_build,
    one_way_key,
    record_dispatch,
    record_key_outcome,
    share_of_others,
)
from .overload import adjust_concurrency_limit, raise_limit_to_fleet, retry_advice
from .rollout_order import is_outdated, rollout_place
from .selection import CHOICES, MOST_AVOIDED, preferred
from .slow_start import SlowStart, warmth
from .subscription import ListSubscription
from .timing import MILLISECOND
from .voting import Voting, draw_voter

LOOK_INTERVAL = 500 * MILLISECOND  # between two looks at the evidence

INITIAL_RETRY_BUDGET = 10.0
MAX_RETRY_BUDGET = 20.0
RETRIES_PER_INVOCATION = 0.2  # what an invocation adds to the budget

PROBE_MEMORY = 16  # one probe counts for one part in this many
PROBE_ANSWER_TIME = 100 * MILLISECOND  # an appliance that has not answered a probe by then may stand still
SAMPLE = 8  # random appliances that are looked at before the whole side is
MAX_WOKEN = 4  # held invocations that are woken at a time

KEY_PART = 0.7  # of the cap: what one-way keys may bind
MAX_TRIAL_DEFICIT = 2.0

WINDOW_MARGIN = 50 * MILLISECOND  # repeats are no longer sent so shortly before the end of a window
MIN_TIMEOUT = MILLISECOND


class Agent(Decisions):
    """All decisions of one instance.

    Attributes:
        least_value: the least worth of an answer, over all operations.
        evidence: evidence on the newest build.
        voting: votes on its stage.
        count_exchange: counts that are exchanged with other agents.
        list_lease: whether the list of appliances may be relied on.
        list_subscription: the subscription to that list.
        slow_start: what cold appliances may get.
    """

    def __init__(self, host: Host, settings: Mapping[str, Any], rng: random.Random) -> None:
        super().__init__(host, settings, rng, retry_budget=INITIAL_RETRY_BUDGET)
        self.least_value = min((o.billed_value for o in settings["operations"]), default=1.0) or 1.0
        self.slow_start = SlowStart(self)
        self.trial_deficit = rng.random()
        self.evidence = Evidence(self)
        self.voting = Voting(self, self.evidence)
        self.count_exchange = CountExchange(self, self.evidence, self.voting)
        self.list_lease = ListLease(settings["drain_grace"])
        self.exposure_budgets = make_budgets(self)
        self.list_subscription = ListSubscription(self)
        if settings["must_ask"]:
            self.list_subscription.start()

    def restore(self, bound: dict[str, int], incomplete: bool, spent: bool) -> None:
        """Restores what an earlier process left. The worst is assumed of what is not known.

        Args:
            bound: one-way keys, and the newest build that answered each.
            incomplete: other keys may have been bound.
            spent: the free sends of the exposure window count as used.
        """
        self.bound_keys, self.bound_keys_incomplete = dict(bound), incomplete and self.settings["one_way"]
        for budget in {id(each): each for each in self.exposure_budgets.values()}.values():
            for _ in range(int(budget.free) * spent):
                budget.add(self.host.now)

    def binds_key(self, appliance: Appliance) -> bool:
        """Returns whether an answer of the appliance binds a one-way key."""
        return binds_key(self, appliance.build)

    # ---- the list of appliances ----
    def on_list(
        self, status: str, changed: list[Appliance], waited: int | None = 0, confirms: bool = True
    ) -> None:
        """Takes the result of a request for the list of appliances.

        Args:
            status: one of the constants in `interface`.
            changed: the appliances that have changed.
            waited: without an answer, how long one was waited for, None: for an unknown time, not by this
                agent; of an update, for how long it has been arriving.
            confirms: no further update has arrived with it. One that has another behind it, or comes from an
                address that has been replaced, renews nothing.
        """
        if confirms:
            self.list_lease.update(status, self.host.now, waited)
        if not self.list_subscription.update(status, waited):
            return
        changed_ids = {id(appliance) for appliance in changed}
        unchanged = [a for a in self.fleet if id(a) not in changed_ids]
        self.fleet = unchanged + [a for a in changed if a.state == READY]
        for appliance in changed:
            appliance.decision_state = appliance.decision_state or ApplianceHealth()
        raise_limit_to_fleet(self)
        self._regroup()
        self.wake_held()

    def on_incomplete_list(self, since: int) -> None:
        """Takes note that an update is arriving in pieces; the list is as it was at that time."""
        self.list_lease.record_incomplete_update(since)

    def on_discovery_moved(self) -> None:
        """Takes note that discovery may have another address from now on."""
        self.list_lease.record_move(self.host.now)

    def _regroup(self) -> None:
        """Sorts the ready appliances into groups.

        The groups are kept, so that a dispatch costs the same in a fleet of any size.
        """
        self.lowest_build = min((a.build for a in self.fleet), default=0)
        self.trial_appliances, self.earlier_appliances = [], []
        self.slow_start.regroup()
        for appliance in self.fleet:
            on_trial = exposure_cap(self, appliance) is not None
            (self.trial_appliances if on_trial else self.earlier_appliances).append(appliance)
        both = (
            not self.earlier_appliances
            or self.settings["in_place"]
            or (self.stage and self.stage.phase != ON_TRIAL)
        )
        self.earlier_build_gone = self.stage is None or not any(
            a.build < self.stage.build for a in self.earlier_appliances
        )
        # Beside each other, either side may come to bear all: what is left of the earlier one is no measure.
        bearing = [self.fleet] if both else [self.earlier_appliances, self.trial_appliances]
        self.usual_weight = max(sum(a.weight for a in side) for side in bearing) or 1.0

    # ---- the roll-out of the newest build ----
    def on_stage(self, stage: Stage) -> bool:
        """Takes a message on the newest build, or the answer to a vote.

        Returns:
            Whether the state that it tells is followed: it came with a message that is not outdated.
        """
        old, settings = self.stage, self.settings
        if stage.vote_answer not in (None, "ok"):  # the other fields of a refusal say nothing
            if stage.vote_answer != OBSOLETE:
                self.voting.recast(self.current_vote, stage.vote_answer == FULL)
            return False
        if is_outdated(self, stage):
            return False
        if old is None or rollout_place(stage) != rollout_place(old):
            self.stage_told_at = self.host.now
        self.stage = stage
        self._regroup()
        new_build = old is None or stage.build != old.build
        self.bound_keys_incomplete = self.bound_keys_incomplete and (old is None or stage.build == old.build)
        if new_build:
            self.evidence.reset()
            self.relayed = SharedCounts()
        kept = stage.build + (stage.phase != ON_TRIAL)
        self.bound_keys = {key: build for key, build in self.bound_keys.items() if build >= kept}
        if old is None or stage.identity != old.identity:
            self.current_vote, self.undecided_since = None, 0
            self.stage_since = self.host.now - stage.age
            bearing = self.fleet if settings["in_place"] else self.earlier_appliances
            self.expected_trial_appliances = settings["shares"][stage.number] * len(bearing)
            self.is_voter = draw_voter(self)
            self._look_at_evidence(stage)
            self.wake_held()
        return True

    def _look_at_evidence(self, stage: Stage) -> None:
        """Looks at the evidence, and again at intervals while the stage lasts."""
        if self.stage.identity == stage.identity:
            self.voting.review()
            if is_judged(self) and self.settings["may_message"]:
                self.count_exchange.send()
            self.host.call_at(self.host.now + LOOK_INTERVAL, lambda: self._look_at_evidence(stage))

    def on_tally(self, tally: Tally) -> None:
        """Takes the platform's counts of a sample of answers."""
        if is_judged(self) and tally.build < self.stage.build and tally.mean_time:
            self.evidence.on_tally(tally)

    def on_flag(self, operation: Operation, appliance: Appliance, age: int) -> None:
        """Takes a report that an answer of the appliance was wrong."""
        if is_judged(self):
            self.evidence.add_pooled(FLAG_COUNTS, runs_newest_build(self, appliance), 1, 0)

    def on_message(self, sender: int, figures: list[int]) -> None:
        """Takes counts that another agent has sent."""
        self.count_exchange.on_message(figures)

    # ---- outcomes ----
    def observe(self, outcome: Outcome) -> None:
        """Takes the outcome of a dispatch, before the generator of its invocation does."""
        dispatch, result = outcome.dispatch, outcome.result
        self.open_dispatches -= 1
        self.succeeded += result == SUCCEEDED
        record_outcome(self, outcome)
        if (key := one_way_key(self, dispatch.invocation)) is not None:
            record_key_outcome(self, key, outcome)
        if dispatch.appliance.decision_state.unanswered_count > MAX_UNANSWERED:
            eject(self, dispatch.appliance, result)
        self.evidence.observe(outcome)
        if self.evidence.strongest().margin() > 0:
            self.voting.review()
        adjust_concurrency_limit(self, outcome)
        self.wake_held()

    def on_probe(self, appliance: Appliance, answered: bool, duration: int, load: Mapping | None) -> None:
        """Takes the result of a probe. One without an answer ejects nothing: it only makes probes rarer."""
        self.probe_answer_share += (answered - self.probe_answer_share) / PROBE_MEMORY
        if answered:
            record_answer(self, appliance.decision_state, load, duration, probe=True)

    # ---- which appliance ----
    def may_repeat(
        self, invocation: Invocation, appliance: Appliance, leaving: Dispatch | None = None
    ) -> bool:
        """Returns whether the effect of the operation allows another dispatch to this appliance (rule 2).

        Args:
            invocation: what would be sent.
            appliance: where it would go.
            leaving: the dispatch that is about to be sent, which does not count as sent before.
        """
        operation = invocation.operation
        # those sent before that may have run or still be outstanding
        maybe = [d for d in invocation.dispatches if d.result not in NEVER_RAN and d is not leaving]
        if not self.settings["may_duplicate"] and any(d.result is None for d in maybe):
            return False
        if not maybe or operation.effect == IDEMPOTENT:
            return True
        return operation.effect == FINGERPRINTED and all(
            self.host.now < d.sent + operation.window - WINDOW_MARGIN
            and {
                "all": True,
                "zone": appliance.zone == d.appliance.zone,
                "cell": appliance.cell == d.appliance.cell,
            }[operation.group]
            for d in maybe
        )

    def may_go(self, invocation: Invocation, appliance: Appliance) -> bool:
        """Returns whether the invocation may be sent to the appliance.

        Every dispatch is checked for: drains, ejection, repeats, cold appliances, exposure, keys.
        """
        health = appliance.decision_state
        ejected = health.ejected_until > self.host.now or (health.ejections and health.open_dispatches)
        leaving = appliance.state != READY or not self.list_lease.holds(self.host.now)
        if leaving or ejected or not self.slow_start.allows(appliance):
            return False
        return self.may_repeat(invocation, appliance) and within_limits(self, invocation, appliance)

    def _fits(self, invocation: Invocation, appliance: Appliance, tried: list[Appliance]) -> bool:
        health = appliance.decision_state
        # one that is silent to its latest probe, while most probes are answered, is seldom tried
        silent = health.last_answer_at < health.last_probe_at < self.host.now - PROBE_ANSWER_TIME and (
            self.rng.random() < min(MOST_AVOIDED, self.probe_answer_share)
        )
        return appliance not in tried and not silent and self.may_go(invocation, appliance)

    def _draw(self, invocation: Invocation, side: list[Appliance], tried: list[Appliance]) -> list[Appliance]:
        """Draws two random appliances of a side; looks at the whole side only if none of a sample fits."""
        found: list[Appliance] = []
        candidates = preferred(self, side)
        for appliance in self.rng.sample(candidates, min(SAMPLE, len(candidates))):
            if len(found) < CHOICES and self._fits(invocation, appliance, tried):
                found.append(appliance)
        if not found and (found := [a for a in side if self._fits(invocation, a, tried)]):
            found = self.rng.sample(found, min(CHOICES, len(found)))
        return found

    def pick(self, invocation: Invocation) -> list[Appliance]:
        """Picks the appliances of which one gets the next dispatch.

        The trial gets its appliances' part, to be judged at full load before its release. Repeats go to the
        earlier build, unless the key must stay.
        """
        tried = [d.appliance for d in invocation.dispatches]
        sides = [self.earlier_appliances, self.trial_appliances]
        on_trial = self.stage and self.stage.phase == ON_TRIAL  # also after an own vote: evidence grows
        part = sum(a.weight for a in self.trial_appliances if warmth(self, a) >= 1.0) / self.usual_weight
        if on_trial and self.settings["one_way"]:  # the cap holds in any short span, and keys come in bursts
            part = min(part, KEY_PART * self.stage.cap)
        # A key that the trial answers binds all later invocations with it, which must fit the trial's part.
        key = one_way_key(self, invocation)
        bound = key is not None and lowest_build(self, key) > 0
        share = bound_share(self) if on_trial else 0.0
        if not tried and (earned := self.slow_start.earned()):
            room = on_trial and (
                bound or share < min(part + self.slow_start.rate / 2, KEY_PART * self.stage.cap)
            )
            sides.insert(0, [a for a in earned if room or exposure_cap(self, a) is None])
        elif not tried and on_trial and (bound or self._trial_is_due(key, part - share)):
            sides.reverse()
        choices = (
            self._draw(invocation, side, skip) for skip in ((tried, []) if tried else ([],)) for side in sides
        )
        found = next(filter(None, choices), [])
        if found and on_trial and not tried and not bound:
            # counted, not drawn: of two dispatches drawn in a row one has no room under the cap
            used = self.trial_deficit >= 1 and exposure_cap(self, found[0]) is not None
            earned = max(0.0, part - share) / (1 - share)
            self.trial_deficit = min(self.trial_deficit + earned, MAX_TRIAL_DEFICIT) - used
        return found

    def _trial_is_due(self, key: str | None, room: float) -> bool:
        """Returns whether the build on trial should get an invocation whose key is free.

        A key that comes too often for the room left in the trial's part waits for a rarer one, unless none
        comes.
        """
        if self.trial_deficit < 1 or key is None:
            return self.trial_deficit >= 1
        return self.trial_deficit >= MAX_TRIAL_DEFICIT or share_of_others(self, key) <= room

    # ---- invocations: hold, dispatch, final answer ----
    def wake_held(self) -> None:
        """Wakes held invocations that may now be dispatched: the highest value first, then the oldest."""
        room = max(0, min(int(self.concurrency_limit - self.open_dispatches + 1), MAX_WOKEN))
        for invocation in sorted(self.held, key=lambda i: (-i.operation.billed_value, i.arrived_at))[:room]:
            self.host.wake(invocation)

    def handle(self, invocation: Invocation) -> ActionGenerator:
        """Takes an invocation; returns the actions for it until it has its final answer."""
        self.slow_start.earn()
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_PER_INVOCATION)
        self.exposure_budgets[invocation.operation].take(self.host.now)
        if (key := one_way_key(self, invocation)) is not None:
            self.recent_keys.append(key)
        return InvocationHandler(self, invocation).run()

    def may_retry(self, invocation: Invocation, price: float) -> bool:
        """Returns whether one more dispatch is within the retry budget, and takes it from the budget.

        Guards against retry storms: further dispatches are a small part of the invocations taken.
        """
        allowed = len(invocation.dispatches) < self.settings["dispatch_limit"] and self.retry_budget >= price
        if allowed:
            self.retry_budget -= price
        return allowed

    def send(self, invocation: Invocation, appliance: Appliance, timeout: int, until: int) -> Dispatch:
        """Returns the dispatch to yield, and counts it."""
        health, budget = appliance.decision_state, self.exposure_budgets[invocation.operation]
        self.open_dispatches += 1
        health.open_dispatches += 1
        health.load += 1
        self.slow_start.spend(appliance)
        dispatch = Dispatch(appliance, max(timeout, MIN_TIMEOUT), until)
        if exposure_cap(self, appliance) is not None:
            dispatch.decision_state = budget.add(self.host.now)
        if (key := one_way_key(self, invocation)) is not None:
            record_dispatch(self, key, appliance.build)
        return dispatch

    def may_send(self, dispatch: Dispatch) -> bool:
        """Returns whether a dispatch that waited for its connection may still be sent.

        It then counts from now.

        Guards against a build on trial getting in one burst what was allowed one by one, and against a repeat
        that is sent once its window is over.
        """
        invocation, appliance = dispatch.invocation, dispatch.appliance
        budget = self.exposure_budgets[invocation.operation]
        budget.drop(dispatch.decision_state)
        ready = appliance.state == READY and self.list_lease.holds(self.host.now)
        allowed = (
            not invocation.concluded
            and not invocation.streaming
            and ready
            and self.slow_start.still_allows(appliance, dispatch.sent)
            and (
                self.may_repeat(invocation, appliance, dispatch)
                and within_limits(self, invocation, appliance)
            )
        )
        if allowed and exposure_cap(self, appliance) is not None:
            dispatch.decision_state = budget.add(self.host.now)
        return allowed

    def give_up(self, invocation: Invocation) -> Throttle | Terminate:
        """Returns the final answer: throttled where nothing ran, or where a repeat does no harm anywhere."""
        effect, everywhere = invocation.operation.effect, invocation.operation.group == "all"
        harmless = (
            effect == IDEMPOTENT
            or (effect == FINGERPRINTED and everywhere)
            or all(dispatch.never_ran for dispatch in invocation.dispatches)
        )
        return Throttle(retry_advice(self.settings)) if harmless else Terminate()

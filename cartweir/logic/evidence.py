"""Evidence on the build on trial: sorts outcomes, reports and tallies into streams of the sequential test."""

from __future__ import annotations

from math import exp, inf, log

from ..interface import (
    CANCELLED,
    ERROR,
    NEVER_RAN,
    ON_TRIAL,
    RESET,
    SIDE_EFFECTING,
    SUCCEEDED,
    TIMEOUT,
    Appliance,
    Dispatch,
    Operation,
    Outcome,
    Tally,
)
from ..state import ERROR_COUNTS, FLAG_COUNTS, SLOW_COUNTS, AgentState, Histogram, SharedCounts
from .builds import is_judged, newest_start, runs_newest_build
from .sequential_test import (
    ALPHA,
    ERROR_STREAM,
    FLAG_STREAM,
    PAST_STREAM,
    POOLED_STREAMS,
    SLOW_STREAM,
    TALLY_STREAM,
    EvidenceStream,
)
from .timing import MILLISECOND, SECOND, STALL_TIME

MIN_APPLIANCE_AGE = 5 * SECOND  # slowness of an appliance younger than this is no evidence
SLOW_FACTOR = 1.4  # on the usual time; what cold caches explain is less
SLOW_QUANTILE = 0.9  # of the usual times
MIN_USUAL_TIMES = 15  # usual times that have to be known before an answer counts as slow
LITTLE_TRAFFIC, MUCH_TRAFFIC = 0.15, 0.3  # shares of the fleet below and above which a trial has this
MIN_ROW_SPAN = 3 * SECOND  # failures in a row at one appliance count once in this time
MIN_JUDGED_APPLIANCES = 5  # slowness at no more appliances than this may not be the build's doing
SINGLE_REPORT = 1  # half failures; one report suffices where other agents must have one too
THREE_MACHINES = 5  # half failures; three machines, so that a few are not taken for all
TALLY_DECAY = 16  # a new mean time counts for one part in this many

RESPONSE_TIME_EDGES = [
    round(10 * MILLISECOND * 1.5**i) for i in range(18)
]  # of bins of times, in microseconds
RESPONSE_TIME_TOTAL = 400  # of counts in a histogram of times


class Evidence:
    """All evidence on the newest build.

    Attributes:
        state: the state of the agent.
        streams: by operation (None: all together) and kind.
        response_times: for each kind of appliance, times of earlier builds as parts of the SLO time.
        usual_times: for each operation, mean time by tallies before the trial had traffic.
        unsent: own counts that are to be sent to other agents.
        last_failed: appliance of the trial that failed last, and when.
        level: probability at which this agent alone may be wrong.
    """

    def __init__(self, state: AgentState) -> None:
        self.state, self.settings = state, state.settings
        self.streams: dict[tuple, EvidenceStream] = {}
        self.response_times: dict[str, Histogram] = {}
        self.usual_times: dict[Operation, int] = {}
        self.unsent = SharedCounts()
        self.last_failed: tuple[Appliance | None, int] = (None, 0)
        # Guards against one of very many agents being wrong: the more may vote, and the fewer votes are
        # needed, the smaller the level.
        agents, needed = self.settings["agents"], self.settings["back_votes"] or 1
        self.level = min(ALPHA, max(ALPHA * needed, needed - 2 * needed**0.5) / agents**0.5)

    def reset(self) -> None:
        """Forgets what was counted on the build before; times of earlier builds stay."""
        self.streams, self.usual_times, self.unsent = {}, {}, SharedCounts()
        self.last_failed = (None, 0)

    def add(
        self, operation: Operation | None, kind: tuple, trial: bool, failures: float, count: int = 1
    ) -> None:
        """Adds outcomes to a stream.

        They are compared within one operation, so that a change of the mix of operations has no effect;
        `operation` is None where all are alike.
        """
        self._stream(operation, kind).add(trial, failures, count, self.state.earlier_build_gone)

    def _stream(self, operation: Operation | None, kind: tuple) -> EvidenceStream:
        if (operation, kind) not in self.streams:
            block, prior_width = kind[:2]
            pooled = kind == TALLY_STREAM or (
                self.settings["may_message"] and operation is None and kind not in (SLOW_STREAM, PAST_STREAM)
            )
            label = f"{operation.name if operation else 'all'} {block}/{prior_width}"
            level = ALPHA if pooled else self.level
            stream = self.streams[operation, kind] = EvidenceStream(*kind, level=level, label=label)
            if block == FLAG_STREAM.block and not pooled and self.settings["back_votes"] > 1:
                stream.min_half_failures = SINGLE_REPORT
            elif kind == PAST_STREAM:
                stream.min_half_failures = THREE_MACHINES
        return self.streams[operation, kind]

    def strongest(self) -> EvidenceStream:
        """Returns the stream that speaks most for sending the build back."""
        none = EvidenceStream(*SLOW_STREAM, level=ALPHA)
        return max(self.streams.values(), key=EvidenceStream.margin, default=none)

    def add_pooled(self, kind: int, trial: bool, failures: int, count: int, own: bool = True) -> None:
        """Adds counts of a kind that agents pool where they may send messages.

        Where a part of the answers is checked, those reported stand for those that are not checked.
        """
        if own and self.settings["may_message"]:  # comes back with the sum over all agents
            self.unsent.add(kind, trial, count, failures)
        elif kind == FLAG_COUNTS and (checked_share := self.settings["flag_share"]) > 0:
            stream = FLAG_STREAM if own else POOLED_STREAMS[FLAG_COUNTS]
            self.add(None, (*stream, 0.5 / checked_share), trial, failures / checked_share, count)
        elif kind != FLAG_COUNTS and not own:
            self.add(None, POOLED_STREAMS[kind], trial, failures, count)

    # ---- own outcomes ----
    def observe(self, outcome: Outcome) -> None:
        """Takes an outcome as evidence, if it is."""
        dispatch, result, appliance = outcome.dispatch, outcome.result, outcome.dispatch.appliance
        operation, trial = dispatch.invocation.operation, runs_newest_build(self.state, appliance)
        times = self.response_times.setdefault(
            appliance.kind, Histogram(RESPONSE_TIME_EDGES, RESPONSE_TIME_TOTAL)
        )
        slo_time = operation.slo_time  # times are parts of it, so that operations can be counted together
        enough = times.total >= MIN_USUAL_TIMES
        too_long = SLOW_FACTOR * times.quantile(SLOW_QUANTILE) * slo_time / SECOND if enough else inf
        if not trial and result == SUCCEEDED:
            times.add(outcome.duration * SECOND // slo_time)
        if not is_judged(self.state) or result == CANCELLED or result in NEVER_RAN:
            return
        if result == SUCCEEDED:
            # Guards against requests that fail anywhere: errors count once a repeat has succeeded.
            for earlier in (d for d in dispatch.invocation.dispatches if d.result == ERROR):
                self._add_outcome(earlier, True, True)
            self.add_pooled(FLAG_COUNTS, trial, 0, 1)
            self._compare_with_past(appliance, outcome.duration > too_long)
        final = outcome.complete or operation.effect == SIDE_EFFECTING
        # once the earlier build is gone, no repeat there separates a bad request from a bad build
        if result != ERROR or (final and not self.state.earlier_build_gone):
            slow = result != SUCCEEDED or outcome.duration > too_long
            self._add_outcome(dispatch, result in (ERROR, RESET), slow)

    def _add_outcome(self, dispatch: Dispatch, failed: bool, slow: bool) -> None:
        """Adds one outcome to the streams of errors and of slowness."""
        state = self.state
        operation, appliance, now = dispatch.invocation.operation, dispatch.appliance, state.host.now
        trial, trial_size = runs_newest_build(state, appliance), len(state.trial_appliances)
        if trial and (failed or slow) and trial_size > 1:
            # Failures in a row at one appliance count once in 3 s, so that it is not taken for a bad build.
            if appliance is self.last_failed[0] and now - self.last_failed[1] < MIN_ROW_SPAN:
                return
            self.last_failed = (appliance, now)
        if dispatch.result != TIMEOUT:
            self.add(operation, ERROR_STREAM, trial, failed)
            self.add_pooled(ERROR_COUNTS, trial, failed, 1)
        # A cold appliance is slow whatever its build. A single one or an own stall is no evidence, nor is
        # the jump in load as the earlier appliances go.
        distorted = (
            (now - appliance.started < MIN_APPLIANCE_AGE and appliance.started)
            or state.host.lag > STALL_TIME
            or (trial and trial_size == 1)
            or state.earlier_build_gone
        )
        if not distorted:
            self.add(operation, SLOW_STREAM, trial, slow)
            self.add(None, SLOW_STREAM, trial, slow)
            warm = sum(now - a.started >= MIN_APPLIANCE_AGE for a in state.trial_appliances)
            if warm > MIN_JUDGED_APPLIANCES:
                self.add_pooled(SLOW_COUNTS, trial, slow, 1)

    # ---- against the time before the trial had traffic ----
    def _has_much_traffic(self) -> bool | None:
        """Returns whether the trial has much of the traffic (True) or little (False); None: neither.

        Guards against a build that slows every appliance alike, in step with its traffic: no comparison side
        by side shows it.
        """
        stage = self.state.stage
        share, beside = self.settings["shares"][stage.number], not self.settings["in_place"]
        extreme = share < LITTLE_TRAFFIC or share > MUCH_TRAFFIC
        return share > MUCH_TRAFFIC if beside and stage.phase == ON_TRIAL and extreme else None

    def _compare_with_past(self, appliance: Appliance, slow: bool) -> None:
        """Compares own answers with the time before, where several agents must agree.

        One agent's appliances and moment are not all. Each appliance counts once in a stage, when all of the
        stage's are there: a few slow ones are not all.
        """
        much, state, now = self._has_much_traffic(), self.state, self.state.host.now
        counts = not appliance.started or now - appliance.started >= MIN_APPLIANCE_AGE
        if much:
            counts = (
                counts
                and now > newest_start(state) + SECOND
                and appliance.decision_state.counted_in_stage != state.stage.identity
            )
        if (
            much is not None
            and counts
            and state.host.lag <= STALL_TIME
            and (self.settings["back_votes"] > 1 and appliance.zone == self.settings["zone"])
        ):
            appliance.decision_state.counted_in_stage = state.stage.identity
            self._stream(None, PAST_STREAM).add(much, slow, 1, earlier_build_gone=much)

    def on_tally(self, tally: Tally) -> None:
        """Compares the earlier builds' mean time with the time before.

        The sample is the same at all agents.
        """
        much, count, state = self._has_much_traffic(), tally.count - tally.failures, self.state
        began = state.host.now - tally.age - self.settings["tally_time"]
        if much is None or count <= 0 or (much and began < state.stage_since):
            return
        usual = self.usual_times.setdefault(tally.operation, tally.mean_time)
        if not much:
            self.usual_times[tally.operation] = usual + (tally.mean_time - usual) // TALLY_DECAY
        slow_share = exp(-SLOW_FACTOR * log(10) * usual / tally.mean_time)  # if times were exponential
        self._stream(None, TALLY_STREAM).add(much, slow_share * count, count, earlier_build_gone=much)

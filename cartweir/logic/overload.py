"""Overload control: the bound on an agent's outstanding dispatches, and what throttled clients are told."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..interface import FULL, SUCCEEDED, TIMEOUT, Outcome
from ..state import AgentState
from .timing import SECOND, STALL_TIME

MIN_FREE_CONCURRENCY = 4.0  # up to which the bound grows by itself, and where it starts at least
INITIAL_SHARE = 2.0  # of the agent's part of the fleet; the bound starts there
SLOW_ANSWER = 0.3  # of the SLO time: a longer answer is slow
LATE_ANSWER = 0.7  # of the SLO time: a longer answer is late, and lowers the bound
ISOLATED_CUT = 0.4  # of a cut, where the late answer came behind a quick one
MAX_CUT = 0.35  # of the bound
CUT = 14  # divided by the bound
MAX_RAISE = 0.05  # of the bound
RAISE = 2  # divided by the bound
USED_SHARE = 0.7  # of the bound that must be in use for it to rise
LEAST_SHARE = 1.5  # of the agent's part of the fleet; the bound falls no lower
LEAST_LIMIT = 0.1
LATE_MEMORY = 16  # one answer counts for one part in this many
MAX_ADVICE = SECOND  # the longest time after which a client is told to retry


def retry_advice(settings: Mapping[str, Any]) -> int:
    """Returns after how many microseconds a throttled client is told to retry; 0 for no advice."""
    return min(settings["max_advice"], MAX_ADVICE) * settings["may_advise"]


def adjust_concurrency_limit(state: AgentState, outcome: Outcome) -> None:
    """Adjusts the bound on outstanding dispatches; it settles where one answer in eight is slow."""
    result, appliance = outcome.result, outcome.dispatch.appliance
    slo_time = outcome.dispatch.invocation.operation.slo_time
    last_was_slow = state.last_answer_slow
    if result in (SUCCEEDED, FULL):  # guards against lost answers being taken for overload
        state.last_answer_slow = result == FULL or outcome.duration > SLOW_ANSWER * slo_time
    # TIMEOUT alone is no sign of overload: some clients set short deadlines
    late = outcome.duration > LATE_ANSWER * slo_time and state.host.lag <= STALL_TIME
    if appliance.zone == state.settings["zone"]:
        state.late_share += (late - state.late_share) / LATE_MEMORY
    limit = state.concurrency_limit
    if result == FULL or (late and (state.last_answer_slow or result != TIMEOUT)):
        least = max(LEAST_LIMIT, LEAST_SHARE * len(state.fleet) / state.settings["agents"])
        part = 1.0 if last_was_slow or result == FULL else ISOLATED_CUT
        cut = min(CUT / limit, MAX_CUT * limit) * part
        state.concurrency_limit = max(limit - cut, least)
    elif state.open_dispatches + 1 >= USED_SHARE * limit or limit < MIN_FREE_CONCURRENCY:
        # the second condition: a bound that few answers never test
        state.concurrency_limit += min(RAISE / limit, MAX_RAISE * limit)


def raise_limit_to_fleet(state: AgentState) -> None:
    """Raises the bound to the agent's part of the fleet, for a start or when appliances are added."""
    part = INITIAL_SHARE * len(state.fleet) / state.settings["agents"]
    state.concurrency_limit = max(state.concurrency_limit, part, MIN_FREE_CONCURRENCY)

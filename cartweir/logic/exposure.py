"""Limits on what a build on trial may get: the cap of its stage, guarded stages, and one-way keys."""

from __future__ import annotations

from ..interface import IDEMPOTENT, ON_TRIAL, RELEASED, Appliance, Invocation, Operation
from ..state import AgentState
from ..window import WindowBudget
from .builds import exposure_cap, runs_newest_build
from .one_way_keys import lowest_build, one_way_key, would_bind_too_many


def make_budgets(state: AgentState) -> dict[Operation, WindowBudget]:
    """Returns the budget of exposure for each operation; they share one unless the settings separate them."""
    settings = state.settings
    span, separate = settings["window"] + 2 * settings["tick"], settings["per_operation"]
    shared = WindowBudget(span, settings["free"])
    return {
        operation: WindowBudget(span, settings["free"]) if separate else shared
        for operation in settings["operations"]
    }


def within_limits(state: AgentState, invocation: Invocation, appliance: Appliance) -> bool:
    """Returns whether exposure and one-way keys allow the invocation to go to this appliance."""
    stage, cap = state.stage, exposure_cap(state, appliance)
    key = one_way_key(state, invocation)
    if key is not None and appliance.build < lowest_build(state, key):
        return False
    if cap is None:
        return key is None or _may_get_any_key(state, appliance)
    if would_bind_too_many(state, key):
        return False
    number = stage.number if runs_newest_build(state, appliance) else 0
    return state.exposure_budgets[invocation.operation].room(state.host.now, cap) and (
        invocation.operation.effect == IDEMPOTENT or number >= state.settings["guarded_stages"]
    )


def _may_get_any_key(state: AgentState, appliance: Appliance) -> bool:
    """Returns whether no newer build can have answered a key unknown to this agent."""
    stage = state.stage
    if stage is None or stage.phase == ON_TRIAL:
        return not state.bound_keys_incomplete
    # a released build may have answered any key: an earlier appliance that is late gets none
    return stage.phase != RELEASED or appliance.build >= stage.build

"""Limits on what a build on trial may get: the cap of its stage, guarded stages, and one-way keys."""

from __future__ import annotations

from ..interface import IDEMPOTENT, ON_TRIAL, RELEASED, Appliance, Invocation, Operation
from ..state import AgentState
from ..window import WindowBudget
from .builds import exposure_cap, runs_newest_build

MAX_BOUND_KEYS = 20_000
UNREAD_AFTER = 0.6  # of the SLO time: a dispatch outstanding for longer may have been answered unread


def make_budgets(state: AgentState) -> dict[Operation, WindowBudget]:
    """Returns the budget of exposure for each operation; they share one unless the settings separate them."""
    settings = state.settings
    span, separate = settings["window"] + 2 * settings["tick"], settings["per_operation"]
    shared = WindowBudget(span, settings["free"])
    return {
        operation: WindowBudget(span, settings["free"]) if separate else shared
        for operation in settings["operations"]
    }


def _would_bind_too_many(state: AgentState, invocation: Invocation) -> bool:
    """Returns whether a build on trial would bind one more key than may be remembered.

    Such an invocation goes to the earlier build, while there is one.
    """
    return bool(
        state.settings["one_way"]
        and invocation.key
        and len(state.bound_keys) >= MAX_BOUND_KEYS
        and invocation.key not in state.bound_keys
        and not state.earlier_build_gone
    )


def within_limits(state: AgentState, invocation: Invocation, appliance: Appliance) -> bool:
    """Returns whether exposure and one-way keys allow the invocation to go to this appliance."""
    stage, cap = state.stage, exposure_cap(state, appliance)
    if (
        cap is None
        and state.bound_keys_incomplete
        and invocation.key
        and (stage is None or stage.phase == ON_TRIAL)
    ):
        return False  # the trial may have answered it
    if cap is None:
        # A released build may have answered any key: an earlier appliance that is late gets none.
        newest_only = (
            state.settings["one_way"]
            and invocation.key
            and stage
            and (
                stage.phase == RELEASED
                or (
                    stage.phase == ON_TRIAL
                    and state.host.now
                    > UNREAD_AFTER * invocation.operation.slo_time
                    + min(state.keys_out.get((invocation.key, stage.build), ()), default=state.host.now)
                )
            )
        )
        bound_build = state.bound_keys.get(invocation.key, 0)
        return appliance.build >= (max(stage.build, bound_build) if newest_only else bound_build)
    if _would_bind_too_many(state, invocation):
        return False
    number = stage.number if runs_newest_build(state, appliance) else 0
    return state.exposure_budgets[invocation.operation].room(state.host.now, cap) and (
        invocation.operation.effect == IDEMPOTENT or number >= state.settings["guarded_stages"]
    )

"""What an appliance's build means in the present stage."""

from __future__ import annotations

from ..interface import ON_TRIAL, RELEASED, Appliance
from ..state import AgentState
from .timing import SECOND

UNLISTED_START = 8 * SECOND  # from a stage's start to that of its newest appliance, until all are listed
ROUNDING = 1e-6


def runs_newest_build(state: AgentState, appliance: Appliance) -> bool:
    """Returns whether the appliance runs the build that the stage is about."""
    return state.stage is not None and appliance.build == state.stage.build


def is_judged(state: AgentState) -> bool:
    """Returns whether outcomes are evidence on the newest build at present."""
    phases = (RELEASED,) if state.earlier_build_gone else (RELEASED, ON_TRIAL)
    return bool(state.stage) and state.stage.phase in phases


def exposure_cap(state: AgentState, appliance: Appliance) -> float | None:
    """Returns the cap on the exposure of the appliance's build; None for a build that is not on trial."""
    stage = state.stage
    if stage is None:
        return None if appliance.build <= state.lowest_build else 0.0
    if appliance.build > stage.build:
        return (*state.settings["caps"], 0.0)[0]  # not announced yet: as in its first stage
    if appliance.build < stage.build or stage.phase == RELEASED:
        return None
    return stage.cap  # on the way back it falls to 0 only when earlier appliances are there


def newest_start(state: AgentState) -> int:
    """Returns when the stage's newest appliance started.

    While not all of its appliances are listed, it is taken to be `UNLISTED_START` after the stage began.
    """
    newest = max((appliance.started for appliance in state.trial_appliances), default=0)
    all_listed = (
        newest >= state.stage_since
        and len(state.trial_appliances) >= state.expected_trial_appliances - ROUNDING
    )
    return newest if all_listed else state.stage_since + UNLISTED_START

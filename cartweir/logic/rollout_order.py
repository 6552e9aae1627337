"""The order of the states of roll-outs, by which a late message on an earlier state is recognized.

Notifications and answers to votes arrive on different connections, so a message may be overtaken by one that
was written after it. Builds are offered in ascending order. A build on trial passes its stages in ascending
order; it may be released; then, or from any stage, it goes back and is withdrawn. While a build goes back its
cap only falls.
"""

from __future__ import annotations

from ..interface import GOING_BACK, ON_TRIAL, RELEASED, WITHDRAWN, Stage
from ..state import AgentState
from .timing import SECOND

# An answer to a vote is given up sooner, and so is a silent connection with notifications.
MAX_MESSAGE_DELAY = 5 * SECOND

_PHASE_ORDER = {ON_TRIAL: 0, RELEASED: 1, GOING_BACK: 2, WITHDRAWN: 3}


def rollout_place(stage: Stage) -> tuple[int, int, int, float]:
    """Returns a value that only grows as the roll-outs of builds go on."""
    on_trial = stage.phase == ON_TRIAL
    falling_cap = -stage.cap if stage.phase == GOING_BACK else 0.0
    return stage.build, _PHASE_ORDER[stage.phase], stage.number if on_trial else 0, falling_cap


def is_outdated(state: AgentState, stage: Stage) -> bool:
    """Returns whether a message tells a state that had ended when the present one was told.

    A message that arrives longer than `MAX_MESSAGE_DELAY` after the present state was told was written since:
    the release service itself has gone back to an earlier state.
    """
    return (
        state.stage is not None
        and rollout_place(stage) < rollout_place(state.stage)
        and state.host.now - state.stage_told_at <= MAX_MESSAGE_DELAY
    )

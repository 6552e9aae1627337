"""Votes of this instance on the stage of the newest build."""

from __future__ import annotations

from math import log

from ..interface import BACK, HOLD, ON, ON_TRIAL, RELEASED
from ..state import AgentState
from .builds import newest_start
from .evidence import Evidence
from .timing import MILLISECOND, SECOND, jitter

ON_AFTER = 3 * SECOND  # from the newest start to the first vote to go on
VOTE_SPREAD = SECOND // 2  # over which the votes of all agents are spread
BACK_SPREAD = 100 * MILLISECOND  # the same for votes to send the build back
UNDECIDED_RATIO = 4.5  # evidence above this likelihood ratio is undecided, and delays a vote to go on
MAX_DELAY = 3 * SECOND  # by undecided evidence, in one stage

Vote = tuple[int, int, str]  # build, stage, verdict


def draw_voter(state: AgentState) -> bool:
    """Draws whether this instance is one of the voters of the stage."""
    settings = state.settings
    needed, agents = settings["on_votes"] if settings["control"] == "share" else 0, settings["agents"]
    enough = needed + 3 * (needed * max(0.0, 1 - needed / agents)) ** 0.5  # also after an unlucky draw
    voters = max(settings["vote_allowance"] * settings["vote_life"] / SECOND, enough)
    return state.rng.random() < voters / agents


class Voting:
    """Decides on votes, casts them and repeats them."""

    def __init__(self, state: AgentState, evidence: Evidence) -> None:
        self.state, self.settings, self.evidence = state, state.settings, evidence

    def review(self) -> None:
        """Votes if the evidence calls for it."""
        state, strongest, settings = self.state, self.evidence.strongest(), self.settings
        stage, now = state.stage, state.host.now
        if stage.phase not in (ON_TRIAL, RELEASED) or not state.is_voter:
            return
        if strongest.margin() > 0:
            self.plan(BACK)
        elif stage.phase == ON_TRIAL:
            undecided = strongest.log_ratio() > log(UNDECIDED_RATIO)
            state.undecided_since = state.undecided_since or (now if undecided else 0)
            held = undecided and now - state.undecided_since < MAX_DELAY
            if held and settings["control"] == "timer":
                self.plan(HOLD)
            elif not held and settings["control"] != "timer" and now >= newest_start(state) + ON_AFTER:
                self.plan(ON)

    def plan(self, verdict: str) -> None:
        """Plans one vote at a random moment; it is cast again as it lapses or is refused."""
        state = self.state
        vote = (state.stage.build, state.stage.number, verdict)
        if state.current_vote not in (vote, (*vote[:2], BACK)):
            state.current_vote, state.may_recast = vote, True
            on_or_hold = verdict != BACK
            wait = state.rng.randrange(2 * VOTE_SPREAD) if on_or_hold else jitter(state.rng, BACK_SPREAD)
            state.host.call_at(state.host.now + wait, lambda: self._cast(vote))

    def _cast(self, vote: Vote) -> None:
        state = self.state
        if vote == state.current_vote:
            build, stage, verdict = vote
            strongest = self.evidence.strongest()
            if (ratio := strongest.log_ratio()) > 0 or verdict != ON:
                state.host.log(f"vote {verdict} build {build} stage {stage}: ln L {ratio:.2f}, {strongest}")
            state.host.vote(build, stage, verdict)
            state.vote_cast_at = state.host.now
            state.host.call_at(state.host.now + self.settings["vote_life"], lambda: self._lapse(vote))

    def _lapse(self, vote: Vote) -> None:
        """Casts a vote again at the end of its life, unless the evidence to send the build back has gone."""
        state = self.state
        if vote == state.current_vote and state.host.now >= state.vote_cast_at + self.settings["vote_life"]:
            if vote[2] == BACK and self.evidence.strongest().margin() <= 0:
                state.current_vote = None
            else:
                self._cast(vote)

    def recast(self, vote: Vote | None, full: bool) -> None:
        """Casts a refused vote again.

        Soon where too many votes came at once, and once where it may be the platform's fault. A second
        failure stands for a platform that is away.

        Args:
            vote: the vote that was refused.
            full: it was refused because too many came at once.
        """
        state = self.state
        if vote and vote == state.current_vote:
            soon = full or state.may_recast
            wait = jitter(state.rng, VOTE_SPREAD if soon else self.settings["vote_life"] // 2)
            state.may_recast = full and state.may_recast
            cast_at = state.vote_cast_at
            state.host.call_at(
                state.host.now + wait, lambda: state.vote_cast_at == cast_at and self._cast(vote)
            )

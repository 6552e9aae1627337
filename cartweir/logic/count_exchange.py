"""Exchange of counts between agents: what one agent sees too little of is added up over all.

Each agent sends its counts to a hub, which sends the sum to all.
"""

from __future__ import annotations

from ..state import AgentState, SharedCounts
from .builds import is_judged
from .evidence import Evidence
from .timing import SECOND
from .voting import Voting

HUB_TERM = 2 * SECOND  # for which an agent is the hub
HUB_STEP = 31  # from the first hub of one build to that of the next
COUNTS_SIZE = 12
FROM_AGENT = COUNTS_SIZE + 1  # build, counts
FROM_HUB = COUNTS_SIZE + 2  # 0, build, sum of the counts


class CountExchange:
    """Sends and receives counts."""

    def __init__(self, state: AgentState, evidence: Evidence, voting: Voting) -> None:
        self.state, self.settings, self.evidence, self.voting = state, state.settings, evidence, voting

    def hub(self) -> int:
        """Returns the agent that adds up the counts at present.

        With it, the number of messages grows linearly with the agents.
        """
        state = self.state
        return (state.stage.build * HUB_STEP + state.host.now // HUB_TERM) % self.settings["agents"]

    def on_message(self, figures: list[int]) -> None:
        """Receives another agent's counts, as the hub, or a sum from the hub. Anything else is ignored."""
        size, state = len(figures), self.state
        expected = size in (FROM_AGENT, FROM_HUB) and is_judged(state)
        if expected and figures[-FROM_AGENT] == state.stage.build:
            receive = state.relayed.merge if size == FROM_AGENT else self.pool
            receive(figures[-COUNTS_SIZE:])

    def pool(self, figures: list[int]) -> None:
        """Takes a sum over all agents as evidence."""
        for kind, trial, count, failures in SharedCounts(figures).rows():
            self.evidence.add_pooled(kind, trial, failures, count, own=False)
        self.voting.review()

    def send(self) -> None:
        """Sends own counts to the hub once the trial is among them; the hub sends the sum to all."""
        state, build, unsent = self.state, self.state.stage.build, self.evidence.unsent
        if self.hub() == self.settings["me"]:
            state.relayed.merge(unsent.drain())
        elif unsent.has_trial():
            state.host.message(self.hub(), [build, *unsent.drain()])
        if any(figures := state.relayed.drain()):
            state.host.message(None, [0, build, *figures])
            self.pool(figures)

"""What a member does about duties.

As the leader it grants duties that have no owner. As an owner it proposes the commands that are due, and
names the effects to be carried out. The host proposes the commands, and carries out each effect again and
again until another decision replaces it: effects are safe to repeat, as their receiver judges them by their
token.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from .duties import Duty, FleetState, propose_grants
from .fencing import FencingToken
from .rollout import Rollout
from .step_sequence import StepActionKind


class MachinesWanted(NamedTuple):
    """The effect of the rollout: how many machines run each build."""

    machines: dict[int, int]
    build: int
    stage: int


class StepToRun(NamedTuple):
    """The effect of a sequence of steps: its target runs this step."""

    number: int
    name: str
    begun_index: int


class Effect(NamedTuple):
    """Something to be done outside of the log."""

    duty: str
    token: FencingToken
    body: MachinesWanted | StepToRun


@dataclass
class OwnershipTimeouts:
    """When a duty gets another owner; in microseconds.

    Attributes:
        absent: a member that has not been heard for so long loses its duties.
        stuck: an owner that cannot reach the receivers of its effects for so long, though it hears other
            members, gives the duty to another one, which perhaps can.
    """

    absent: int = 1_500_000
    stuck: int = 5_000_000


class _Unanswered(NamedTuple):
    """Since when the effects with this token have had no answer."""

    token: FencingToken
    since: int


class DutyManager:
    """The duties as one member sees them.

    Attributes:
        requested: by duty, the owner that people have asked for.
    """

    def __init__(self, me: str, fleet: FleetState, timeouts: OwnershipTimeouts) -> None:
        """`me` is the name of this member."""
        self.me = me
        self.fleet = fleet
        self.timeouts = timeouts
        self.requested: dict[str, str] = {}
        self._unanswered: dict[str, _Unanswered] = {}
        self._applied_at: int | None = None

    # The log's clock

    def on_applied(self, now: int) -> None:
        """Entries have just been applied, at this time of the monotonic clock."""
        self._applied_at = now

    def log_time(self, now: int) -> int:
        """Returns the time of the last entry, plus the time that has passed here since.

        The wall clock is not used: one that is an hour ahead would let votes expire, and stop the log's clock
        until the others have caught up.
        """
        if self._applied_at is None:
            self._applied_at = now
        return self.fleet.now + max(0, now - self._applied_at)

    # Commands

    def command(self, duty: str, what: dict[str, Any]) -> dict[str, Any]:
        """Returns a command of the duty's owner as it is known here; without effect once another follows."""
        known = self.fleet.duties[duty]
        return {"do": "act", "duty": duty, "by": known.owner, "epoch": known.epoch, "what": what}

    def due_commands(self, is_leader: bool, alive: list[str], now: int) -> list[dict[str, Any]]:
        """Returns the commands to propose now, with the log's time."""
        at = self.log_time(now)
        commands = self._grants(alive) if is_leader else []
        for name, duty in self.fleet.duties.items():
            if duty.owner != self.me:
                self._unanswered.pop(name, None)
                continue
            if (successor := self._successor(name, duty.token, alive, now)) is not None:
                why = f"{self.me} can't reach what it writes to"
                grant = {"do": "grant", "duty": name, "to": successor, "after": duty.epoch, "why": why}
                commands.append(grant)
            elif what := self._due_action(name, duty, at):
                commands.append(self.command(name, what))
        return [{**command, "at": at} for command in commands]

    def _grants(self, alive: list[str]) -> list[dict[str, Any]]:
        self.requested = {
            duty: to for duty, to in self.requested.items() if self.fleet.duties[duty].owner != to
        }
        return propose_grants(self.fleet, alive, self.requested, self._reason)

    def _reason(self, duty: str) -> str:
        if duty in self.requested:
            return "asked for"
        owner = self.fleet.duties[duty].owner
        return f"{owner} is silent" if owner else "had none"

    def _due_action(self, name: str, duty: Duty, at: int) -> dict[str, Any] | None:
        if isinstance(duty.state, Rollout):
            return {"what": "look"} if duty.state.needs_update(at, self.fleet.steps_done) else None
        action = duty.state.next_action()
        if action and action.kind == StepActionKind.BEGIN and self.fleet.steps_may_begin(name):
            return {"what": "begin", "step": action.step}
        return None

    def _successor(self, duty: str, token: FencingToken, alive: list[str], now: int) -> str | None:
        """Returns who is to own a duty whose effects have been without an answer for too long."""
        unanswered = self._unanswered.get(duty)
        if unanswered is None or unanswered.token != token:
            return None
        others = sorted(name for name in alive if name != self.me)
        if now - unanswered.since < self.timeouts.stuck or not others:
            return None
        self._unanswered[duty] = _Unanswered(token, now)
        return others[token.epoch % len(others)]

    # Effects

    def effects(self) -> list[Effect]:
        """Returns the effects of the duties owned here, as of the entry applied last."""
        effects = []
        for name, duty in self.fleet.duties.items():
            body = self._effect_body(duty) if duty.owner == self.me else None
            if body is not None:
                effects.append(Effect(name, duty.token, body))
        return effects

    def _effect_body(self, duty: Duty) -> MachinesWanted | StepToRun | None:
        state = duty.state
        if isinstance(state, Rollout):
            wanted = state.wanted_machines
            return MachinesWanted(dict(wanted), state.build, state.stage) if wanted else None
        action = state.next_action()
        if action is None or action.kind != StepActionKind.RUN:
            return None
        return StepToRun(action.step, state.names[action.step], state.begun_index)

    def on_effect_result(self, effect: Effect, was_answered: bool, now: int) -> None:
        """Notes whether the receiver of an effect has answered."""
        if was_answered:
            self._unanswered.pop(effect.duty, None)
            return
        unanswered = self._unanswered.get(effect.duty)
        if unanswered is None or unanswered.token != effect.token:
            self._unanswered[effect.duty] = _Unanswered(effect.token, now)

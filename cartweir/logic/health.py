"""Health of single appliances: ejection of silent ones, connections, and load reports."""

from __future__ import annotations

from collections.abc import Mapping

from ..interface import ERROR, FULL, SUCCEEDED, UNCONNECTED, Appliance, Outcome
from ..state import AgentState, ApplianceHealth
from .timing import MILLISECOND, SECOND

MAX_OUTCOMES = 16  # of an appliance; the counts are halved there
MAX_UNANSWERED = 3  # dispatches in a row without an answer; one more ejects it
MAX_EJECTIONS = 4  # beyond which the time that it is ejected for grows no further
CONNECT_MEMORY = 8  # one new connection counts for one part in this many
FULL_LOAD = 3  # load, in requests in work, of an appliance that reports full utilization
PROBE_TIME_PER_LOAD = 50 * MILLISECOND  # duration of a probe that stands for one request in work


def record_outcome(state: AgentState, outcome: Outcome) -> None:
    """Records the outcome of a dispatch for its appliance and for connections to its zone."""
    result, now, appliance = outcome.result, state.host.now, outcome.dispatch.appliance
    health = appliance.decision_state
    health.record(result, MAX_OUTCOMES)
    unconnected = result == UNCONNECTED
    if unconnected or (result == SUCCEEDED and not health.connected_at):  # results of new connections
        failures = state.connect_failures.get(appliance.zone, 0.0) * (CONNECT_MEMORY - 1)
        state.connect_failures[appliance.zone] = (failures + unconnected) / CONNECT_MEMORY
    if result in (SUCCEEDED, ERROR, FULL, UNCONNECTED):
        health.connected_at = now * (not unconnected)
    if result == SUCCEEDED:
        record_answer(state, health, outcome.load, outcome.duration, probe=False)


def record_answer(
    state: AgentState, health: ApplianceHealth, load: Mapping | None, duration: int, *, probe: bool
) -> None:
    """Records an answer and the load report in it.

    Args:
        state: the state of the agent.
        health: of the appliance that answered.
        load: the report; None if there is none.
        duration: time until the answer.
        probe: whether it answers a probe.
    """
    now = health.last_answer_at = state.host.now
    load = load or ({"inflight": duration / PROBE_TIME_PER_LOAD} if probe else {})
    if "inflight" in load or "util" in load:
        health.load, health.load_at = load.get("inflight", FULL_LOAD * load.get("util", 0.0)), now
    elif "queue" in load:  # and those in work, by Little's law
        health.load = load["queue"] + load.get("rate", 0.0) * load.get("mean_ms", 0.0) / 1000
        health.load_at = now
    elif probe:
        state.probes_report_load = False


def eject(state: AgentState, appliance: Appliance, result: str) -> None:
    """Ejects an appliance for a time, unless it is ejected already.

    Args:
        state: the state of the agent.
        appliance: one that has not answered several dispatches in a row.
        result: of the last of these dispatches.
    """
    health, now = appliance.decision_state, state.host.now
    if now >= health.ejected_until:
        health.ejections = min(health.ejections + 1, MAX_EJECTIONS)
        health.ejected_until = now + (SECOND << health.ejections) // 2
        state.host.log(
            f"shut {appliance.id}: {result}, strike {health.ejections}, silent {health.unanswered_count}"
        )

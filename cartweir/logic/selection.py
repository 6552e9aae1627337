"""Which appliances are preferred for a dispatch, by load, zone and open connections."""

from __future__ import annotations

from ..interface import Appliance
from ..state import AgentState
from .slow_start import warmth
from .timing import SECOND

LOAD_KNOWN_FOR = SECOND  # after a report or an answer
OWN_DISPATCH = 0.5  # load of the dispatch that is about to be sent
STANDSTILL_LOAD = 4  # added for an appliance that has not answered its latest probe
OTHER_ZONE_LOAD = 0.3  # added for an appliance of another zone
FAILURE_FACTOR = 4  # on the share of failed outcomes
MIN_CAPACITY = 0.01

STRAIN_FACTOR = 4  # on the share of late answers in the own zone: how often others are tried too
CONNECT_FAILURE_FACTOR = 2  # on the share of failed connections: how often new ones are avoided
MOST_AVOIDED = 0.9  # share of the dispatches that avoid new connections, or silent appliances, at most
REUSE_SHARE = 0.9  # of the dispatches go to standing connections where a new one has its price
ENOUGH_CONNECTIONS = 6  # standing ones from which on this holds

PROBE_BUDGET = 0.01  # of the worth asked for: what probes may cost
MIN_PROBE_SHARE = 0.05  # of the usual probes, where hardly any is answered
CHOICES = 2  # the better of so many random appliances is taken


def load_score(state: AgentState, appliance: Appliance) -> float:
    """Returns how busy an appliance is, for its capacity; the lower is preferred."""
    health, now = appliance.decision_state, state.host.now
    reported = health.load if now - health.load_at < LOAD_KNOWN_FOR else 0
    load = max(health.open_dispatches + OWN_DISPATCH, reported)
    # guards against appliances that stand still
    load += STANDSTILL_LOAD * (health.last_answer_at < health.last_probe_at)
    load += OTHER_ZONE_LOAD * (appliance.zone != state.settings["zone"])
    capacity = max(appliance.weight * warmth(state, appliance), MIN_CAPACITY)
    return load * (1 + FAILURE_FACTOR * health.bad_share()) / capacity


def preferred(state: AgentState, side: list[Appliance]) -> list[Appliance]:
    """Returns the appliances of a side that are preferred at this moment.

    Those of the own zone cost least, and are preferred unless the zone is strained. Appliances with an open
    connection are preferred where new connections fail, and also where many are open and a new one has its
    price. This guards against appliances that accept few connections, links that break off, and agents that
    each leave their connections idle for new ones.
    """
    home, now, idle_time = state.settings["zone"], state.host.now, state.settings["idle_time"]
    stays_home = side is state.earlier_appliances and state.rng.random() >= STRAIN_FACTOR * state.late_share
    luck = state.rng.random()
    near = [a for a in side if a.zone == home] if stays_home else side
    connected = [a for a in near or side if 0 < a.decision_state.connected_at > now - idle_time]
    reuses = len(connected) >= ENOUGH_CONNECTIONS and luck < REUSE_SHARE
    if state.settings["connect_price"] > 0 and reuses:
        return connected
    return [
        a
        for a in near or side
        if 0 < a.decision_state.connected_at > now - idle_time
        or luck >= min(MOST_AVOIDED, CONNECT_FAILURE_FACTOR * state.connect_failures.get(a.zone, 0.0))
    ]


def to_probe(state: AgentState, pair: list[Appliance]) -> list[Appliance]:
    """Returns the appliances to probe.

    Own dispatches may be too few to show a load, a standstill or a slow link.
    """
    stale = [a for a in pair if state.host.now - a.decision_state.last_answer_at > LOAD_KNOWN_FOR]
    useful = state.settings["may_probe"] and len(pair) == CHOICES and state.probes_report_load
    # Guards against a fleet whose probes cost more than they gain: each agent sends few, all together many.
    often = min(1.0, PROBE_BUDGET / max(state.settings["probe_price"], PROBE_BUDGET))
    answered = max(state.probe_answer_share, MIN_PROBE_SHARE)
    return stale if useful and state.rng.random() < often * answered else []

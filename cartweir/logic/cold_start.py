"""Slow start of appliances whose caches are cold."""

from __future__ import annotations

from ..interface import Appliance
from ..state import AgentState


def warmth(state: AgentState, appliance: Appliance) -> float:
    """Returns the share of its usual traffic that an appliance can bear; it rises linearly from its start."""
    age, warm_time = max(0, state.host.now - appliance.started), state.settings["warm_time"]
    ramp = age / warm_time if appliance.started and age < warm_time else 1.0
    return ramp + (1 - ramp) * state.settings["cold_share"]

"""The settings object of a run's deployment, as the platform writes it."""

from __future__ import annotations

from typing import Any

from .clients import ISSUE, ORDER, TIME_LIMITS, VIEW
from .rules import KEY_WINDOW
from .schedule import SECOND, Deployment

STAGE_CAPS = (0.2, 0.5, 1.0)
SHARES = (0.15, 0.4, 1.0)
FREE_ATTEMPTS = 1.0
WINDOW = 4 * SECOND
CONNECT_TIMEOUT = 250.0  # milliseconds


def make_settings(deployment: Deployment, agent: int, zone: str) -> dict[str, Any]:
    """Returns the settings of one agent."""
    longest = float(max(TIME_LIMITS))
    return {
        "balancers": deployment.agents,
        "me": agent - 1,
        "zone": zone,
        "tick": 5.0,
        "registryMode": "pushed" if deployment.pushed else "on_request",
        "allowed": {
            "cancel": True,
            "probing": True,
            "peers": False,
            "mayDuplicate": False,
            "retryAfter": True,
            "maxRetryAfter": 500.0,
            "tryLimit": 4,
            "connectTimeout": CONNECT_TIMEOUT,
            "keepalive": deployment.idle_time / 1000,
        },
        "safety": {
            "coldFrom": deployment.cold_share,
            "warmAfter": deployment.warm_time / 1000,
            "fallMultiple": deployment.fall_multiple,
            "fall": deployment.fall_time / 1000,
            "drainGrace": deployment.drain_grace / 1000,
        },
        "familyInfo": {
            "control": "by_count",
            "votesToGo": 2,
            "noesNeeded": 1,
            "ballotTtl": 6000.0,
            "voteAllowance": 200.0,
            "mostShares": list(STAGE_CAPS),
            "steps": list(SHARES),
            "span": WINDOW / 1000,
            "spareTries": FREE_ATTEMPTS,
            "oneWay": deployment.one_way,
            "foundShare": 0.3,
            "style": "parallel",
            "per": "all",
            "callTimeout": 300.0,
        },
        "classes": [
            {"name": VIEW, "effect": "retryable", "aim": 1000.0, "hardLimit": longest, "worth": 1.0},
            {
                "name": ORDER,
                "effect": "dedup",
                "dedupScope": "all",
                "window": KEY_WINDOW / 1000,
                "aim": 750.0,
                "hardLimit": longest,
                "worth": 3.0,
            },
            {"name": ISSUE, "effect": "fragile", "aim": 1000.0, "hardLimit": longest, "worth": 2.0},
        ],
    }

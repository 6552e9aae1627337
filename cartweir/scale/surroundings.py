"""Servers, settings and surroundings for an agent's control state that runs without sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..hosting.appliance_list import ListEntry
from ..hosting.engine_host import EngineHost
from ..hosting.platform_settings import parse_settings
from ..interface import ON_TRIAL, RELEASED, Appliance, Dispatch, Stage

SECOND = 1_000_000  # microseconds
ZONES = 11


def server_name(number: int) -> str:
    """As long as names of servers in a large fleet are."""
    return f"server-{number:05}"


def zone_of(number: int) -> str:
    """Servers are spread evenly."""
    return f"zone-{number % ZONES:02}"


def address_of(number: int) -> str:
    """A private address with its port."""
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8443"


def row_of(number: int, build: int = 1, run: int = 1) -> ListEntry:
    """An entry as the roster takes it."""
    return ListEntry(
        server_name(number), build, run, 0, zone=zone_of(number), cell=number % 7, kind="standard", weight=1.0
    )


def settings(agents: int = 1, me: int = 0, **more: Any) -> dict[str, Any]:
    """The plain map of settings, as an agent's configuration gives it."""
    operation = {"name": "read", "effect": "retryable", "aim": 1_000, "hardLimit": 3_000}
    return parse_settings(
        {
            "balancers": agents,
            "me": me,
            "zone": zone_of(0),
            "classes": [operation],
            "allowed": {"cancel": True, "peers": agents > 1, "tryLimit": 3},
            "familyInfo": {
                "control": "by_count",
                "mostShares": [0.2, 0.6, 1.0],
                "steps": [0.1, 0.5, 1.0],
                "spareTries": 1,
            },
            **more,
        }
    )


class RecordingEnvironment:
    """A seat's surroundings that carry nothing out: what would go over a socket is noted."""

    def __init__(self) -> None:
        """At the beginning of time."""
        self.time = SECOND
        self.dispatches: list[Dispatch] = []
        self.messages: list[tuple[int | None, list[int]]] = []

    def now(self) -> int:
        """Stands still unless it is set."""
        return self.time

    def start(self, dispatch: Dispatch, call: Any) -> RecordingEnvironment:
        """Nothing leaves."""
        self.dispatches.append(dispatch)
        return self

    def message(self, to: int | None, figures: list[int]) -> None:
        """Nothing leaves."""
        self.messages.append((to, figures))

    def schedule_alarm(self, due: int) -> None:
        """Time stands still."""

    def run_soon(self, do: Callable[[], None]) -> None:
        """Nothing that is put off here changes what is measured."""

    def probe(self, appliance: Appliance) -> None:
        """Nothing leaves."""

    def vote(self, build: int, stage: int, verdict: str) -> None:
        """Nothing leaves."""

    def subscribe(self) -> None:
        """Nothing leaves."""

    def fetch_list(self) -> None:
        """Nothing leaves."""

    def log_event(self, event: str, **facts: Any) -> None:
        """Nothing is logged."""

    def abandon(self, late: bool) -> None:
        """As an attempt: nothing was sent."""


def released() -> Stage:
    """The word on a build that is on trial no more."""
    return Stage(1, 2, RELEASED, 1.0, 0)


def make_engine_host(environment: RecordingEnvironment, stage: Stage | None, **more: Any) -> EngineHost:
    """An agent's control state before its first list; stage: as controllers told it, None for not yet."""
    engine_host = EngineHost(environment, settings(**more), seed=1)
    if stage:
        engine_host.apply_stage(stage)
    return engine_host


def make_engine_host_with(servers: int, trial_share: float = 0.0) -> tuple[EngineHost, RecordingEnvironment]:
    """An agent's control state that knows so many ready servers; a share of them runs a build on trial."""
    environment, trial = RecordingEnvironment(), round(servers * trial_share)
    engine_host = make_engine_host(environment, Stage(2, 1, ON_TRIAL, 0.6, 0) if trial else released())
    engine_host.apply_list("whole", (row_of(number, 2 if number < trial else 1) for number in range(servers)))
    return engine_host, environment

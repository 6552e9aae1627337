"""The target's budgets and what measured slopes come to beside them: rows of docs/CAPACITY.md. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .axes import RANGES, Axis
from .workload import Quantity

# the target in two years
AGENTS, SERVERS = RANGES[Axis.AGENTS].target, RANGES[Axis.SERVERS].target
REQUESTS_A_SECOND = 210_000 / AGENTS  # at each agent
ADDED_MS = 4.6  # to a request, for 99 in 100
IN_FORCE_S = 12.0  # a change, everywhere
CORE_SHARE = 0.044  # of an agent's core, for control
MEMORY_MB = 32.0
BYTES_A_SECOND = 21_000.0
# what a release does: every server restarts in ten minutes, and each restart is at least one changed entry
RESTARTS_A_SECOND = SERVERS / 600
WHOLE_FROM = 100  # figures are printed without decimals from here on
STAGE_REPEATS_A_SECOND = 1 / 4  # `[waves] repeat`
HUB_ROUNDS_A_SECOND = 2 * 2 / 10  # twice a second for 2 s, then another agent is the hub; in the worst 10 s
BALLOTS_A_SECOND = 100  # `[release] vote_allowance`
LOOKS_A_SECOND = 20 * RANGES[Axis.DUTIES].target  # daemon.WORK, for each release
OWNERS_CORES = float(RANGES[Axis.MEMBERS].target)  # each member's process has one
BURST = 100  # changes


class FiguresError(ValueError):
    """Raw figures that lack what a row needs; the text says which and what is right."""


@dataclass(frozen=True)
class Figure:
    """A value at the target's size, and how far beyond the largest measured size that lies; 1: not at all."""

    at_target: float
    extrapolation: float


class Figures:
    """Raw figures of `cartweir scale slopes --json`, looked up by measurement and quantity."""

    def __init__(self, raw: Any) -> None:
        """Raises FiguresError where this is no such file's content."""
        try:
            self._found = {
                (row["measurement"], row["quantity"]): Figure(
                    float(row["at_target"]), float(row["extrapolation"])
                )
                for row in raw["slopes"]
            }
        except (TypeError, KeyError, ValueError):
            raise FiguresError(
                "holds no slopes: a file of `cartweir scale slopes --json` is needed"
            ) from None

    def of(self, measurement: str, quantity: Quantity) -> Figure:
        """Raises FiguresError where it was not measured."""
        try:
            return self._found[measurement, quantity.value]
        except KeyError:
            what = f"{quantity.value} of {measurement}"
            raise FiguresError(f"holds no {what}: a run of all measurements with times is needed") from None


@dataclass(frozen=True)
class Row:
    """One slope's value at the target, times a factor, beside the budget in the same unit."""

    role: str
    what: str
    slope: tuple[str, Quantity]
    factor: float
    unit: str
    budget: float

    def figure(self, figures: Figures) -> float:
        """In the row's unit."""
        return figures.of(*self.slope).at_target * self.factor


def _core(role: str, what: str, measurement: str, a_second: float, budget: float) -> Row:
    """A share of one core, for so many operations a second."""
    return Row(role, what, (measurement, Quantity.PROCESSOR), a_second / 1e6, "of a core", budget)


CONTROL, DATA_PATH = "agent, control", "agent, data path"
CONTROLLER, REGISTRY = "controller", "registry"
BYTES, MEMORY, RESIDENT = Quantity.BYTES, Quantity.MEMORY, Quantity.RESIDENT
PROCESSOR, WAIT = Quantity.PROCESSOR, Quantity.WAIT
RELEASE = "all servers restart in 10 minutes"

ROWS: tuple[Row, ...] = (
    _core(CONTROL, f"{RELEASE}: list followed", "agent-watch-change", RESTARTS_A_SECOND, CORE_SHARE),
    _core(
        CONTROL,
        f"{RELEASE}: list followed and kept",
        "agent-watch-change-kept",
        RESTARTS_A_SECOND,
        CORE_SHARE,
    ),
    _core(CONTROL, "the stage told again every 4 s", "agent-stage", STAGE_REPEATS_A_SECOND, CORE_SHARE),
    _core(CONTROL, "the hub of counts, worst 10 s", "agent-hub", HUB_ROUNDS_A_SECOND, CORE_SHARE),
    Row(
        CONTROL,
        f"{RELEASE}: entries",
        ("registry-change", BYTES),
        RESTARTS_A_SECOND / AGENTS,
        "B/s",
        BYTES_A_SECOND,
    ),
    Row(
        CONTROL,
        "the hub of counts, worst 10 s",
        ("agent-hub", BYTES),
        HUB_ROUNDS_A_SECOND,
        "B/s",
        BYTES_A_SECOND,
    ),
    Row(
        CONTROL,
        "a whole list at the budget's rate",
        ("agent-watch-list", BYTES),
        1 / BYTES_A_SECOND,
        "s",
        IN_FORCE_S,
    ),
    Row(
        CONTROL,
        "the platform's, likewise",
        ("agent-platform-list", BYTES),
        1 / BYTES_A_SECOND,
        "s",
        IN_FORCE_S,
    ),
    Row(CONTROL, "first list before a stage", ("agent-first-list", PROCESSOR), 1e-6, "s", IN_FORCE_S),
    Row(CONTROL, "gRPC agent's process", ("agent-resident", RESIDENT), 1e-6, "MB", MEMORY_MB),
    Row(CONTROL, "node's process", ("node-resident", RESIDENT), 1e-6, "MB", MEMORY_MB),
    Row(CONTROL, "roster and notes alone", ("agent-change", MEMORY), 1e-6, "MB", MEMORY_MB),
    Row(CONTROL, "quotas alone", ("agent-quotas", MEMORY), 1e-6, "MB", MEMORY_MB),
    _core(DATA_PATH, "requests, no build on trial", "agent-request", REQUESTS_A_SECOND, 1.0),
    _core(DATA_PATH, "requests, half on trial", "agent-request-trial", REQUESTS_A_SECOND, 1.0),
    Row(DATA_PATH, "processor a request, none on trial", ("agent-request", PROCESSOR), 1e-3, "ms", ADDED_MS),
    Row(DATA_PATH, "the same, half on trial", ("agent-request-trial", PROCESSOR), 1e-3, "ms", ADDED_MS),
    # control and data path share one loop: what one holds, the other waits for
    Row(DATA_PATH, "held up by one changed entry", ("agent-watch-change", PROCESSOR), 1e-3, "ms", ADDED_MS),
    Row(DATA_PATH, "held up by the stage told again", ("agent-stage", PROCESSOR), 1e-3, "ms", ADDED_MS),
    Row(DATA_PATH, "held up by a whole list", ("agent-watch-list", PROCESSOR), 1e-3, "ms", ADDED_MS),
    _core(CONTROLLER, "ballots at a member", "controller-ballot", BALLOTS_A_SECOND, 1.0),
    _core(CONTROLLER, "ballots' entries, all members", "controller-entry", BALLOTS_A_SECOND, 1.0),
    _core(CONTROLLER, "looks at 280 releases, all owners", "controller-look", LOOKS_A_SECOND, OWNERS_CORES),
    _core(CONTROLLER, "idle, all members", "controller-idle", 1, 1.0),
    Row(CONTROLLER, f"{BURST} decisions told", ("controller-news", PROCESSOR), BURST * 1e-6, "s", IN_FORCE_S),
    Row(CONTROLLER, "all agents back at one member", ("controller-coming-back", WAIT), 1e-3, "s", IN_FORCE_S),
    _core(REGISTRY, f"{RELEASE}: entries to all", "registry-change", RESTARTS_A_SECOND, 1.0),
)


def table(figures: Figures, rows: Sequence[Row] = ROWS) -> str:
    """As Markdown.

    Raises FiguresError.
    """
    lines = [
        "| role | what | figure | budget | of the budget | slope | extrapolated |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += [_line(row, figures) for row in rows]
    return "\n".join(lines)


def _line(row: Row, figures: Figures) -> str:
    value, (measurement, quantity) = row.figure(figures), row.slope
    # times hang on the machine: beside their budget alone
    shown = "-" if quantity is PROCESSOR and row.unit in ("s", "ms") else f"{_number(value)} {row.unit}"
    verdict = "" if value <= row.budget else ", **does not fit**"
    factor = figures.of(*row.slope).extrapolation
    return (
        f"| {row.role} | {row.what} | {shown} | {_number(row.budget)} {row.unit} "
        f"| {value / row.budget:.2g}{verdict} | `{measurement}`, {quantity.value} "
        f"| {'no' if factor == 1 else f'{factor:.1f} times'} |"
    )


def _number(value: float) -> str:
    return f"{value:,.0f}" if value >= WHOLE_FROM else f"{value:.2g}"

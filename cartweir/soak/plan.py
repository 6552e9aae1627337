"""The faults of one process at its boundary to the machine, as data that fits in a file."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

SHORT = "SHORT"  # in place of an errno: the call transfers a part of what it could
BROKEN = ("ETIMEDOUT", "EHOSTUNREACH")  # errors of a connection that has broken


@dataclass(frozen=True)
class ClockStep:
    """A step of the wall clock.

    Attributes:
        at: When it happens, in microseconds after the clients' start.
        seconds: How far the clock is set forward; below 0: back.
    """

    at: int
    seconds: float


@dataclass(frozen=True)
class CallFault:
    """A system call that fails for a while.

    Attributes:
        call: One of accept, connect, socket, send, recv, open and log (writes to standard error).
        error: Name of the errno, or SHORT.
        begins_at: From when on, in microseconds after the clients' start.
        ends_at: Until when.
        share: The share of the calls that fail.
    """

    call: str
    error: str
    begins_at: int
    ends_at: int
    share: float


@dataclass(frozen=True)
class ProcessPlan:
    """All faults of one process.

    Attributes:
        seed: Which of the calls fail is drawn from it.
        steps: Steps of the wall clock.
        calls: System calls that fail.
        origin_file: The file that appears as the clients start, with that time in microseconds of the
            monotonic clock; nothing fails before.
        flaw: A fault that is put into the program itself (`flaws.py`); empty for none.
    """

    seed: int = 0
    steps: Sequence[ClockStep] = field(default=())
    calls: Sequence[CallFault] = field(default=())
    origin_file: str = ""
    flaw: str = ""

    def write(self, path: Path) -> None:
        """Writes the plan to a file."""
        path.write_text(json.dumps(asdict(self)))

    @classmethod
    def read(cls, path: Path) -> ProcessPlan:
        """Reads a plan that `write` has written."""
        found = json.loads(path.read_text())
        return cls(
            found["seed"],
            tuple(ClockStep(**step) for step in found["steps"]),
            tuple(CallFault(**fault) for fault in found["calls"]),
            found["origin_file"],
            found["flaw"],
        )


def write_origin(path: Path, at: int) -> None:
    """Lets the times of all plans begin that name this file."""
    part = path.with_suffix(".part")
    part.write_text(str(at))
    part.replace(path)

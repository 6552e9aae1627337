"""What is measured: one operation of one role, on state that was prepared at a size. No I/O of its own."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from .axes import Axis
from .meter import Meter


class Quantity(Enum):
    """What is counted of an operation, or held after the preparation; the value is how it is printed."""

    INSTRUCTIONS = "bytecode instructions"
    MESSAGES = "messages"
    BYTES = "bytes of messages"
    DISK_WRITES = "disk writes"
    DISK_BYTES = "bytes to disk"
    SNAPSHOT = "bytes of snapshot"
    WAIT = "ms until the last"
    MEMORY = "bytes of memory"
    RESIDENT = "bytes resident"
    PROCESSOR = "us of processor"


class MeasurementError(Exception):
    """An operation that did not do what was to be measured; the text says which and why."""


@dataclass
class Counts:
    """What operations have sent, read or written so far."""

    totals: Counter[Quantity] = field(default_factory=Counter)

    def add(self, quantity: Quantity, amount: int = 1) -> None:
        """Note an amount."""
        self.totals[quantity] += amount

    def add_message(self, size: int, receivers: int = 1) -> None:
        """Note a message of so many bytes as the program encodes it, to or from so many."""
        self.totals[Quantity.MESSAGES] += receivers
        self.totals[Quantity.BYTES] += size * receivers


class Workload(Protocol):
    """State at one size, with an operation that can be carried out again and again."""

    counts: Counts

    def operate(self, meter: Meter) -> None:
        """Carry the operation out once, with the part that is to be measured inside the meter."""

    def close(self) -> None:
        """Give back files and loops."""


class InMemory:
    """A base for workloads that hold nothing but memory."""

    def __init__(self) -> None:
        """Nothing is counted yet."""
        self.counts = Counts()

    def close(self) -> None:
        """Nothing is held."""


@dataclass(frozen=True)
class Measurement:
    """One row of the table: `prepare` gives a workload at a size along the axis."""

    name: str
    role: str
    axis: Axis
    operation: str  # what one operation is, in words
    prepare: Callable[[int], Workload]
    holds_state: bool = False  # whether the memory of what was prepared is a figure of the role
    operations: int = 1  # that one call of operate() carries out
    most_counted: int | None = None  # at larger sizes counting instructions would take minutes
    repeats: bool = True  # False: one operation tells all there is, such as a child process

"""Meters around one operation: executed bytecode instructions, or processor time of this thread.

Instructions are a count: the same operation gives the same figure on a busy machine as on an idle one, though
another one under another Python version. What runs in C (sorting, JSON, protobuf) counts as one instruction
however long it takes, so that times stand beside them.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from types import FrameType
from typing import Any, Protocol


class Meter(Protocol):
    """Sums up what passes between begin() and end(), as often as that is called."""

    total: float

    def begin(self) -> None:
        """Start to count."""

    def end(self, keep: bool = True) -> None:
        """Stop; keep: whether what passed since begin() is added to the total."""


class InstructionMeter:
    """Counts the bytecode instructions of this thread, in frames entered or resumed since begin()."""

    def __init__(self) -> None:
        """Start from nothing."""
        self.total = 0.0
        self._count = 0
        self._previous: Any = None

    def begin(self) -> None:
        """Start to count."""
        self._count, self._previous = 0, sys.gettrace()
        sys.settrace(self._enter)

    def end(self, keep: bool = True) -> None:
        """Stop, and put back the trace function that stood before."""
        sys.settrace(self._previous)
        if keep:
            self.total += self._count

    def _enter(self, frame: FrameType, event: str, argument: Any) -> Any:
        if frame.f_code is InstructionMeter.end.__code__:
            return None
        frame.f_trace_lines, frame.f_trace_opcodes = False, True
        return self._step

    def _step(self, frame: FrameType, event: str, argument: Any) -> Any:
        if event == "opcode":
            self._count += 1
        return self._step


class ProcessorMeter:
    """Sums up this thread's processor time in microseconds, without the time in which others ran."""

    def __init__(self) -> None:
        """Start from nothing."""
        self.total = 0.0
        self._since = 0

    def begin(self) -> None:
        """Start to count."""
        self._since = time.thread_time_ns()

    def end(self, keep: bool = True) -> None:
        """Stop; keep: whether what passed since begin() is added to the total."""
        passed = time.thread_time_ns() - self._since
        if keep:
            self.total += passed / 1000


@contextmanager
def metering(meter: Meter) -> Iterator[None]:
    """Count what the block does."""
    meter.begin()
    try:
        yield
    finally:
        meter.end()

"""What it costs to remember the ids of requests that may have run, counted.

Side-effecting requests with new ids come at a rate, on virtual time; each is checked, takes a place, and
ends as one that has run. Told are the memory of the ids, the requests that found no place, and the bytecode
instructions that the ids of one request take. Which ids find no place depends on the hashes of the process,
the other counts are the same each time.

    ./dev remembered_ids
    ./dev remembered_ids --rate 210 --seconds 3600 --memory-mb 32 192
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from cartweir.interface import SIDE_EFFECTING, Appliance, Dispatch, Invocation, Operation
from cartweir.logic.executed_requests import (
    ClientIds,
    ExecutedRequests,
    nothing_ran,
    remembered_ids_limit,
)

SECOND = 1_000_000  # microseconds
MEGABYTE = 1_000_000  # bytes
RESIDENT = 27 * MEGABYTE  # of a node after its start
LONGEST_REQUEST = 3 * SECOND
CLIENTS = 40  # connections, which ask in turn
ID_BYTES = 8
SAMPLE_INTERVAL = 997  # requests; one of each so many is counted


class InstructionCounter:
    """Counts the bytecode instructions that calls execute."""

    def __init__(self) -> None:
        self.count = 0

    def run(self, work: Callable[[], Any]) -> int:
        """Returns how many instructions a call executes."""
        self.count = 0
        sys.settrace(self._trace)
        try:
            work()
        finally:
            sys.settrace(None)
        return self.count

    def _trace(self, frame: FrameType, event: str, argument: Any) -> Any:
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        if event == "opcode":
            self.count += 1
        return self._trace


class Traffic:
    """Plays the requests.

    Attributes:
        executed: The ids.
        refused: Requests that found no place.
    """

    def __init__(self, memory_limit: int) -> None:
        self.executed = ExecutedRequests(remembered_ids_limit(memory_limit, RESIDENT), LONGEST_REQUEST, 0)
        self.refused = 0
        self._clients = [ClientIds() for _ in range(CLIENTS)]
        self._random = random.Random(1)
        self._invocation = Invocation(1, Operation("issue", SIDE_EFFECTING), 0, LONGEST_REQUEST)
        self._invocation.dispatches = [Dispatch(Appliance("a"))]

    def play(self, number: int, now: int) -> None:
        """Plays a request with a new id."""
        request_id, client = self._random.randbytes(ID_BYTES), self._clients[number % CLIENTS]
        known = self.executed.contains(request_id, now)
        if known or not self.executed.reserve(request_id, SIDE_EFFECTING, client, CLIENTS, now):
            self.refused += 1
            return
        if nothing_ran(self._invocation, throttled=False):
            self.executed.release(request_id, SIDE_EFFECTING, client, now)


def measure(rate: int, seconds: int, memory_mb: int) -> str:
    """Returns a line with what a span at a rate of requests a second costs at a memory limit."""
    traffic, counter, samples = Traffic(memory_mb * MEGABYTE), InstructionCounter(), []
    for number in range(rate * seconds):
        now = number * SECOND // rate
        if number % SAMPLE_INTERVAL:
            traffic.play(number, now)
        else:
            samples.append(counter.run(lambda number=number, now=now: traffic.play(number, now)))
    return (
        f"limit {memory_mb} MB: {rate * seconds} ids, {traffic.refused} found no place, "
        f"{traffic.executed.memory} bytes, "
        f"instructions a request {statistics.mean(samples):.0f} in the mean, {max(samples)} at most"
    )


def main() -> None:
    """Prints a line for each memory limit."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rate", type=int, default=210, help="requests a second")
    parser.add_argument("--seconds", type=int, default=3600)
    parser.add_argument("--memory-mb", type=int, nargs="+", default=[32, 64, 192])
    options = parser.parse_args()
    if min(options.rate, options.seconds, *options.memory_mb) < 1:
        parser.error("expected a rate, a time and limits of at least 1")
    for memory_mb in options.memory_mb:
        print(measure(options.rate, options.seconds, memory_mb), flush=True)


if __name__ == "__main__":
    main()

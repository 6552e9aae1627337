"""What became of a run."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .rules import Breach

SHOWN_BREACHES = 20


@dataclass(frozen=True)
class Result:
    """What became of a run.

    Attributes:
        seed: Its seed.
        breaches: The broken rules.
        endings: Requests by how they ended, answers by their status.
        actions: Actions by kind.
        faults: Injected faults by call and error.
        processes: Processes that ran at the same time, at most.
        starts: Starts of servers that were told.
        cold_pressure: The highest share that a cold server got of what pushes one over.
        violations: Violations that agents counted themselves, by invariant.
        attacks: Connections of hostile clients, by what they did.
        memory: The highest share that an agent had of its memory limit.
    """

    seed: int
    breaches: list[Breach]
    endings: dict[str, int]
    actions: dict[str, int]
    faults: dict[str, int]
    processes: int
    starts: int
    cold_pressure: float
    violations: dict[str, int]
    attacks: dict[str, int]
    memory: float

    def text(self) -> str:
        """Returns the result as lines."""
        verdict = f"{len(self.breaches)} breaches" if self.breaches else "all rules kept"
        lines = [
            f"seed {self.seed}: {verdict}; {self.processes} processes, {self.starts} cold starts, "
            f"at most {self.cold_pressure:.2f} of a fall, {self.memory:.2f} of the memory",
            f"  requests: {_counts(self.endings)}",
            f"  actions: {_counts(self.actions)}",
            f"  faults: {_counts(self.faults)}",
            f"  hostile connections: {_counts(self.attacks)}",
        ]
        if self.violations:
            lines.append(f"  counted by the agents themselves: {_counts(self.violations)}")
        return "\n".join(lines + [f"  {breach}" for breach in self.breaches[:SHOWN_BREACHES]])


def _counts(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items())) or "none"

"""The result of an audit."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from .agent_process import AgentProcess, Dispatch
from .breach import Breach, Rule
from .exchange import OK

RULES = {
    Rule.ONE_ANSWER: "one final answer in time, nothing after it",
    Rule.NO_EFFECT_TWICE: "no effect twice",
    Rule.DRAINS: "drains kept",
    Rule.COLD_SERVERS: "no cold appliance pushed over",
    Rule.EXPOSURE: "exposure within the cap",
}
COLUMNS = (
    "taken",
    "succeeded",
    "throttled",
    "terminated",
    "left",
    "killed",
    "stopped",
    "late",
    "dispatches",
)
BREACHES_SHOWN = 20
UNKNOWN_BUILD = "?"
NO_BUILD = "-"

Table = dict[tuple[str, str], Counter[str]]


@dataclass
class Report:
    """The result of an audit.

    Attributes:
        table: the counts of calls and dispatches, by operation and build.
        votes: the agents' votes.
        offered: what a replayed day offered.
        lives: the number of agents' processes.
        late_calls: calls that arrived with less time than the way back takes.
    """

    breaches: list[Breach]
    table: Table
    votes: list[dict[str, Any]]
    offered: list[str] = field(default_factory=list)
    lives: int = 0
    late_calls: int = 0

    def verdict(self, rule: int) -> str:
        """Returns whether a rule was kept, for people."""
        count = sum(breach.rule == rule for breach in self.breaches)
        return f"BROKEN {count} times" if count else "kept"

    def as_dict(self) -> dict[str, Any]:
        """Returns the report as JSON holds it."""
        return {
            "rules": {int(rule): self.verdict(rule) for rule in RULES},
            "lives": self.lives,
            "breaches": [[breach.rule, breach.time, breach.where, breach.what] for breach in self.breaches],
            "table": [
                {"operation": operation, "build": build, **counts}
                for (operation, build), counts in sorted(self.table.items())
            ],
            "votes": self.votes,
        }

    def text(self) -> str:
        """Returns the report for people."""
        header = f"{'operation':<16}{'build':>7}" + "".join(f"{name:>12}" for name in COLUMNS)
        rules = [f"rule {rule}, {words}: {self.verdict(rule)}" for rule, words in RULES.items()]
        return "\n".join([header, *self._table_lines(), "", *rules, *self._breach_lines()])

    def _table_lines(self) -> list[str]:
        return [
            f"{operation:<16}{build:>7}" + "".join(f"{counts[name] or '-':>12}" for name in COLUMNS)
            for (operation, build), counts in sorted(self.table.items())
        ]

    def _breach_lines(self) -> list[str]:
        in_order = sorted(self.breaches, key=lambda breach: (breach.rule, breach.time))
        lines = [
            f"  rule {breach.rule} at {breach.time}: {breach.where}: {breach.what}"
            for breach in in_order[:BREACHES_SHOWN]
        ]
        if len(in_order) > BREACHES_SHOWN:
            lines.append(f"  and {len(in_order) - BREACHES_SHOWN} more")
        return lines


def count_calls(processes: list[AgentProcess]) -> Table:
    """Returns the counts of calls and dispatches, by operation and build."""
    table: Table = {}
    for process in processes:
        builds = {dispatch.exchange: _build_of(dispatch) for dispatch in process.dispatches}
        for call in process.taken:
            answered = [d for d in call.dispatches if d.trailers.get("grpc-status") == OK]
            has_succeeded = call.outcome == "succeeded"
            build = builds[answered[0]] if has_succeeded and answered else NO_BUILD
            row = table.setdefault((call.operation, build), Counter())
            row["taken"] += 1
            row[call.outcome] += 1
            slo_time = process.document.operations[call.operation].slo_time
            row["late"] += has_succeeded and call.front.answered_at - call.front.began_at > slo_time
            for dispatch in call.dispatches:
                table.setdefault((call.operation, builds[dispatch]), Counter())["dispatches"] += 1
    return table


def _build_of(dispatch: Dispatch) -> str:
    return str(dispatch.told.entry.build) if dispatch.told else UNKNOWN_BUILD

"""Compares what receivers and agents saw with what the controllers decided.

The decisions are the log entries that a majority of the controllers' directories holds, read after all
processes have ended. No controller is asked about itself.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import msgpack

from ..controller.directory import new_fleet_state
from ..controller.settings import ControllerDocument
from ..controller.store import Store
from ..fleet.duties import RELEASE
from ..fleet.raft.log import EntryKind
from ..fleet.rollout import Answer

PHASES = ("on trial", "going back", "released", "withdrawn")  # as agents log them, by number

Decisions = dict[tuple, Any]  # the view of a duty by its name and token


class CommittedEntry(NamedTuple):
    """The term of an entry, and its command; None for an entry without one."""

    term: int
    command: bytes | None


@dataclass
class ConsistencyReport:
    """The result of a check; written out under the names of its fields.

    Attributes:
        breaches: what is wrong, one line each.
        decided: the index of the last entry that a majority holds.
        effects: decisions that receivers carried out and agents followed.
        late: effects that receivers refused as late.
        ballots: ballots that were answered ok.
        steps: steps that were run.
        owners: grants of duties in the log.
    """

    breaches: list[str] = field(default_factory=list)
    decided: int = 0
    effects: int = 0
    late: int = 0
    ballots: int = 0
    steps: int = 0
    owners: int = 0

    def text(self) -> str:
        """Returns the report for people."""
        return "\n".join(
            [
                f"decided {self.decided}, owners {self.owners}, effects carried out {self.effects}, "
                f"refused as late {self.late}, ballots answered ok {self.ballots}, steps run {self.steps}",
                *(self.breaches or ["no breach"]),
            ]
        )


def committed_entries(
    documents: Iterable[ControllerDocument], report: ConsistencyReport
) -> dict[int, CommittedEntry]:
    """Returns the entries that a majority holds, by index; adds a breach for a log that was compacted."""
    logs: list[dict[int, CommittedEntry]] = []
    documents = list(documents)
    for document in documents:
        store = Store(Path(document.controller.directory))
        state = store.open()
        store.close()
        if state.snapshot.index:
            report.breaches.append(
                f"{document.controller.name}: its log was compacted: expected a higher [controller] compact"
            )
        logs.append(
            {
                entry.index: CommittedEntry(
                    entry.term, entry.data if entry.kind == EntryKind.COMMAND else None
                )
                for entry in state.entries
            }
        )
    committed: dict[int, CommittedEntry] = {}
    for index in range(1, max((max(log, default=0) for log in logs), default=0) + 1):
        held = [log[index] for log in logs if index in log]
        if by_majority := [entry for entry in held if 2 * held.count(entry) > len(documents)]:
            committed[index] = by_majority[0]
    return committed


def check_consistency(
    documents: list[ControllerDocument],
    record_path: Path,
    followed_stages: list[dict[str, Any]],
    acknowledged_votes: list[tuple],
) -> ConsistencyReport:
    """Checks a run whose processes have ended.

    Args:
        documents: the settings of the controllers.
        record_path: the file of the receivers.
        followed_stages: what agents followed, in order.
        acknowledged_votes: agent, build and stage of each ballot that was answered ok.
    """
    report = ConsistencyReport()
    committed = committed_entries(documents, report)
    report.decided = max(committed, default=0)
    fleet = new_fleet_state(documents[0])
    decisions: Decisions = {}
    counted_votes: set[tuple] = set()
    for index in sorted(committed):
        if committed[index].command is not None:
            command = msgpack.unpackb(committed[index].command, strict_map_key=False)
            answer, what = fleet.apply(index, command), command.get("what", {})
            report.owners += (
                command["do"] == "grant" and command["after"] != fleet.duties[command["duty"]].epoch
            )
            if what.get("what") == "vote" and answer == Answer.OK:
                counted_votes.add((what["agent"], what["build"], what["stage"]))
        for name, duty in fleet.duties.items():
            decisions[name, tuple(duty.token)] = duty.state.view()
    _check_receivers(
        report,
        [json.loads(line) for line in record_path.read_text().splitlines()],
        decisions,
        {f"steps {name}": list(steps.names) for name, steps in documents[0].steps.items()},
    )
    _check_agents(report, followed_stages, decisions)
    report.ballots = len(acknowledged_votes)
    report.breaches += [
        f"ballot {ballot} was answered ok and is not in the log"
        for ballot in set(acknowledged_votes) - counted_votes
    ]
    return report


def _check_receivers(
    report: ConsistencyReport, rows: list[dict], decisions: Decisions, steps: dict[str, list[str]]
) -> None:
    highest: dict[str, tuple] = {}  # token by duty
    executed: dict[str, list] = {name: [] for name in steps}
    wanted_under: dict[tuple, Any] = {}  # by duty and token
    for row in rows:
        duty, token = row["duty"], (row["epoch"], row["index"])
        if not row.get("taken", row.get("how") == "run"):
            report.late += 1
            continue
        report.effects += 1
        if token < highest.get(duty, (0, 0)):
            report.breaches.append(
                f"{duty}: an effect of {token} was carried out after one of {highest[duty]}"
            )
        highest[duty] = max(highest.get(duty, (0, 0)), token)
        view = decisions.get((duty, token))
        if view is None:
            report.breaches.append(f"{duty}: an effect of {token}, which was never decided")
        elif row["kind"] == "machines":
            wanted = (row["build"], row["stage"], {int(build): n for build, n in row["wanted"].items()})
            is_as_decided = wanted == (view[0], view[1], view[3])
            if not is_as_decided or wanted_under.setdefault((duty, token), wanted) != wanted:
                report.breaches.append(f"{duty}: {wanted} was wanted under {token}, decided was {view}")
        else:
            executed[duty].append((row["number"], row["name"]))
    for duty, run in executed.items():
        report.steps += len(run)
        if run != list(enumerate(steps[duty]))[: len(run)]:
            report.breaches.append(f"{duty}: carried out as {run}")


def _check_agents(report: ConsistencyReport, rows: list[dict], decisions: Decisions) -> None:
    highest: dict[int, tuple] = {}  # token by agent
    for row in rows:
        agent, token = row["agent"], (row["epoch"], row["index"])
        report.effects += 1
        if token < highest.get(agent, (0, 0)):
            report.breaches.append(f"agent {agent}: followed {token} after {highest[agent]}")
        highest[agent] = max(highest.get(agent, (0, 0)), token)
        view = decisions.get((RELEASE, token))
        is_as_decided = view is not None and (row["build"], row["stage"], row["phase"]) == (
            view[0],
            view[1],
            PHASES[view[2]],
        )
        if not is_as_decided:
            report.breaches.append(
                f"agent {agent}: followed build {row['build']}, stage {row['stage']}, {row['phase']} "
                f"under {token}, decided was {view}"
            )

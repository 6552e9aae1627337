"""What receivers saw, beside what was decided: the log of a majority, read from the controllers' directories once they have
ended. No controller is asked what it thinks of itself."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgpack

from ..controller.directory import new_fleet_state
from ..controller.settings import ControllerDocument
from ..controller.store import Store
from ..fleet.duties import RELEASE
from ..fleet.raft.log import EntryKind
from ..fleet.rollout import Answer


@dataclass
class ConsistencyReport:
    breaches: list[str] = field(default_factory=list)
    decided: int = 0
    effects: int = 0  # taken by receivers
    late: int = 0  # refused by them
    ballots: int = 0  # told ok
    steps: int = 0
    owners: int = 0  # grants in the log

    def text(self) -> str:
        return "\n".join(
            [
                f"decided {self.decided}, owners {self.owners}, effects taken {self.effects}, refused as late {self.late}, "
                f"ballots told ok {self.ballots}, steps done {self.steps}",
                *(self.breaches or ["no breach"]),
            ]
        )


def logs(
    documents: Iterable[ControllerDocument], verdict: ConsistencyReport
) -> dict[int, tuple[int, bytes | None]]:
    """By index: term and command of all that a majority holds. Two that hold different ones there are a breach."""
    held: list[dict[int, tuple[int, Any]]] = []
    documents = list(documents)
    for document in documents:
        store = Store(Path(document.controller.directory))
        kept = store.open()
        store.close()
        if kept.snapshot.index:
            verdict.breaches.append(
                f"{document.controller.name}: its log was folded: [controller] compact is too low for a verdict"
            )
        held.append(
            {e.index: (e.term, e.data if e.kind == EntryKind.COMMAND else None) for e in kept.entries}
        )
    found: dict[int, tuple[int, Any]] = {}
    for index in range(1, max((max(log, default=0) for log in held), default=0) + 1):
        rows = [log[index] for log in held if index in log]
        if best := [row for row in rows if 2 * rows.count(row) > len(documents)]:
            found[index] = best[0]
    return found


def check_consistency(
    documents: list[ControllerDocument], record: Path, agents: list[dict[str, Any]], told_ok: list[tuple]
) -> ConsistencyReport:
    """record: of the receivers. agents: rows of what agents followed, in order. told_ok: agent, build and stage of ballots."""
    verdict = ConsistencyReport()
    log = logs(documents, verdict)
    verdict.decided = max(log, default=0)
    fleet = new_fleet_state(documents[0])
    faces: dict[tuple, Any] = {}  # by duty and token: what may be told under it
    counted: set[tuple] = set()
    for index in sorted(log):
        if log[index][1] is not None:
            command = msgpack.unpackb(log[index][1], strict_map_key=False)
            answer, what = fleet.apply(index, command), command.get("what", {})
            verdict.owners += (
                command["do"] == "grant" and command["after"] != fleet.duties[command["duty"]].epoch
            )
            if what.get("what") == "vote" and answer == Answer.OK:
                counted.add((what["agent"], what["build"], what["stage"]))
        for name, duty in fleet.duties.items():
            faces[name, tuple(duty.token)] = duty.state.view()
    _receivers(
        verdict,
        [json.loads(line) for line in record.read_text().splitlines()],
        faces,
        {f"steps {n}": list(s.names) for n, s in documents[0].steps.items()},
    )
    _agents(verdict, agents, faces)
    verdict.ballots = len(told_ok)
    verdict.breaches += [
        f"ballot {ballot} was told ok and is not in the log" for ballot in set(told_ok) - counted
    ]
    return verdict


def _receivers(
    verdict: ConsistencyReport, rows: list[dict], faces: dict, steps: dict[str, list[str]]
) -> None:
    highest: dict[str, tuple] = {}
    done: dict[str, list] = {name: [] for name in steps}
    under: dict[tuple, Any] = {}
    for row in rows:
        duty, stamp = row["duty"], (row["epoch"], row["index"])
        if not row.get("taken", row.get("how") == "run"):
            verdict.late += 1
            continue
        verdict.effects += 1
        if stamp < highest.get(duty, (0, 0)):
            verdict.breaches.append(
                f"{duty}: an effect of {stamp} was carried out after one of {highest[duty]}"
            )
        highest[duty] = max(highest.get(duty, (0, 0)), stamp)
        face = faces.get((duty, stamp))
        if face is None:
            verdict.breaches.append(f"{duty}: an effect of {stamp}, which was never decided")
        elif row["kind"] == "machines":
            told = (row["build"], row["stage"], {int(b): n for b, n in row["wanted"].items()})
            if told != (face[0], face[1], face[3]) or under.setdefault((duty, stamp), told) != told:
                verdict.breaches.append(f"{duty}: {told} was wanted under {stamp}, decided was {face}")
        else:
            done[duty].append((row["number"], row["name"]))
    for duty, found in done.items():
        verdict.steps += len(found)
        if found != list(enumerate(steps[duty]))[: len(found)]:
            verdict.breaches.append(f"{duty}: carried out as {found}")


def _agents(verdict: ConsistencyReport, rows: list[dict], faces: dict) -> None:
    highest: dict[int, tuple] = {}
    phases = ("on trial", "going back", "released", "withdrawn")
    for row in rows:
        who, stamp = row["agent"], (row["epoch"], row["index"])
        verdict.effects += 1
        if stamp < highest.get(who, (0, 0)):
            verdict.breaches.append(f"agent {who}: followed {stamp} after {highest[who]}")
        highest[who] = max(highest.get(who, (0, 0)), stamp)
        face = faces.get((RELEASE, stamp))
        if face is None or (row["build"], row["stage"], row["phase"]) != (face[0], face[1], phases[face[2]]):
            verdict.breaches.append(
                f"agent {who}: was told build {row['build']}, stage {row['stage']}, {row['phase']} under {stamp}, "
                f"decided was {face}"
            )

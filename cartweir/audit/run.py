"""Audits the folder of one run: the recordings of agents, clients and servers, settings and facts."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from functools import partial
from pathlib import Path
from typing import Any

from ..settings.ini import BadInputError, read_agent
from .agent_process import ATTEMPT, AgentProcess, is_control_path
from .breach import Breach, Rule
from .decode import Tap, read_tap
from .exposure import check_exposure
from .report import Report, count_calls
from .rules import (
    Excuse,
    ServerStart,
    check_agreement,
    check_calls,
    check_cold_servers,
    check_drains,
)

CATCH_UP = 100_000  # microseconds that a process has, after it was stopped, for what arrived meanwhile
KINDS = ("agent", "clients", "field")
PART_SHIFT = (
    18  # connections of several parts in one recording are numbered by part and life: cores/process.py
)
LIVES_OF_PART = 256

Fact = dict[str, Any]


def audit(folder: Path) -> Report:
    """Audits the folder of a run.

    Raises:
        BadInputError: the folder lacks what is needed.
    """
    agents, clients, servers = _read_taps(folder)
    facts: list[Fact] = [json.loads(line) for line in _read_lines(folder / "facts.jsonl")]
    deadlines = {
        exchange.request[ATTEMPT]: exchange.began_at
        for tap in clients
        for exchange in tap.exchanges
        if ATTEMPT in exchange.request
    }
    lost_files = {
        fact["tap"]: frozenset(fact.get("loses", ())) for fact in facts if fact["event"] == "killed"
    }
    processes: list[AgentProcess] = []
    for tap in agents:
        previous = processes[-1] if processes else None
        processes.append(_read_process(folder, tap, deadlines, previous, lost_files))
    for process in processes:
        was_killed = process.tap.name in lost_files
        check_calls(process, partial(_excuse, process.tap.name, was_killed, facts))
        check_drains(process)
        check_exposure(process)
    breaches = [breach for process in processes for breach in process.breaches]
    breaches += check_cold_servers(
        [_server_start(fact) for fact in facts if fact["event"] == "machine"], servers
    )
    breaches += check_agreement(processes, servers)
    breaches += [
        Breach(Rule.COLD_SERVERS, fact["time"], fact["ident"], "fell over")
        for fact in facts
        if fact["event"] == "fell"
    ]
    votes = [fact for fact in facts if fact["event"] == "vote"]
    return Report(breaches, count_calls(processes), votes, lives=len(processes))


def _read_taps(folder: Path) -> list[list[Tap]]:
    paths = {kind: sorted(folder.glob(f"{kind}*.tap"), key=numeric_order) for kind in KINDS}
    missing = [kind for kind, found in paths.items() if not found]
    if missing:
        due = "a folder written by `cartweir demo --keep` is due"
        raise BadInputError([f"{folder}: no {kind}*.tap: {due}" for kind in missing])
    return [[read_tap(path, is_control_path) for path in found] for found in paths.values()]


def _read_lines(path: Path) -> list[str]:
    try:
        return path.read_text().splitlines()
    except FileNotFoundError:
        raise BadInputError([f"{path}: missing: a folder written by `cartweir demo --keep` is due"]) from None


def numeric_order(path: Path) -> list[int | str]:
    """Returns a sort key by which agent1-10.tap comes behind agent1-9.tap."""
    return [int(part) if part.isdigit() else part for part in re.split(r"(\d+)", path.name)]


def _server_start(fact: Fact) -> ServerStart:
    return ServerStart(**{key: fact[key] for key in ServerStart.__dataclass_fields__})


def _read_process(
    folder: Path,
    tap: Tap,
    deadlines: Mapping[str, int],
    previous: AgentProcess | None,
    lost_files: Mapping[str, frozenset[str]],
) -> AgentProcess:
    """Reads agent1-2.tap as the second process of the agent with agent1.ini."""
    name = re.match(r"agent\d+-", tap.name)
    if name is None:
        raise BadInputError([f"{folder / tap.name}: agentN-LIFE.tap is due"])
    if previous is not None and not previous.tap.name.startswith(name[0]):
        previous = None
    lost = lost_files.get(previous.tap.name, frozenset()) if previous is not None else frozenset()
    document = read_agent(folder / f"{name[0][:-1]}.ini")
    return AgentProcess(tap, document, deadlines, previous, lost)


def _excuse(tap: str, was_killed: bool, facts: list[Fact], connection: int, deadline: int) -> Excuse:
    """Returns what kept the process of a connection from answering by a deadline.

    A process that was stopped answers nothing meanwhile, and gets some time to catch up.
    """
    if was_killed:
        return Excuse.KILLED
    for fact in facts:
        if fact["event"] not in ("part_killed", "part_stopped") or fact["tap"] != tap:
            continue
        if connection >> PART_SHIFT != fact["part"] << 8 | fact["life"] % LIVES_OF_PART:
            continue
        if fact["event"] == "part_killed" and deadline >= fact["time"]:
            return Excuse.KILLED
        if fact["event"] == "part_stopped" and fact["since"] <= deadline <= fact["until"] + CATCH_UP:
            return Excuse.STOPPED
    return Excuse.NONE

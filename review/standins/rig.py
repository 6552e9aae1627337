"""What every case uses: the record, free ports, the agent as a process, and the settings of a deployment."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
READY_WITHIN = 25.0  # seconds from an agent's start
END_WITHIN = 6.0  # seconds from SIGTERM until SIGKILL
LONGEST_RUN = 110.0  # seconds
OK_STATUS = 200
# Below those of outgoing connections, so that no restart finds its port taken; scripts side by side differ.
FIRST_PORT, PORT_GROUPS, GROUP_SIZE = 20_000, 50, 200

HEAD = """\
Each line: seconds since the begin of the run, the event, its facts.
sent: a client has written a request, on a connection that has come up, and waits for as long as its timeout
says and 0.6 s more; answered: it has the whole answer; unanswered: it has left without. attempt: an appliance
has the last byte of a request; run: it has done it; turned_away: its queue is full, or the time of the
request is over; answer_written: its good answer is written. listed: discovery has a change; list_call: a
call has come; list_told: an object is written to a watch; list_call_failed: the answer is written.
news_written, vote, vote_answer_written, vote_refused: what the release service wrote and took. answer_held,
answer_passed_on, answer_lost, cut, healed: what a proxy on the way did. bad_sent: a bad client has written a
part of a request; bad_turned_away: its connection has ended. After the run: each break of the rule, the
agent's own log, and the verdict."""

# exit codes of a case
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CannotRunError(Exception):
    """The case could not be played, so that nothing can be said of the rule."""


class Record:
    """The events of a run: in memory for the check, and in a file for a reader.

    Attributes:
        events: All events, each with its `at` in seconds and its `event`.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._zero = time.monotonic()
        self.events: list[dict[str, Any]] = []

    def now(self) -> float:
        """Returns the seconds since the run began."""
        return time.monotonic() - self._zero

    def write(self, event: str, **facts: Any) -> dict[str, Any]:
        """Notes an event; returns it."""
        entry = {"at": self.now(), "event": event, **facts}
        self.events.append(entry)
        self.text(
            f"{entry['at']:9.4f} {event} " + " ".join(f"{name}={value}" for name, value in facts.items())
        )
        return entry

    def text(self, line: str) -> None:
        """Writes a line for a reader."""
        self._file.write(line + "\n")
        self._file.flush()

    def of(self, event: str) -> list[dict[str, Any]]:
        """Returns the events of one name."""
        return [entry for entry in self.events if entry["event"] == event]


_given_ports: set[int] = set()


def free_port() -> int:
    """Returns a port that is free now, and that this script has not been given before."""
    first = FIRST_PORT + os.getpid() % PORT_GROUPS * GROUP_SIZE
    ports = [port for port in range(first, first + GROUP_SIZE) if port not in _given_ports]
    for port in random.sample(ports, len(ports)):
        with contextlib.suppress(OSError), socket.socket(socket.AF_INET) as sock:
            sock.bind((LOOPBACK, port))
            _given_ports.add(port)
            return port
    raise CannotRunError("no free port")


def make_settings(**more: Any) -> dict[str, Any]:
    """Returns the settings object of a small deployment, as the platform writes it.

    Args:
        more: Members of the parts of the same names that differ.
    """
    settings: dict[str, Any] = {
        "balancers": 1,
        "me": 0,
        "zone": "a",
        "tick": 5.0,
        "failureDomains": ["a"],
        "registryMode": "on_request",
        "allowed": {
            "cancel": True,
            "probing": False,
            "peers": False,
            "mayDuplicate": False,
            "retryAfter": True,
            "maxRetryAfter": 500.0,
            "tryLimit": 5,
            "connectTimeout": 250.0,
            "keepalive": 30000.0,
            "streamsPerConn": 1,
        },
        "safety": {
            "askWithin": 10000.0,
            "coldFrom": 0.39,
            "warmAfter": 5000.0,
            "fallMultiple": 4.0,
            "fall": 1000.0,
            "drainGrace": 2000.0,
            "graceToAnswer": 20.0,
        },
        "familyInfo": {
            "control": "by_count",
            "votesToGo": 1,
            "noesNeeded": 1,
            "ballotTtl": 6000.0,
            "voteAllowance": 250.0,
            "callTimeout": 800.0,
            "leastStage": 1000.0,
            "mostShares": [0.12, 0.42, 1.0],
            "steps": [0.1, 0.35, 1.0],
            "span": 4000.0,
            "spareTries": 1.0,
            "closedStages": 0,
            "oneWay": False,
            "repeatEvery": 4000.0,
            "foundShare": 0.0,
            "style": "parallel",
            "per": "all",
        },
        "classes": [
            {
                "name": "view",
                "effect": "retryable",
                "aim": 1000.0,
                "hardLimit": 3000.0,
                "lateValue": 0.0,
                "worth": 1.0,
            },
            {
                "name": "order",
                "effect": "dedup",
                "dedupScope": "all",
                "window": 2000.0,
                "aim": 750.0,
                "hardLimit": 3000.0,
                "lateValue": 0.0,
                "worth": 3.0,
            },
        ],
        "parties": [{"name": "acme", "portion": 1.0, "quotaRps": 1000.0}],
    }
    for part, members in more.items():
        if isinstance(settings.get(part), dict):
            settings[part].update(members)
        else:
            settings[part] = members
    return settings


class Agent:
    """One agent of the project as a process, started by the line `run` of the deploy file.

    Attributes:
        name: Its name.
        address: Where clients connect.
        process: The process; None until it runs.
    """

    def __init__(self, rig: Rig, configuration: dict[str, Any]) -> None:
        self.rig, self.name = rig, configuration["name"]
        self.port = free_port()
        self.address = f"{LOOPBACK}:{self.port}"
        self.configuration = {
            "listen": self.address,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **configuration,
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.file = rig.folder / f"{self.name}.json"
        self.log = rig.folder / f"{self.name}.log"

    def write_configuration(self) -> None:
        """Replaces the configuration file."""
        new = self.file.with_suffix(".part")
        new.write_text(json.dumps(self.configuration))
        new.replace(self.file)

    def start(self) -> None:
        """Starts the process."""
        run_line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.configuration["seed"] = f"{random.getrandbits(64):016x}"
        self.write_configuration()
        temporary = self.rig.folder / f"{self.name}.{time.monotonic_ns()}"
        temporary.mkdir()
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(temporary),
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.address,
            "EDGE_DISCOVERY": self.configuration["discovery"],
            "EDGE_CONFIG": str(self.file),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_line], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.rig.record.write("agent_started", agent=self.name, pid=self.process.pid)
        known = self.configuration["known"]
        self.rig.record.text(f"          its settings: {json.dumps(self.configuration['settings'])}")
        self.rig.record.text(f"          its list: {json.dumps(known)}")
        self.rig.record.text(f"          its news: {json.dumps(self.configuration['pipeline']['news'])}")

    async def ready(self) -> None:
        """Waits until the agent takes clients.

        Raises:
            CannotRunError: It did not in time.
        """
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended with {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if line.split()[1:2] == [b"200"]:
                    self.rig.record.write("agent_ready", agent=self.name)
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} was not ready in {READY_WITHIN:.0f} s")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.rig.record.write("signal", agent=self.name, signal=number.name)
        self.process.send_signal(number)

    def end(self) -> None:
        """Ends the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
            try:
                self.process.wait(END_WITHIN)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()


class Rig:
    """The parts of one run.

    Attributes:
        trouble: Whether the disruption takes place.
        record: What happened.
        folder: Temporary files.
        agents: All agents.
        tasks: What runs beside the case.
        closers: Called at the end.
    """

    def __init__(self, record: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(record)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.agents: list[Agent] = []
        self.tasks: set[asyncio.Task] = set()
        self.closers: list[Callable[[], None]] = []

    def agent(self, **configuration: Any) -> Agent:
        """Returns a new agent."""
        agent = Agent(self, {"peers": [], **configuration})
        self.agents.append(agent)
        return agent

    def spawn(self, work: Any) -> asyncio.Task:
        """Runs a coroutine beside the others."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def close(self) -> None:
        """Ends all processes, and removes the temporary files."""
        for agent in self.agents:
            agent.end()
        for agent in self.agents:
            with contextlib.suppress(OSError):
                log = agent.log.read_text(errors="replace").rstrip()
                self.record.text(f"--- log of {agent.name} ---\n{log}")
        shutil.rmtree(self.folder, ignore_errors=True)


Play = Callable[[Rig], Awaitable[None]]
Check = Callable[[Rig], list[str]]


async def _play(rig: Rig, play: Play) -> None:
    async with asyncio.timeout(LONGEST_RUN):
        await play(rig)
    for close in rig.closers:
        close()
    for task in list(rig.tasks):
        task.cancel()
    await asyncio.gather(*rig.tasks, return_exceptions=True)


def run_case(record: Path, play: Play, check: Check) -> None:
    """Plays a case, checks its rule, and exits: 1 broken, 0 held, 2 could not run.

    Args:
        record: The file that tells what was sent, answered and run.
        play: Plays it.
        check: Returns each break of the rule, from the record.
    """
    # Whatever ends this process but SIGKILL, no agent stays behind.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        rig = Rig(record)
    except OSError as error:
        print(f"the case could not run: {error}")
        sys.exit(COULD_NOT_RUN)
    code, verdict = COULD_NOT_RUN, "the case could not run"
    try:
        rig.record.text(HEAD)
        rig.record.text(f"disruption: {'yes' if rig.trouble else 'no (TROUBLE=0)'}")
        asyncio.run(_play(rig, play))
        for agent in rig.agents:
            if agent.process.poll() is not None:
                raise CannotRunError(f"{agent.name} ended with {agent.process.returncode}")
        breaks = check(rig)
        code = BROKEN if breaks else HELD
        for line in breaks:
            rig.record.text(f"BROKEN: {line}")
        verdict = f"the rule was broken {len(breaks)} times" if breaks else "the rule held"
    except Exception as error:  # a fault of the case, or of the machine, says nothing of the rule
        verdict = f"the case could not run: {type(error).__name__}: {error}"
    finally:
        rig.close()
    try:
        rig.record.text(verdict)
    except OSError as error:  # a record that cannot be written tells nothing
        code, verdict = COULD_NOT_RUN, f"the case could not run: {error}"
    print(verdict)
    sys.exit(code)

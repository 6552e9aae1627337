"""Draws from a seed what a run consists of: settings, fleet, and faults that overlap in time. No I/O."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from .hostile_plan import CROWDS, FLOODS, Attack
from .plan import BROKEN, SHORT, CallFault, ClockStep, ProcessPlan

SECOND = 1_000_000

# kinds of actions
RESTART_SERVERS = "restart_servers"  # killed together, down for a while though listed, back cold
HANG_SERVERS = "hang_servers"
RESET_SERVERS = "reset_servers"
FAIL_SERVERS = "fail_servers"
LOSE_ANSWERS = "lose_answers"  # of servers: a part never arrives, another is longer than it says
DRAIN_SERVERS = "drain_servers"  # announced as leaving, later removed and ended
ADD_SERVERS = "add_servers"  # new, cold
KILL_AGENTS = "kill_agents"
STOP_AGENTS = "stop_agents"  # signals in series, SIGKILL at the earliest moment, and a new process
STALL_AGENTS = "stall_agents"  # stopped and continued, again and again
RELOAD_AGENTS = "reload_agents"  # SIGHUP, twice in a row, with another address of discovery
DISCOVERY_DOWN = "discovery_down"
DISCOVERY_CROWDED = "discovery_crowded"
DISCOVERY_SILENT = "discovery_silent"
RELEASE = "release"  # a build goes on trial on new servers
CROWD = "crowd"  # more requests for a while
HALF_REQUESTS = "half_requests"  # clients that stop in the middle of a request
HOSTILE_CROWD = "hostile_crowd"  # hundreds of hostile connections at one agent
HOSTILE_FLOOD = "hostile_flood"  # one hostile client at full speed

WEIGHTS = {
    RESTART_SERVERS: 3,
    HANG_SERVERS: 3,
    RESET_SERVERS: 1,
    FAIL_SERVERS: 1,
    LOSE_ANSWERS: 2,
    DRAIN_SERVERS: 2,
    ADD_SERVERS: 1,
    KILL_AGENTS: 1,
    STOP_AGENTS: 2,
    STALL_AGENTS: 1,
    RELOAD_AGENTS: 1,
    DISCOVERY_DOWN: 1,
    DISCOVERY_CROWDED: 1,
    DISCOVERY_SILENT: 1,
    RELEASE: 1,
    CROWD: 1,
    HALF_REQUESTS: 1,
    HOSTILE_CROWD: 3,
    HOSTILE_FLOOD: 3,
}
HOSTILE_KINDS = (HOSTILE_CROWD, HOSTILE_FLOOD)
CALL_ERRORS = (
    *(("accept", error) for error in ("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EINTR")),
    *(("connect", error) for error in ("EADDRNOTAVAIL", "ENETUNREACH", "ECONNREFUSED", "ENOBUFS")),
    *(("socket", error) for error in ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")),
    *((call, error) for call in ("send", "recv") for error in (SHORT, "EINTR", *BROKEN)),
    ("send", "ENOBUFS"),
    ("open", "EIO"),
    ("log", "ENOSPC"),
    ("log", "EIO"),
)
STEPS = (2.0, -2.0, 6.0, -6.0, 3600.0, -3600.0)  # seconds
QUIET_START, QUIET_END = 2.0, 3.0  # seconds of a run without a new fault

FAILING_SHARES = (0.05, 0.3, 1.0)  # of the calls
BROKEN_SHARE = 0.03  # of the calls on connections
MOMENT = 0.15  # part of the time of other faults for which all calls may fail

# chances
PUSHED_LISTS = 0.3
ONE_WAY_KEYS = 0.5
EXTRA_CROWD = 0.4
STEPPED_CLOCKS = 0.7
SAME_MACHINE = 0.8  # of an agent, whose clock is then stepped with the others'

MEMORY_LIMITS = (40, 64, 96, 192)  # megabytes; the shim and its records take some of the least
SOCKET_LIMITS = (512, 1024)
CROWD_SIZES = (60, 150, 300)  # connections


@dataclass(frozen=True)
class Action:
    """Something that happens during a run.

    Attributes:
        at: Seconds after the clients' start.
        kind: One of the kinds above.
        targets: Numbers of the servers or agents that it strikes.
        seconds: How long it lasts.
        amount: How much, where a kind has an amount.
        attack: What hostile clients do.
    """

    at: float
    kind: str
    targets: Sequence[int] = ()
    seconds: float = 0.0
    amount: float = 0.0
    attack: Attack | None = None


@dataclass(frozen=True)
class Deployment:
    """Size and settings of a run's deployment.

    Attributes:
        agents: Number of agents.
        servers: Number of servers at the start.
        load: Share of the servers' capacity that clients ask for.
        mean_work: Mean time of a request on a warm core, in microseconds.
        cores: Of each server.
        cold_share: What is left of a server's speed at its start.
        warm_time: Until it is warm, in microseconds.
        fall_multiple: It falls when it gets more than this multiple of what it can do.
        fall_time: In this time, in microseconds.
        drain_grace: In microseconds.
        idle_time: After which servers close idle connections, in microseconds.
        pushed: Lists are pushed, not asked for.
        one_way: Keys go one way.
        listed_after: Seconds between the start of a server and its entry.
        memory_mb: Megabytes over which an agent is killed.
        sockets: Descriptors that an agent may hold.
    """

    agents: int = 5
    servers: int = 8
    load: float = 0.6
    mean_work: int = 40_000
    cores: int = 2
    cold_share: float = 0.1
    warm_time: int = 6 * SECOND
    fall_multiple: float = 2.0
    fall_time: int = SECOND
    drain_grace: int = SECOND
    idle_time: int = 5 * SECOND
    pushed: bool = False
    one_way: bool = True
    listed_after: float = 0.4
    memory_mb: int = 192
    sockets: int = 512

    @property
    def rate(self) -> float:
        """Requests a second at each agent."""
        return self.load * self.servers * self.cores * SECOND / self.mean_work / self.agents


@dataclass(frozen=True)
class Schedule:
    """A run.

    Attributes:
        seed: All further chance comes from it.
        seconds: For how long clients ask.
        deployment: Its size and settings.
        actions: What happens, in order of time.
        plans: The faults of each agent's processes, with times in microseconds after the clients' start.
        leaving: Share of the requests whose clients leave early; some leave much unread behind them, some
            ask again under the same id.
    """

    seed: int
    seconds: float
    deployment: Deployment = field(default_factory=Deployment)
    actions: Sequence[Action] = ()
    plans: Sequence[ProcessPlan] = ()
    leaving: float = 0.0


def draw_schedule(seed: int, seconds: float, agents: int | None = None) -> Schedule:
    """Draws a run.

    Args:
        seed: All chance comes from it.
        seconds: For how long clients ask.
        agents: Number of agents; None draws it.
    """
    chance = random.Random(seed)
    deployment = Deployment(
        agents=agents or chance.randint(3, 8),
        servers=chance.randint(6, 12),
        load=chance.uniform(0.3, 0.7),
        mean_work=chance.choice((30_000, 50_000)),
        cold_share=chance.choice((0.05, 0.1, 0.2, 0.4)),
        warm_time=chance.choice((3, 5, 8)) * SECOND,
        fall_multiple=chance.choice((2.0, 3.0, 4.0)),
        fall_time=chance.choice((SECOND, 3 * SECOND // 2)),
        drain_grace=chance.choice((SECOND // 2, SECOND, 2 * SECOND)),
        idle_time=chance.choice((2, 5, 30)) * SECOND,
        pushed=chance.random() < PUSHED_LISTS,
        one_way=chance.random() < ONE_WAY_KEYS,
        listed_after=chance.uniform(0.1, 1.0),
        memory_mb=chance.choice(MEMORY_LIMITS),
        sockets=chance.choice(SOCKET_LIMITS),
    )
    count = max(3, round(seconds * chance.uniform(0.4, 0.8)))
    actions = [_draw_action(chance, deployment, seconds) for _ in range(count)]
    if not any(action.attack for action in actions):
        actions.append(_draw_action(chance, deployment, seconds, chance.choice(HOSTILE_KINDS)))
    if chance.random() < EXTRA_CROWD and not any(action.kind == CROWD for action in actions):
        actions.append(_draw_action(chance, deployment, seconds, CROWD))
    steps = tuple(_draw_steps(chance, seconds)) if chance.random() < STEPPED_CLOCKS else ()
    plans = [_draw_plan(chance, seconds, steps) for _ in range(deployment.agents)]
    return Schedule(
        seed,
        seconds,
        deployment,
        sorted(actions, key=lambda action: action.at),
        plans,
        chance.choice((0.0, 0.02, 0.1)),
    )


def _draw_action(
    chance: random.Random, deployment: Deployment, seconds: float, kind: str | None = None
) -> Action:
    kind = kind or chance.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
    at = chance.uniform(QUIET_START, max(QUIET_START, seconds - QUIET_END))
    length = chance.uniform(0.5, 4.0)
    if kind in HOSTILE_KINDS:
        crowd = kind == HOSTILE_CROWD
        target, attack = chance.randrange(deployment.agents), chance.choice(CROWDS if crowd else FLOODS)
        size = chance.choice(CROWD_SIZES) if crowd else 1
        return Action(at, kind, (target,), length + 1.0, size, attack)
    if kind in (KILL_AGENTS, STOP_AGENTS, STALL_AGENTS, RELOAD_AGENTS):
        most = max(1, round(0.7 * deployment.agents))
        targets = chance.sample(range(deployment.agents), chance.randint(1, most))
    else:
        most = max(1, round(deployment.servers * chance.choice((0.15, 0.4, 0.7))))
        targets = chance.sample(range(deployment.servers), chance.randint(1, most))
    return Action(at, kind, tuple(targets), length, chance.uniform(1.5, 4.0))


def _draw_steps(chance: random.Random, seconds: float) -> list[ClockStep]:
    """Draws steps that all agents of the machine see."""
    times = sorted(chance.uniform(0, seconds) for _ in range(chance.randint(1, 3)))
    return [ClockStep(int(at * SECOND), chance.choice(STEPS)) for at in times]


def _draw_plan(chance: random.Random, seconds: float, steps: Sequence[ClockStep]) -> ProcessPlan:
    calls = []
    for _ in range(chance.randint(0, 5)):
        call, error = chance.choice(CALL_ERRORS)
        begin = chance.uniform(0, seconds)
        shares = FAILING_SHARES[:-1] if error == "EINTR" else FAILING_SHARES  # it comes once, and then passes
        share = BROKEN_SHARE if error in BROKEN else chance.choice(shares)
        length = chance.uniform(0.1, 2.0) * (MOMENT if share == 1 and call != "log" else 1)
        end = begin + length
        calls.append(CallFault(call, error, int(begin * SECOND), int(end * SECOND), share))
    own = steps if chance.random() < SAME_MACHINE else _draw_steps(chance, seconds)
    return ProcessPlan(chance.getrandbits(32), tuple(own), tuple(calls))

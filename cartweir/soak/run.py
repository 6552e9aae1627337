"""Plays one run of the soak: starts all processes, carries out the schedule, and gathers the evidence."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path

from ..faults.ports import free_addresses
from ..hosting.clock import monotonic
from . import schedule as kinds
from .appliance import FAILING, HANGING, LOSING, RESETTING, SERVING, ApplianceMake
from .clients import ORDER, TIME_LIMITS, Clients, Front, stop_amid_request
from .hostile_plan import HostilePlan
from .plan import ProcessPlan, write_origin
from .platform import CROWDED, DOWN, SILENT, UP, Discovery, ReleaseService, address_for, unix_milliseconds
from .processes import AgentProcess, ServerProcess, run_hostile_clients
from .records import read_requests_read, read_server_records
from .result import Result
from .rules import MEGABYTE, Breach, Evidence, check_all, cold_pressures
from .schedule import SECOND, Action, Schedule
from .settings import FREE_ATTEMPTS, SHARES, STAGE_CAPS, WINDOW, make_settings

FIRST_BUILD = 1
ZONES = ("a", "b", "c")
READY_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
READY_WITHIN = 10.0  # seconds of a restart
READY_TIMEOUT = 30.0
STOP_TIME = max(TIME_LIMITS) / 1000 + 0.7  # seconds from SIGTERM to SIGKILL, the earliest that the page has
NEW_CONNECTIONS = 0.4  # seconds after SIGTERM for which the front still connects
FAILURE_NOTICED = 1.0  # seconds after which the front notices that an agent has died
STAGE_TIME = 2.5  # seconds
STALL_TIME = 0.12  # seconds for which an agent stands still; up to 0.15 are allowed for
REMOVED_AFTER = 2.0  # seconds from the announcement that a server leaves to its removal
HALF_REQUEST_TIME = 3.0  # seconds within which a half request gets an error or a close
HALF_REQUEST_SLACK = 0.3
CROWD_PAUSE = 0.05  # seconds after which a crowd's connections come again; a flood comes at once
MEASURE_INTERVAL = 0.05  # seconds
CLOSING_TIME = 0.1  # seconds for connections to end before the loop does


class Run:
    """One run.

    Args:
        schedule: What happens.
        folder: An empty folder for records and logs.
    """

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.schedule, self.folder = schedule, folder
        self.deployment = schedule.deployment
        self.random = random.Random(schedule.seed + 1)
        self.discovery, self.release_service = Discovery(), ReleaseService()
        self.servers: dict[str, ServerProcess] = {}
        self.agents: list[AgentProcess] = []
        self.fronts: list[Front] = []
        self.breaches: list[Breach] = []
        self._discovery_ports: list[int] = []
        self._origin_file = folder.resolve() / "origin"
        self._crowd = 1.0
        self._build = FIRST_BUILD
        self._busy_agents: set[int] = set()
        self._busy_servers: set[str] = set()
        self._most_processes = 0
        self._attacks: Counter[str] = Counter()  # connections of hostile clients, by kind
        self._actions: dict[str, Callable[[Action], Awaitable[None]]] = {
            kinds.RESTART_SERVERS: self._restart_servers,
            kinds.HANG_SERVERS: lambda action: self._set_server_modes(action, HANGING),
            kinds.RESET_SERVERS: lambda action: self._set_server_modes(action, RESETTING),
            kinds.FAIL_SERVERS: lambda action: self._set_server_modes(action, FAILING),
            kinds.LOSE_ANSWERS: lambda action: self._set_server_modes(action, LOSING),
            kinds.DRAIN_SERVERS: self._drain_servers,
            kinds.ADD_SERVERS: self._add_servers,
            kinds.KILL_AGENTS: self._kill_agents,
            kinds.STOP_AGENTS: self._stop_agents,
            kinds.STALL_AGENTS: self._stall_agents,
            kinds.RELOAD_AGENTS: self._reload_agents,
            kinds.DISCOVERY_DOWN: lambda action: self._set_discovery(action, DOWN),
            kinds.DISCOVERY_CROWDED: lambda action: self._set_discovery(action, CROWDED),
            kinds.DISCOVERY_SILENT: lambda action: self._set_discovery(action, SILENT),
            kinds.RELEASE: self._release,
            kinds.CROWD: self._draw_crowd,
            kinds.HALF_REQUESTS: self._stop_amid_requests,
            kinds.HOSTILE_CROWD: self._attack,
            kinds.HOSTILE_FLOOD: self._attack,
        }

    async def play(self) -> Result:
        """Plays the run and judges it."""
        try:
            await self._start_all()
            clients = self._make_clients()
            write_origin(self._origin_file, monotonic())
            measuring = asyncio.ensure_future(self._measure())
            await asyncio.gather(clients.run(self.schedule.seconds), self._act())
            await self._end_agents()
            measuring.cancel()
        finally:
            await self._end_all()
        evidence = self._evidence(clients)
        return self._result(clients, evidence)

    # ---- start and end ----
    async def _start_all(self) -> None:
        self._discovery_ports = [await self.discovery.start(), await self.discovery.start()]
        release_port = await self.release_service.start()
        self.release_service.publish(FIRST_BUILD, len(SHARES) - 1, "live", 1.0)
        await asyncio.gather(
            *(self._start_server(FIRST_BUILD, warm=True) for _ in range(self.deployment.servers))
        )
        await self._start_agents(release_port)

    async def _start_agents(self, release_port: int) -> None:
        addresses = free_addresses(self.deployment.agents)
        for number, address in enumerate(addresses, 1):
            folder = self.folder / f"agent{number}"
            folder.mkdir()
            plans = self.schedule.plans
            plan = replace(plans[number - 1] if plans else ProcessPlan(), origin_file=str(self._origin_file))
            configuration = {
                "name": f"n{number}",
                "listen": address,
                "discovery": address_for(number, self._discovery_ports[0]),
                "seed": f"{self.random.getrandbits(32):x}",
                "limits": {"memory_mb": self.deployment.memory_mb, "sockets": self.deployment.sockets},
                "pipeline": {
                    "address": address_for(number, release_port),
                    "news": self.release_service.stages[-1].members(),
                },
                "settings": make_settings(self.deployment, number, ZONES[number % len(ZONES)]),
            }
            self.agents.append(AgentProcess(number, folder, plan, configuration))
            self.fronts.append(Front(number, int(address.rpartition(":")[2])))
        await asyncio.gather(*(agent.start(self.discovery.whole(agent.number)) for agent in self.agents))
        await asyncio.gather(*(self._open_front(agent) for agent in self.agents))

    async def _start_server(self, build: int, warm: bool = False) -> ServerProcess:
        number = len(self.servers)
        name, deployment = f"s{number}", self.deployment
        make = ApplianceMake(
            name,
            int(free_addresses(1)[0].rpartition(":")[2]),
            build,
            deployment.cores,
            deployment.cores * 20,
            deployment.mean_work,
            deployment.cold_share,
            deployment.warm_time,
            deployment.idle_time,
            self.random.getrandbits(32),
        )
        server = self.servers[name] = ServerProcess(make, self.folder / f"{name}.jsonl")
        await server.start(warm)
        if not warm:
            await asyncio.sleep(deployment.listed_after)
        self._list_started(server, warm)
        return server

    def _list_started(self, server: ServerProcess, warm: bool = False) -> None:
        if server.process is None:
            return
        since = 0 if warm else unix_milliseconds() - (monotonic() - server.started_at) // 1000
        number = int(server.make.name[1:])
        self.discovery.change(
            server.make.name,
            port=server.make.port,
            zone=ZONES[number % len(ZONES)],
            status="up",
            since=since,
            started_at=0 if warm else server.started_at,
            build=server.make.build,
        )

    def _make_clients(self) -> Clients:
        return Clients(
            self.fronts,
            self.deployment.rate,
            self.schedule.seed,
            self.schedule.leaving,
            crowd=lambda: self._crowd,
        )

    async def _open_front(self, agent: AgentProcess) -> None:
        """Opens the front of an agent once its process is ready."""
        front, began = self.fronts[agent.number - 1], monotonic()
        process = agent.process
        while process.returncode is None and monotonic() - began < READY_TIMEOUT * SECOND:
            if await _is_ready(front.port):
                break
            await asyncio.sleep(0.05)
        took = (monotonic() - began) / SECOND
        if took > READY_WITHIN and process is agent.process and not agent.lives[-1].terminated_at:
            self.breaches.append(Breach(0, monotonic(), f"agent {agent.number} ready after {took:.1f} s"))
        front.open = process is agent.process and process.returncode is None

    async def _end_agents(self) -> None:
        """Ends all agents as a planned restart does."""
        for agent in self.agents:
            agent.signal(signal.SIGTERM)
        await asyncio.gather(*(self._await_end(agent) for agent in self.agents))

    async def _await_end(self, agent: AgentProcess) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIME):
                await agent.process.wait()
        agent.signal(signal.SIGKILL)
        await agent.end()

    async def _end_all(self) -> None:
        for agent in self.agents:
            if agent.process is not None and agent.process.returncode is None:
                agent.process.kill()
                await agent.process.wait()
        await asyncio.gather(*(server.kill() for server in self.servers.values()))
        for front in self.fronts:
            front.close_idle()
        await asyncio.sleep(CLOSING_TIME)

    # ---- actions ----
    async def _act(self) -> None:
        loop = asyncio.get_running_loop()
        began, running = loop.time(), []
        for action in self.schedule.actions:
            await asyncio.sleep(max(0.0, began + action.at - loop.time()))
            running.append(asyncio.ensure_future(self._actions[action.kind](action)))
            live = sum(server.process is not None for server in self.servers.values()) + len(self.agents)
            self._most_processes = max(self._most_processes, live + 1)
        await asyncio.gather(*running)

    def _targets(self, action: Action) -> list[ServerProcess]:
        """Returns the servers that an action strikes: listed as up, and struck by nothing else."""
        names = sorted(name for name, listing in self.discovery.current().items() if listing.status == "up")
        chosen = {names[target % len(names)] for target in action.targets} if names else set()
        return [self.servers[name] for name in sorted(chosen - self._busy_servers)]

    async def _restart_servers(self, action: Action) -> None:
        servers = self._targets(action)
        names = {server.make.name for server in servers}
        self._busy_servers |= names
        await asyncio.gather(*(server.kill() for server in servers))
        await asyncio.sleep(action.seconds)
        await asyncio.gather(*(server.start() for server in servers))
        await asyncio.sleep(self.deployment.listed_after)
        for server in servers:
            self._list_started(server)
        self._busy_servers -= names

    async def _set_server_modes(self, action: Action, mode: str) -> None:
        servers = self._targets(action)
        for server in servers:
            server.set_mode(mode)
        await asyncio.sleep(action.seconds)
        for server in servers:
            server.set_mode(SERVING)

    async def _drain_servers(self, action: Action) -> None:
        servers = self._targets(action)[: max(1, self.deployment.servers // 3)]
        for server in servers:
            self._busy_servers.add(server.make.name)
            self.discovery.change(server.make.name, status="draining")
        await asyncio.sleep(REMOVED_AFTER + self.deployment.drain_grace / SECOND + action.seconds)
        for server in servers:
            self.discovery.change(server.make.name, status="removed")
        await asyncio.sleep(STOP_TIME)
        await asyncio.gather(*(server.kill() for server in servers))

    async def _add_servers(self, action: Action) -> None:
        count = min(len(action.targets), self.deployment.servers // 2)
        await asyncio.gather(*(self._start_server(self._build) for _ in range(count)))

    def _free_agents(self, action: Action) -> list[AgentProcess]:
        """Returns the agents that an action strikes and that nothing else does; marks them as struck."""
        agents = [self.agents[target] for target in action.targets if target not in self._busy_agents]
        self._busy_agents |= set(action.targets)
        return agents

    async def _kill_agents(self, action: Action) -> None:
        agents = self._free_agents(action)
        for agent in agents:
            agent.signal(signal.SIGKILL)
        await asyncio.gather(*(self._restart_agent(agent, FAILURE_NOTICED) for agent in agents))

    async def _stop_agents(self, action: Action) -> None:
        await asyncio.gather(*(self._stop_agent(agent) for agent in self._free_agents(action)))

    async def _stop_agent(self, agent: AgentProcess) -> None:
        """Ends one by signals in series, as a platform does that repeats itself, and starts it anew."""
        front = self.fronts[agent.number - 1]
        series = self.random.sample((signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP), 4)
        if signal.SIGTERM not in series[:2]:
            series.insert(0, signal.SIGTERM)
        for number in series:
            agent.signal(number)
            await asyncio.sleep(self.random.uniform(0, 0.1))
        asyncio.get_running_loop().call_later(NEW_CONNECTIONS, lambda: setattr(front, "open", False))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                max(0.0, (agent.lives[-1].terminated_at - monotonic()) / SECOND + STOP_TIME)
            ):
                await agent.process.wait()
        agent.signal(signal.SIGKILL)
        await self._restart_agent(agent, 0.0)

    async def _restart_agent(self, agent: AgentProcess, pause: float) -> None:
        front = self.fronts[agent.number - 1]
        await agent.end()
        front.open = False
        front.next_life()
        await asyncio.sleep(pause)
        agent.write_configuration(
            pipeline={
                **agent.configuration["pipeline"],
                "news": self.release_service.stages[-1].members(),
            }
        )
        await agent.start(self.discovery.whole(agent.number))
        await self._open_front(agent)
        self._busy_agents.discard(agent.number - 1)

    async def _stall_agents(self, action: Action) -> None:
        agents = self._free_agents(action)
        end = monotonic() + int(action.seconds * SECOND)
        while monotonic() < end:
            for agent in agents:
                agent.signal(signal.SIGSTOP)
            await asyncio.sleep(STALL_TIME)
            for agent in agents:
                agent.signal(signal.SIGCONT)
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
        self._busy_agents -= {agent.number - 1 for agent in agents}

    async def _reload_agents(self, action: Action) -> None:
        agents = self._free_agents(action)
        for _ in range(2):
            port = self.random.choice(self._discovery_ports)
            for agent in agents:
                agent.write_configuration(discovery=address_for(agent.number, port))
                agent.signal(signal.SIGHUP)
            await asyncio.sleep(action.seconds / 4)
        self._busy_agents -= {agent.number - 1 for agent in agents}

    async def _set_discovery(self, action: Action, mode: str) -> None:
        if self.discovery.mode == UP:
            self.discovery.set_mode(mode)
            await asyncio.sleep(action.seconds)
            self.discovery.set_mode(UP)

    async def _release(self, action: Action) -> None:
        """A build goes on trial beside the earlier one, stage by stage, and is released or withdrawn."""
        if self._build != FIRST_BUILD:
            return
        self._build = build = FIRST_BUILD + 1
        started: list[ServerProcess] = []
        for stage, share in enumerate(SHARES):
            wanted = max(1, round(share * self.deployment.servers)) - len(started)
            self.release_service.publish(build, stage, "testing", STAGE_CAPS[stage])
            started += await asyncio.gather(*(self._start_server(build) for _ in range(max(0, wanted))))
            await asyncio.sleep(STAGE_TIME)
        self.release_service.publish(build, len(SHARES) - 1, "live", 1.0)

    async def _draw_crowd(self, action: Action) -> None:
        self._crowd = action.amount
        await asyncio.sleep(action.seconds)
        self._crowd = 1.0

    async def _stop_amid_requests(self, action: Action) -> None:
        fronts = [front for front in self.fronts if front.open]
        limit = HALF_REQUEST_TIME + HALF_REQUEST_SLACK
        took = await asyncio.gather(*(stop_amid_request(front, limit) for front in fronts))
        for front, seconds in zip(fronts, took, strict=True):
            if seconds is not None and seconds >= limit:
                what = f"agent {front.agent} left half a request without an error for {seconds:.1f} s"
                self.breaches.append(Breach(1, monotonic(), what))

    async def _attack(self, action: Action) -> None:
        """Runs hostile clients at one agent; a crowd's connections are owed an error or a close each."""
        front = self.fronts[action.targets[0]]
        if not front.open:
            return
        crowd, life = action.kind == kinds.HOSTILE_CROWD, front.life
        plan = HostilePlan(
            action.attack,
            f"127.0.0.1:{front.port}",
            f"/{ORDER}/x",
            int(action.amount),
            action.seconds,
            CROWD_PAUSE if crowd else 0.0,
        )
        result = await run_hostile_clients(plan)
        self._attacks[action.attack] += result.connections
        if crowd and result.waiting and life == front.life:
            what = f"agent {front.agent} left {result.waiting} of {action.attack} without an error or a close"
            self.breaches.append(Breach(1, monotonic(), what))

    async def _measure(self) -> None:
        while True:
            for agent in self.agents:
                agent.measure()
            await asyncio.sleep(MEASURE_INTERVAL)

    # ---- the verdict ----
    def _evidence(self, clients: Clients) -> Evidence:
        read, self._faults = read_requests_read(
            agent.record for agent in self.agents if agent.record.exists()
        )
        return Evidence(
            self.deployment,
            {name: server.make for name, server in self.servers.items()},
            clients.records,
            read_server_records(server.record for server in self.servers.values() if server.record.exists()),
            read,
            self.discovery.listings,
            self.discovery.told,
            self.discovery.modes,
            self.release_service.told,
            (FREE_ATTEMPTS, WINDOW),
            [life for agent in self.agents for life in agent.lives],
        )

    def _result(self, clients: Clients, evidence: Evidence) -> Result:
        breaches = sorted([*self.breaches, *check_all(evidence)], key=lambda breach: breach.at)
        endings = Counter(f"{record.ending} {record.status or ''}".strip() for record in clients.records)
        started = sum(listing.since > 0 and listing.status == "up" for listing in evidence.listings)
        result = Result(
            self.schedule.seed,
            breaches,
            dict(endings),
            dict(Counter(action.kind for action in self.schedule.actions)),
            self._faults,
            self._most_processes,
            started,
            max((found.received / found.most for found in cold_pressures(evidence)), default=0.0),
            self._violations(),
            {str(attack): count for attack, count in self._attacks.items()},
            max((life.peak_memory for life in evidence.lives), default=0)
            / (self.deployment.memory_mb * MEGABYTE),
        )
        (self.folder / "result.json").write_text(
            json.dumps({**vars(result), "breaches": [str(breach) for breach in breaches]}, indent=1)
        )
        return result

    def _violations(self) -> dict[str, int]:
        """Returns how often agents logged that an invariant was violated, by its name."""
        counts: Counter[str] = Counter()
        for agent in self.agents:
            for life in agent.lives:
                for line in agent.log_file(life.life).read_text(errors="replace").splitlines():
                    if " invariant_violated " in line:
                        counts[line.split("invariant=", 1)[1].split()[0]] += 1
        return dict(counts)


async def _is_ready(port: int) -> bool:
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(READY_REQUEST)
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    return False


def play(schedule: Schedule, folder: Path) -> Result:
    """Plays a run in an empty folder."""
    os.makedirs(folder, exist_ok=True)
    return asyncio.run(Run(schedule, folder).play())

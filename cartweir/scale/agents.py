"""Workloads of any agent: its list of servers, requests, tenants, and what agents tell one another."""

from __future__ import annotations

import itertools
import json
from typing import Any

from ..agent.control_plane import PEER_MESSAGE_PATH
from ..fleet.fencing import Fence, FencingToken
from ..fleet.list_filter import ListFilter, ListVersion
from ..interface import ON_TRIAL, RELEASED, SUCCEEDED, Stage
from ..proto import agent_pb2 as pb
from .meter import Meter, metering
from .streams import UnaryCall
from .surroundings import (
    SECOND,
    RecordingEnvironment,
    make_engine_host,
    make_engine_host_with,
    row_of,
    server_name,
    settings,
)
from .workload import InMemory, Quantity

REQUESTS = 20  # in one measured operation, as picks differ by chance
LOOK = SECOND // 2  # between two tellings of counts
COUNTS = (
    40,
    12,
    3,
    1,
    40,
    12,
    2,
    1,
    40,
    12,
    1,
    0,
)  # figures of one agent's half second at 210 requests a second


class AnsweredCall:
    """A client that takes whatever answer it gets."""

    def succeed(self, head: Any, body: list[bytes], tail: Any) -> None:
        """Taken."""

    def throttle(self, retry_after: int) -> None:
        """Taken."""

    def terminate(self) -> None:
        """Taken."""


class OneChange(InMemory):
    """One entry of the list has changed: roster and decisions."""

    def __init__(self, servers: int) -> None:
        """With all servers known."""
        super().__init__()
        self.engine_host, _ = make_engine_host_with(servers)
        self.servers, self.runs = servers, itertools.count(2)

    def operate(self, meter: Meter) -> None:
        """The server has restarted: the same ident, another run."""
        run = next(self.runs)
        row = row_of(run % self.servers, run=run)
        with metering(meter):
            self.engine_host.apply_list("changes", [row])


class FirstList(InMemory):
    """The first list of an agent that has not been told a stage yet, as at each start with a kept list."""

    def __init__(self, servers: int) -> None:
        """The rows are made once."""
        super().__init__()
        self.rows = [row_of(number) for number in range(servers)]

    def operate(self, meter: Meter) -> None:
        """A start."""
        engine_host = make_engine_host(RecordingEnvironment(), stage=None)
        with metering(meter):
            engine_host.apply_list("cached", self.rows)


class WholeList(InMemory):
    """A whole list that says what is known already: roster and decisions."""

    def __init__(self, servers: int) -> None:
        """With all servers known."""
        super().__init__()
        self.engine_host, _ = make_engine_host_with(servers)
        self.rows = [row_of(number) for number in range(servers)]

    def operate(self, meter: Meter) -> None:
        """The list again."""
        with metering(meter):
            self.engine_host.apply_list("whole", self.rows)


class StageRepeated(InMemory):
    """The stage is told again, as controllers do every few seconds: the decisions group all servers anew."""

    def __init__(self, servers: int) -> None:
        """With all servers known."""
        super().__init__()
        self.engine_host, _ = make_engine_host_with(servers)

    def operate(self, meter: Meter) -> None:
        """The same stage."""
        with metering(meter):
            self.engine_host.apply_stage(Stage(1, 2, RELEASED, 1.0, 0))


class Requests(InMemory):
    """Requests on the data path: taken, sent to a picked server, answered well."""

    def __init__(self, servers: int, trial_share: float) -> None:
        """With all servers known."""
        super().__init__()
        self.engine_host, self.environment = make_engine_host_with(servers, trial_share)

    def operate(self, meter: Meter) -> None:
        """A few requests, one after the other, 5 ms apart and each answered within 2 ms."""
        for _ in range(REQUESTS):
            self.environment.time += 3_000
            with metering(meter):
                self._ask()
            self.environment.time += 2_000
            with metering(meter):
                for dispatch in self.environment.dispatches:
                    self.engine_host.dispatch_ended(dispatch, SUCCEEDED, answer=((), [], ()))
            self.environment.dispatches.clear()

    def _ask(self) -> None:
        self.engine_host.accept(
            AnsweredCall(), self.engine_host.operations["read"], self.environment.time, 3 * SECOND
        )


class ListsRuling(InMemory):
    """The rule on lists alone, for a whole list that names all."""

    def __init__(self, servers: int) -> None:
        """With names alone."""
        super().__init__()
        self.lists, self.versions = ListFilter(0.5, 15 * SECOND), itertools.count(1)
        self.names = [server_name(number) for number in range(servers)]

    def operate(self, meter: Meter) -> None:
        """One list later."""
        version = ListVersion(1, next(self.versions))
        with metering(meter):
            self.lists.on_full_list(SECOND, version, self.names, self.names)


class TenantQuotas(InMemory):
    """The map of quotas, as the configuration gives it."""

    def __init__(self, tenants: int) -> None:
        """The map is read once; the configuration that it is read from is not kept."""
        super().__init__()
        self.quotas = settings(parties=self._rows(tenants))["quotas"]
        self.tenants = tenants

    @staticmethod
    def _rows(tenants: int) -> list[dict[str, Any]]:
        return [{"name": f"tenant-{number:05}", "quotaRps": 1.5 + number} for number in range(tenants)]

    def operate(self, meter: Meter) -> None:
        """The configuration is read anew."""
        rows = self._rows(self.tenants)
        self.counts.add(Quantity.BYTES, len(json.dumps(rows, separators=(",", ":"))))
        with metering(meter):
            settings(parties=rows)


class Fences(InMemory):
    """The highest stamp seen of each duty that an agent follows."""

    def __init__(self, duties: int) -> None:
        """One fence a duty."""
        super().__init__()
        self.fences = {
            f"release of service-{number:03}": Fence(FencingToken(number, number)) for number in range(duties)
        }
        self.indexes = itertools.count(1_000_000)

    def operate(self, meter: Meter) -> None:
        """A decision of one duty."""
        token = FencingToken(1_000, next(self.indexes))
        with metering(meter):
            self.fences["release of service-000"].accept(token)


class CountsHub(InMemory):
    """The agent that adds up what all agents have counted, and tells all the sum, twice a second."""

    def __init__(self, agents: int) -> None:
        """An agent that is the hub in its first two seconds."""
        super().__init__()
        self.agents = agents
        self.me = 2 * 31 % agents  # as Agent.hub() has it for build 2 in the first two seconds
        self.call = UnaryCall(PEER_MESSAGE_PATH.decode())

    def operate(self, meter: Meter) -> None:
        """A round: each other agent's counts come in, the sum goes out."""
        environment = RecordingEnvironment()
        engine_host = make_engine_host(
            environment, Stage(2, 1, ON_TRIAL, 0.6, 0), agents=self.agents, me=self.me
        )
        engine_host.apply_list("whole", (row_of(number, 1 + number % 2) for number in range(10)))
        figures = [2, *COUNTS]
        with metering(meter):
            for agent in range(self.agents):
                if agent != self.me:
                    engine_host.receive_message(agent, figures)
            environment.time += LOOK
            engine_host.run_timers()
        self.counts.add_message(self._bytes(figures), self.agents - 1)
        for to, told in environment.messages:
            self.counts.add_message(self._bytes(told), self.agents - 1 if to is None else 1)

    def _bytes(self, figures: list[int]) -> int:
        message = pb.Figures(sender=self.me, figures=figures)
        return self.call.bytes_of(message.SerializeToString())

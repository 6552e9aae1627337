"""A model of when a server's departure counts as announced to an agent, and which dispatches come too late.

All times are seconds of the virtual clock. The harness records into a Trace while it runs; the rules are
applied to the whole trace afterwards, without knowledge of the client.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

REACHABLE_LIMIT = 6.0  # for which discovery has had the change and was reachable, in total
SILENCE_LIMIT = 6.0  # after a watch fell silent
HANGUP_LIMIT = 4.0  # after SIGHUP
TOLERANCE = 0.05


@dataclass(slots=True)
class AgentProcess:
    """One process of the agent."""

    number: int
    start: float
    end: float = inf


@dataclass(slots=True)
class Departure:
    """A server that is no longer ready, from the change with this index until it is ready again."""

    server: str
    at: float
    index: int
    back: float = inf


@dataclass(slots=True)
class Delivery:
    """Complete, readable data on an open connection: the changes above `after`, up to `index`."""

    process: AgentProcess
    at: float
    connection: int
    after: int
    index: int


@dataclass(slots=True)
class Deadline:
    """After `limit` seconds, changes not received on a later connection count as announced.

    Only seconds in which discovery is reachable count.
    """

    process: AgentProcess
    at: float
    connection: int  # the newest one at that time
    limit: float


@dataclass(slots=True)
class Send:
    """One dispatch."""

    process: AgentProcess
    at: float
    server: str


@dataclass(slots=True)
class Violation:
    """A dispatch that came too late after a departure."""

    send: Send
    departure: Departure
    announced: float
    rule: str


@dataclass
class Trace:
    """What happened in one scenario."""

    asked: bool  # lists must be requested; otherwise they are pushed
    processes: list[AgentProcess] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    deliveries: list[Delivery] = field(default_factory=list)
    deadlines: list[Deadline] = field(default_factory=list)
    sends: list[Send] = field(default_factory=list)
    outages: list[list[float]] = field(default_factory=list)  # [from, until]

    # ---- recording ----
    def note_status(self, server: str, ready: bool, at: float, index: int) -> None:
        open_departure = next(
            (
                departure
                for departure in self.departures
                if departure.server == server and departure.back == inf
            ),
            None,
        )
        if ready and open_departure is not None:
            open_departure.back = at
        elif not ready and open_departure is None:
            self.departures.append(Departure(server, at, index))

    # ---- the rules ----
    def reachable_until(self, since: float, seconds: float) -> float:
        """Returns when discovery has been reachable for so long in total since then."""
        due = since + seconds
        for start, end in self.outages:
            if end > since and start < due:
                due += end - max(start, since)
        return due

    def announced(self, process: AgentProcess, departure: Departure) -> tuple[float, str]:
        """Returns when a departure counts as announced, and by which rule."""
        # As on the users' platform, the time runs from the change, also where the process starts later.
        candidates = [(max(self.reachable_until(departure.at, REACHABLE_LIMIT), process.start), "reachable")]
        deliveries = [delivery for delivery in self.deliveries if delivery.process is process]
        candidates += [
            (delivery.at, "written")
            for delivery in deliveries
            if delivery.after < departure.index <= delivery.index
        ]
        for deadline in self.deadlines:
            if deadline.process is process and not any(
                delivery.connection > deadline.connection and delivery.at <= departure.at
                for delivery in deliveries
            ):
                limit = self.reachable_until(deadline.at, deadline.limit)
                candidates.append((max(departure.at, limit), f"{deadline.limit:g} s after {deadline.at:.3f}"))
        if not self.asked and process.number > 0:
            earlier = self.processes[process.number - 1]
            if self.announced(earlier, departure)[0] <= earlier.end:
                candidates.append((process.start, "announced to the earlier process"))
        return min(candidates)

    def violations(self, grace: float) -> list[Violation]:
        found, known = [], {}
        for send in self.sends:
            for departure in self.departures:
                if departure.server != send.server or not departure.at <= send.at < departure.back:
                    continue
                key = send.process.number, departure.index
                if key not in known:
                    known[key] = self.announced(send.process, departure)
                announced, rule = known[key]
                if send.at > announced + grace + TOLERANCE:
                    found.append(Violation(send, departure, announced, rule))
        return found

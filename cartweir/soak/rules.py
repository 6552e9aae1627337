"""The oracle of a run: the five rules, decided from what clients, servers and discovery recorded. No I/O."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .appliance import ApplianceMake
from .clients import ANSWERED, ENDED, ISSUE, LEFT, ORDER, SILENT, RequestRecord
from .platform import DOWN, Listing, StageTold, Told
from .records import Answer, Attempt, ServerRecords
from .schedule import Deployment

MS, SECOND = 1_000, 1_000_000
SLACK = 50 * MS  # by which each time limit is longer on sockets
ANNOUNCED_WITHIN = 6 * SECOND  # a change counts as announced by then, whether it arrived or not
ANNOUNCED_AFTER_HANGUP = 4 * SECOND  # the same after SIGHUP
STOPPED_TIME = 150 * MS  # a stopped process may get a signal so much later
ANSWER_GRACE = SECOND // 2  # an answer that comes later than that after the time limit is lost
LEFT_GRACE = 100 * MS  # an attempt may begin so long after its client has closed
FORWARD_SLACK = 150 * MS  # by which the time told to a server may exceed what is left to the client
KEY_COUNTS_AFTER = 150 * MS + SLACK  # from when a good answer was written
CAP_DELAY = 150 * MS  # a lower cap binds so much later
EXPOSURE_ATTEMPTS, EXPOSURE_SHARE = 2, 1.04  # attempts and share of the cap that pass beyond the rule
LAST_TAKEN = 700 * MS  # after SIGTERM: what comes later and is unanswered at SIGKILL is lost
LARGE_BUDGET = 30  # requests, from which a smaller deviation is enough for a fall
TOLD_SHARE = 2 / 3  # of the requests that push a cold server over, to count as a breach
OK_STATUS = 200
CONFLICT = 409
KILOBYTE, MEGABYTE = 1_000, 1_000_000  # bytes
MALFORMED = frozenset((400, 404, 405, 408, 409, 413, 431))


@dataclass(frozen=True)
class Breach:
    """A broken rule.

    Attributes:
        rule: Its number; 0: a crash, or a readiness that came too late.
        at: When, in microseconds of the monotonic clock.
        what: What happened, with ids.
    """

    rule: int
    at: int
    what: str

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.at / SECOND:.3f}: {self.what}"


@dataclass(eq=False)
class AgentLife:
    """One process of an agent.

    Attributes:
        agent: The agent's number.
        life: Its number among the agent's processes.
        began_at: When it was started.
        known_version: The version of the list that it was given.
        terminated_at: When it was first sent SIGTERM; 0 if it was not.
        killed_at: When it was sent SIGKILL; 0 if it was not.
        hung_up_at: When it was sent SIGHUP.
        exit_code: With which it ended by itself; None: it did not.
        errors: Lines on its standard error that tell of an internal error.
        peak_memory: Resident bytes that were seen at most.
        peak_descriptors: Descriptors that were seen at most.
    """

    agent: int
    life: int
    began_at: int
    known_version: int
    terminated_at: int = 0
    killed_at: int = 0
    hung_up_at: list[int] = field(default_factory=list)
    exit_code: int | None = None
    errors: list[str] = field(default_factory=list)
    peak_memory: int = 0
    peak_descriptors: int = 0


@dataclass(eq=False)
class Evidence:
    """All records of a run.

    Attributes:
        deployment: Size and settings.
        makes: How each server serves, by its name.
        requests: What clients saw.
        servers: What servers saw.
        read: When requests were read by agents.
        listings: The entries of the list at all versions.
        told: What agents were told of it.
        modes: The modes of discovery, each with the time of its begin.
        stages_told: The stages that agents were told.
        caps: The cap of each stage.
        exposure: Free attempts, and the window in microseconds.
        lives: All processes of agents.
    """

    deployment: Deployment
    makes: dict[str, ApplianceMake]
    requests: Sequence[RequestRecord]
    servers: ServerRecords
    read: dict[str, int]
    listings: Sequence[Listing]
    told: Sequence[Told]
    modes: Sequence[tuple[int, str]]
    stages_told: Sequence[tuple[int, StageTold, int]]
    exposure: tuple[float, int]
    lives: Sequence[AgentLife]

    def __post_init__(self) -> None:
        self._told: dict[int, list[Told]] = defaultdict(list)
        for told in self.told:
            self._told[told.agent].append(told)
        for life in self.lives:
            self._told[life.agent].append(Told(life.agent, life.known_version, life.began_at))
        self.requests_by_id = {request.id: request for request in self.requests if not request.repeated}
        self.repeats_by_id = {request.id: request for request in self.requests if request.repeated}
        self.lives_by_number = {(life.agent, life.life): life for life in self.lives}

    def told_at(self, agent: int, listing: Listing) -> int:
        """Returns when an entry counts as told to an agent."""
        written = min(
            (told.at for told in self._told[agent] if told.version >= listing.version), default=1 << 62
        )
        return min(written, self._announced_at(listing), self._announced_by_hangup(agent, listing))

    def _announced_by_hangup(self, agent: int, listing: Listing) -> int:
        """Returns when it counts as announced to an agent because the agent was sent SIGHUP."""
        found = 1 << 62
        lives = [life for life in self.lives if life.agent == agent]
        for life, later in zip(lives, [*lives[1:], None], strict=True):
            for hung_up_at in life.hung_up_at:
                due = hung_up_at + STOPPED_TIME + ANNOUNCED_AFTER_HANGUP
                is_over = later is not None and later.began_at <= due
                if listing.at <= due and not is_over and not self._was_down(hung_up_at, due):
                    found = min(found, due)
        return found

    def _was_down(self, begin: int, end: int) -> bool:
        """Returns whether discovery was down at any time between these."""
        return self._mode_at(begin) == DOWN or any(
            begin <= at <= end and mode == DOWN for at, mode in self.modes
        )

    def _announced_at(self, listing: Listing) -> int:
        """Returns when it counts as announced to everybody: discovery could be reached for long enough."""
        reachable, since, mode = 0, listing.at, self._mode_at(listing.at)
        for at, next_mode in [*self.modes, (1 << 62, DOWN)]:
            if at <= listing.at:
                continue
            if mode != DOWN and reachable + at - since >= ANNOUNCED_WITHIN:
                return since + ANNOUNCED_WITHIN - reachable
            reachable += (at - since) * (mode != DOWN)
            since, mode = at, next_mode
        return 1 << 62

    def _mode_at(self, time: int) -> str:
        return [mode for at, mode in self.modes if at <= time][-1]


def check_all(evidence: Evidence) -> list[Breach]:
    """Returns all breaches, in order of time."""
    breaches = [
        *check_lives(evidence),
        *check_answers(evidence),
        *check_attempts_are_wanted(evidence),
        *check_effects(evidence),
        *check_drains(evidence),
        *check_cold_servers(evidence),
        *check_exposure(evidence),
        *check_keys(evidence),
    ]
    return sorted(breaches, key=lambda breach: breach.at)


def check_lives(evidence: Evidence) -> Iterable[Breach]:
    """No agent crashes, or logs an internal error."""
    for life in evidence.lives:
        place = f"agent {life.agent} life {life.life}"
        if life.exit_code is not None and (life.exit_code != 0 or not life.terminated_at):
            yield Breach(0, life.began_at, f"{place} ended with {life.exit_code}")
        for line in life.errors:
            yield Breach(0, life.began_at, f"{place}: {line}")
        yield from _check_resources(evidence.deployment, life, place)


def _check_resources(deployment: Deployment, life: AgentLife, place: str) -> Iterable[Breach]:
    """No agent goes over its limits of memory and descriptors."""
    if life.peak_memory > deployment.memory_mb * MEGABYTE:
        what = f"{place} had {life.peak_memory // KILOBYTE} KB of {deployment.memory_mb} MB"
        yield Breach(0, life.began_at, what)
    if life.peak_descriptors > deployment.sockets:
        what = f"{place} held {life.peak_descriptors} descriptors of {deployment.sockets}"
        yield Breach(0, life.began_at, what)


def check_answers(evidence: Evidence) -> Iterable[Breach]:
    """Rule 1: one final answer for each request that was read, in time."""
    for request in evidence.requests:
        what = _lost(evidence, request)
        if what:
            place = f"agent {request.agent} life {request.life}"
            yield Breach(1, request.ended_at, f"{request.operation} {request.id} at {place}: {what}")


def _lost(evidence: Evidence, request: RequestRecord) -> str:
    """Returns how a request was lost; nothing if it was not."""
    if request.ending == ANSWERED:
        return _wrong_answer(request)
    life = evidence.lives_by_number[request.agent, request.life]
    if request.ending == SILENT and request.id not in evidence.read and not _ended_before(life, request):
        return f"never read for {(request.ended_at - request.written_at) // MS} ms"
    if request.ending not in (ENDED, SILENT) or request.id not in evidence.read:
        return ""
    if life.killed_at and request.ended_at >= life.killed_at:
        owed = life.terminated_at and request.written_at > life.terminated_at + LAST_TAKEN
        return "unanswered at SIGKILL" if owed else ""
    waited = request.ended_at - request.written_at
    return f"read, and {request.ending} without an answer after {waited // MS} ms"


def _ended_before(life: AgentLife, request: RequestRecord) -> bool:
    """Returns whether an agent was told to end, or ended, before a request's client gave up."""
    ends = [at for at in (life.terminated_at, life.killed_at) if at]
    return life.exit_code is not None or any(at <= request.ended_at for at in ends)


def _wrong_answer(request: RequestRecord) -> str:
    """Returns what is wrong with the answer to a request; nothing if it is right."""
    waited = request.ended_at - request.written_at
    if waited > request.time_limit + ANSWER_GRACE + SLACK:
        return f"answered after {waited // MS} of {request.time_limit // MS} ms"
    if request.status == OK_STATUS and not request.body.startswith(request.id.encode()):
        return f"answered with {request.body[:40]!r}"
    if request.status in MALFORMED and not (request.repeated and request.status == CONFLICT):
        return f"answered {request.status}: {request.body[:60]!r}"
    return ""


def check_attempts_are_wanted(evidence: Evidence) -> Iterable[Breach]:
    """Rule 1: nothing is sent for a request that has its answer, or whose client has gone."""
    for attempt in evidence.servers.attempts:
        request = _request_of(evidence, attempt)
        if request is None:
            continue
        grace = LEFT_GRACE if request.ending in (ANSWERED, LEFT) else 1 << 62
        if attempt.at > request.ended_at + grace + SLACK:
            late = (attempt.at - request.ended_at) // MS
            yield Breach(1, attempt.at, f"{request.id} was sent {late} ms after it was {request.ending}")
        left = request.written_at + request.time_limit - attempt.at
        if attempt.timeout > max(0, left) + FORWARD_SLACK:
            yield Breach(1, attempt.at, f"{request.id} told {attempt.timeout // MS} of {left // MS} ms left")


def _request_of(evidence: Evidence, attempt: Attempt) -> RequestRecord | None:
    """Returns the request that an attempt is for: the repeat of an id, once that has been written."""
    repeat = evidence.repeats_by_id.get(attempt.request_id)
    if repeat is not None and attempt.at >= repeat.written_at:
        return repeat
    return evidence.requests_by_id.get(attempt.request_id)


def check_effects(evidence: Evidence) -> Iterable[Breach]:
    """Rule 2: nothing that may have run is sent again, unless that is harmless."""
    by_request: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in evidence.servers.attempts:
        if (attempt.at, attempt.request_id) not in evidence.servers.refused:
            by_request[attempt.request_id].append(attempt)
    for request_id, attempts in by_request.items():
        request = evidence.requests_by_id.get(request_id)
        if request is None or len(attempts) == 1:
            continue
        apart = attempts[-1].at - attempts[0].at
        if request.operation == ISSUE:
            yield Breach(
                2, attempts[-1].at, f"{request_id} sent {len(attempts)} times, {apart // MS} ms apart"
            )
        elif request.operation == ORDER and apart > KEY_WINDOW + SLACK:
            yield Breach(2, attempts[-1].at, f"key of {request_id} sent again {apart // MS} ms later")


KEY_WINDOW = 2 * SECOND  # for which servers remember a key


def check_drains(evidence: Evidence) -> Iterable[Breach]:
    """Rule 3: nothing is sent to a server that was announced as leaving, once the grace is over."""
    grace = evidence.deployment.drain_grace
    by_name: dict[str, list[Listing]] = defaultdict(list)
    for listing in evidence.listings:
        by_name[listing.name].append(listing)
    for attempt in evidence.servers.attempts:
        listings = by_name[attempt.server]
        for position, listing in enumerate(listings):
            if listing.status == "up" or attempt.at < listing.at:
                continue
            back = listings[position + 1 :]
            if any(later.status == "up" and later.at <= attempt.at for later in back):
                continue
            told = evidence.told_at(attempt.agent, listing)
            if attempt.at > told + grace + SLACK:
                late = (attempt.at - told) // MS
                yield Breach(
                    3,
                    attempt.at,
                    f"{attempt.request_id} sent to {attempt.server} by agent {attempt.agent} "
                    f"{late} ms after it was told {listing.status}",
                )
                break


def check_cold_servers(evidence: Evidence) -> Iterable[Breach]:
    """Rule 4: no cold server is pushed over by the sum of all agents that were told of its start."""
    for pressure in cold_pressures(evidence):
        if pressure.received > pressure.most and pressure.told > TOLD_SHARE * pressure.received:
            yield Breach(
                4,
                pressure.at,
                f"{pressure.server}, {pressure.age // MS} ms old, got {pressure.received} requests in "
                f"{evidence.deployment.fall_time // MS} ms, {pressure.most:.1f} may come; "
                f"{pressure.told} from agents that were told",
            )


@dataclass(frozen=True)
class ColdPressure:
    """The moment at which a cold server was pushed most: its first fall, or the nearest to one.

    Attributes:
        server: The server.
        at: The moment, in microseconds of the monotonic clock.
        age: Its age then.
        received: Requests within the fall time before.
        told: Those of them that came from agents that had been told of the start.
        most: How many may come.
    """

    server: str
    at: int
    age: int
    received: int
    told: int
    most: float


def cold_pressures(evidence: Evidence) -> Iterable[ColdPressure]:
    """Returns for each start of a server the moment at which it was pushed most."""
    received: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in evidence.servers.attempts:
        received[attempt.server].append(attempt)
    for start, started_at in starts(evidence.listings):
        pressure = _highest_pressure(evidence, start, started_at, received[start.name])
        if pressure is not None:
            yield pressure


def starts(listings: Iterable[Listing]) -> list[tuple[Listing, int]]:
    """Returns the entries that told a start, with the time of the start on the monotonic clock."""
    found: list[tuple[Listing, int]] = []
    seen: set[tuple[str, int]] = set()
    for listing in listings:
        if listing.since and (listing.name, listing.since) not in seen:
            seen.add((listing.name, listing.since))
            found.append((listing, listing.started_at))
    return found


def budget(deployment: Deployment, make: ApplianceMake, age: int) -> float:
    """Returns how many requests of mean work a server of this age may get within the fall time."""
    work = deployment.fall_multiple * make.warmth(age) * make.cores * deployment.fall_time
    return work / make.mean_work


def most_requests(number: float) -> float:
    """Returns how many requests push a server over that is allowed this number."""
    factor = 2 if number >= LARGE_BUDGET else 3
    return number + factor * math.sqrt(number) + factor


def _highest_pressure(
    evidence: Evidence, start: Listing, started_at: int, attempts: Sequence[Attempt]
) -> ColdPressure | None:
    make, span = evidence.makes[start.name], evidence.deployment.fall_time
    times = [attempt.at for attempt in attempts]
    highest: ColdPressure | None = None
    for position in range(bisect_right(times, started_at), len(attempts)):
        at = times[position]
        age = at - started_at
        if age >= make.warm_time:
            break
        recent = attempts[bisect_right(times, max(at - span, started_at)) : position + 1]
        most = most_requests(budget(evidence.deployment, make, age))
        if highest is None or len(recent) / most > highest.received / highest.most:
            told = sum(attempt.at > evidence.told_at(attempt.agent, start) for attempt in recent)
            highest = ColdPressure(start.name, at, age, len(recent), told, most)
            if len(recent) > most:
                break  # the first fall counts
    return highest


def check_exposure(evidence: Evidence) -> Iterable[Breach]:
    """Rule 5: attempts at a build on trial are within the free ones and the cap's part of what was taken."""
    free, window = evidence.exposure
    taken: dict[tuple[int, int], list[int]] = defaultdict(list)
    for request in evidence.requests:
        taken[request.agent, request.life].append(request.written_at)
    exposed: dict[tuple[int, int], list[tuple[Attempt, float]]] = defaultdict(list)
    for attempt in evidence.servers.attempts:
        cap = _cap(evidence, attempt)
        request = evidence.requests_by_id.get(attempt.request_id)
        if cap is not None and request is not None:
            exposed[attempt.agent, request.life].append((attempt, cap))
    for process, attempts in exposed.items():
        arrivals = sorted(taken[process])
        times = [attempt.at for attempt, _ in attempts]
        for position, (attempt, cap) in enumerate(attempts):
            first = bisect_right(times, attempt.at - window)
            count = position + 1 - first
            arrived = bisect_right(arrivals, attempt.at) - bisect_right(arrivals, attempt.at - window)
            most = free + cap * EXPOSURE_SHARE * arrived + EXPOSURE_ATTEMPTS
            if count > most:
                what = f"agent {process[0]} sent {count} to a build on trial, {most:.1f} of {arrived} may go"
                yield Breach(5, attempt.at, what)
                break


def check_keys(evidence: Evidence) -> Iterable[Breach]:
    """Rule 5: a one-way key that a build has answered to a process goes from it to no earlier build."""
    if not evidence.deployment.one_way:
        return
    answers: dict[tuple[int, int, str], list[Answer]] = defaultdict(list)
    for answer in evidence.servers.answers:
        request = evidence.requests_by_id.get(answer.request_id)
        if request is not None and request.key:
            answers[request.agent, request.life, request.key].append(answer)
    for attempt in evidence.servers.attempts:
        request = evidence.requests_by_id.get(attempt.request_id)
        if request is None:
            continue
        build = evidence.makes[attempt.server].build
        for answer in answers.get((request.agent, request.life, request.key), ()):
            if answer.at + KEY_COUNTS_AFTER >= attempt.at:
                break
            if evidence.makes[answer.server].build > build:
                what = (
                    f"key {request.key} of {request.id} went from agent {request.agent} to {attempt.server}"
                )
                yield Breach(5, attempt.at, f"{what}, {answer.server} had answered {answer.request_id}")
                break


def _cap(evidence: Evidence, attempt: Attempt) -> float | None:
    """Returns the cap that binds an attempt; None where its server's build is not on trial for its agent."""
    build = evidence.makes[attempt.server].build
    caps = [
        state.cap
        for agent, state, at in evidence.stages_told
        if agent == attempt.agent and state.build == build and state.phase == "testing" and at <= attempt.at
    ]
    released = any(
        agent == attempt.agent and state.build == build and state.phase == "live" and at <= attempt.at
        for agent, state, at in evidence.stages_told
    )
    return max(caps[-2:]) if caps and not released else None

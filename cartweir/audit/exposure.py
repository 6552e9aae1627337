"""Rule 5: the share of the traffic that a build on trial gets stays within its cap."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict

from .agent_process import IDEMPOTENCY_KEY, AgentProcess, Dispatch
from .breach import Rule
from .exchange import Exchange
from .rules import SECOND

ROUNDING = 1e-9


def check_exposure(process: AgentProcess) -> None:
    """Checks the rule for all builds, and that keys do not go back to an older build."""
    release = process.document.release
    arrivals: dict[str, list[int]] = defaultdict(list)
    for call in process.taken:
        arrivals[call.operation if release.per_operation else ""].append(call.front.request_ended_at)
    for times in arrivals.values():
        times.sort()
    on_trial: dict[tuple[int, str], list[Exchange]] = defaultdict(list)
    for dispatch in process.dispatches:
        if not _is_on_trial(process, dispatch):
            continue
        exchange, told = dispatch
        operation = process.operations.get(exchange.path, "")
        _check_guarded_stage(process, dispatch, operation)
        on_trial[told.entry.build, operation if release.per_operation else ""].append(exchange)
    for (build, operation), sent in on_trial.items():
        _check_windows(process, build, sent, arrivals[operation])
    if release.one_way:
        check_keys(process)


def _is_on_trial(process: AgentProcess, dispatch: Dispatch) -> bool:
    exchange, told = dispatch
    if told is None:
        return False
    build, at = told.entry.build, exchange.began_at
    if process.stages.begins_after(at) and build <= process.registry.lowest_build(at):
        return False  # nothing is told of a trial yet: the earliest build serves
    return process.stages.cap(build, at).share is not None


def _check_guarded_stage(process: AgentProcess, dispatch: Dispatch, operation: str) -> None:
    exchange, told = dispatch
    stage = process.stages.cap(told.entry.build, exchange.began_at).stage
    effect = process.document.operations[operation].effect
    if stage < process.document.release.guarded_stages and effect != "idempotent":
        what = f"{effect} sent to a build in guarded stage {stage}"
        process.report(Rule.EXPOSURE, exchange.began_at, exchange, what)


def _check_windows(process: AgentProcess, build: int, sent: list[Exchange], arrivals: list[int]) -> None:
    """Checks any two requests that one window can hold.

    The calls that arrived between them usually allow for all requests between them; if not, each window
    that holds both is looked at.
    """
    release, grace = process.document.release, process.document.appliances.drain_grace
    for first, start in enumerate(sent):
        for last in range(first, len(sent)):
            end, count = sent[last], last - first + 1
            if end.began_at - start.began_at > release.window:
                break
            cap = process.stages.highest_share(build, start.began_at, end.began_at, grace)
            arrived = bisect_right(arrivals, end.began_at)
            arrived -= bisect_left(arrivals, start.began_at - process.turn)
            if cap and count > release.free + cap * arrived + ROUNDING:
                arrived = _fewest_arrivals(process, arrivals, start.began_at, end.began_at)
            if cap == 0 or count > release.free + cap * arrived + ROUNDING:
                seconds = (end.began_at - start.began_at) / SECOND
                allowed = f"{release.free:g} + {cap:g} x {arrived}"
                what = f"{count} dispatches at build {build} within {seconds:.2f} s, where {allowed} may go"
                process.report(Rule.EXPOSURE, end.began_at, end, what)
                break


def _fewest_arrivals(process: AgentProcess, arrivals: list[int], start: int, end: int) -> int:
    """Returns the fewest calls that arrived in any window that holds both times."""
    window = process.document.release.window
    between = arrivals[bisect_left(arrivals, end - window) : bisect_left(arrivals, start)]
    window_starts = (start, end - window, *(at + 1 for at in between))
    return min(
        bisect_right(arrivals, at + window) - bisect_left(arrivals, at - process.turn) for at in window_starts
    )


def check_keys(process: AgentProcess) -> None:
    """A key that a newer build has answered is not sent to an older one, while the newer one advances."""
    for exchange, told in process.dispatches:
        key = exchange.request.get(IDEMPOTENCY_KEY)
        if told is None or key is None:
            continue
        build = _newer_build_with_key(process, key, told.entry.build, exchange.began_at)
        if build is not None:
            what = f"key {key} of build {build} sent back to {told.entry.build}"
            process.report(Rule.EXPOSURE, exchange.began_at, exchange, what)


def _newer_build_with_key(process: AgentProcess, key: str, build: int, at: int) -> int | None:
    for answered in process.answered_keys:
        is_newer = answered.key == key and answered.build > build and answered.at < at - process.turn
        if is_newer and process.stages.advances(answered.build, at):
            return answered.build
    return None

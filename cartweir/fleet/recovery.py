"""The time that a fleet takes to recover from a fault, measured from the calls that its servers saw.

The fleet has recovered at the first moment from which on, for a while, the share of calls that succeed and
their 99th percentile are close to what they were before the fault. Times are whole microseconds.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class CompletedCall:
    """One call as its client saw it."""

    began: int
    duration: int  # from its first attempt
    succeeded: bool


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """The level of service over a span of time."""

    success_share: float
    p99: int  # of the calls that succeeded


@dataclass(frozen=True, slots=True)
class RecoveryCriteria:
    """When service counts as recovered.

    Attributes:
        steady: the span of time over which it has to be as before.
        share: the least share of calls that succeed, as a part of the share before the fault.
        slowdown: the highest 99th percentile, as a multiple of that before the fault.
        step: the distance of the moments that are tried.
        calls: a span with fewer calls is not judged.
    """

    steady: int = 2 * SECOND
    share: float = 0.99
    slowdown: float = 1.5
    step: int = SECOND // 10
    calls: int = 20


DEFAULT_CRITERIA = RecoveryCriteria()


def service_level(calls: Sequence[CompletedCall]) -> ServiceLevel | None:
    """Returns the level of service; None without any calls."""
    if not calls:
        return None
    durations = sorted(call.duration for call in calls if call.succeeded)
    p99 = durations[min(len(durations) - 1, int(len(durations) * 0.99))] if durations else 0
    return ServiceLevel(len(durations) / len(calls), p99)


def recovery_time(
    calls: Iterable[CompletedCall], fault: int, before: int, criteria: RecoveryCriteria = DEFAULT_CRITERIA
) -> int | None:
    """Returns the time from the fault to the recovery.

    `before` is the span before the fault to compare with. None: service did not recover within the calls
    seen, or there were too few calls to tell.
    """
    ordered = sorted(calls, key=lambda call: call.began)
    starts = [call.began for call in ordered]

    def window(begin: int, end: int) -> list[CompletedCall]:
        return ordered[bisect_left(starts, begin) : bisect_left(starts, end)]

    usual_calls = window(fault - before, fault)
    usual = service_level(usual_calls)
    if usual is None or len(usual_calls) < criteria.calls or not usual.success_share:
        return None
    for begin in range(fault, starts[-1] - criteria.steady + 1, criteria.step):
        calls_now = window(begin, begin + criteria.steady)
        if len(calls_now) >= criteria.calls and _is_recovered(service_level(calls_now), usual, criteria):
            return begin - fault
    return None


def _is_recovered(now: ServiceLevel | None, usual: ServiceLevel, criteria: RecoveryCriteria) -> bool:
    if now is None or now.success_share < criteria.share * usual.success_share:
        return False
    return now.p99 <= criteria.slowdown * usual.p99


def peak_count(times: Iterable[int], span: int = SECOND) -> int:
    """Returns the largest number of events within any such span."""
    ordered, first, most = sorted(times), 0, 0
    for last, time in enumerate(ordered):
        while ordered[first] <= time - span:
            first += 1
        most = max(most, last - first + 1)
    return most

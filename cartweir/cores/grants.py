"""Grants: the decider's permissions for single dispatches, and what is recorded when one is given. No I/O.

A grant counts against exposure cap, window and cold credit from the moment at which the decider gives it, and
it is valid for one tick. That is safe because the decisions count their window two ticks longer than it is,
and the platform's graces are longer still. After that the worker has the grant renewed, which moves the count
to the present. All times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from ..interface import ON_TRIAL, Invocation, Stage

# What to do with a grant that is about to be used.
USE = "use"
RENEW = "renew"
DROP = "drop"


def check_grant(now: int, granted_at: int, lifetime: int, needed: bool) -> str:
    """Returns USE, RENEW or DROP for a grant that is about to be used.

    Args:
        now: Present time.
        granted_at: When the decider gave or last renewed the grant.
        lifetime: How long a grant is valid.
        needed: Whether the invocation still needs the dispatch.
    """
    if not needed:
        return DROP
    return USE if now - granted_at <= lifetime else RENEW


def may_bind_key(settings: Mapping[str, Any], stage: Stage | None, key: str | None, build: int) -> bool:
    """Returns whether a dispatch may lead to the key being answered by the newest build, which binds the key.

    Such a key is recorded when the grant is given, since the worker that gets the answer may die before it
    reports the answer.
    """
    return bool(settings["one_way"] and key and stage) and build >= stage.build + (stage.phase != ON_TRIAL)


def answer_must_wait(settings: Mapping[str, Any], invocation: Invocation) -> bool:
    """Returns whether an answer may reach its client only after the decider knows of it.

    This holds for an answer that may bind its key: otherwise the client's next call with the key could
        overtake the
    report. Any other answer goes to its client at once.
    """
    return bool(settings["one_way"] and invocation.key)


def exposures_in_window(exposures: Iterable[tuple[int, int]], now: int, window: int) -> list[tuple[int, int]]:
    """Returns the recorded exposures (time, operation) that may still be in the window, in order of time.

    Invocations that were taken before the decider's restart earn no exposure: their count begins anew.
    """
    return sorted((when, operation) for when, operation in exposures if when >= now - window)

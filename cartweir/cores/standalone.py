"""Rules for a worker that goes on without the decider, called standalone. No I/O.

Standalone, a worker uses decisions of its own for calls that need no knowledge of the decider.
Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..interface import READY, Appliance, Invocation

MS = 1_000
DECIDER_TIMEOUT = 250 * MS  # a worker goes standalone after this time without a message from the decider
ACCEPT_DELAY = 300  # microseconds for each connection that the worker has
ACCEPT_DELAY_CONNECTIONS = 32  # connections beyond these lengthen the delay no further


class DeciderMonitor:
    """Whether a worker can rely on the decider; it cannot until the first message.

    Attributes:
        last_heard: When the last message of the decider arrived.
        standalone: Whether the worker goes on without the decider.
    """

    def __init__(self, now: int) -> None:
        self.last_heard, self.standalone = now, True

    def record_message(self, now: int) -> bool:
        """Records a message of the decider; returns whether this ends standalone work."""
        self.last_heard, was_standalone, self.standalone = now, self.standalone, False
        return was_standalone

    def check(self, now: int, resumed_at: int) -> bool:
        """Returns whether standalone work begins now.

        Args:
            now: Present time.
            resumed_at: When this worker last resumed after a suspension. Messages that arrived meanwhile are
                unread, so the time before does not count as silence of the decider.
        """
        if not self.standalone and now - max(self.last_heard, resumed_at) > DECIDER_TIMEOUT:
            self.standalone = True
            return True
        return False


def was_suspended(now: int, last: int, tick: int, heartbeat: int) -> bool:
    """Returns whether a process did not run for a while; it reads the clock once a tick, last at `last`."""
    return now - last > 2 * tick + heartbeat


def answer_deadline(expires: int, tick: int, decided: bool) -> int:
    """Returns when a worker itself answers an invocation that nobody has answered.

    The decider gives its last answer two ticks before the client's time is up. A decider that does not work
    on the invocation is not awaited any longer; one that does gets half a tick more.
    """
    return expires - (3 * tick // 2 if decided else 2 * tick)


def standalone_settings(settings: Mapping[str, Any], workers: int) -> dict[str, Any]:
    """Returns the decisions' settings for one standalone worker.

    It never uses a build on trial, since no free exposure is allowed and no cap is known. Limits are divided
    by the number of workers. It sends no messages to other agents and has no vote.
    """
    return {
        **settings,
        "free": 0.0,
        "caps": tuple(0.0 for _ in settings["caps"]),
        "agents": settings["agents"] * workers,
        "may_message": False,
        "may_probe": False,
        "must_ask": False,
        "vote_allowance": 0.0,
        "on_votes": 0,
    }


def can_serve_standalone(settings: Mapping[str, Any], invocation: Invocation) -> bool:
    """Returns whether a standalone worker may take an invocation.

    Where a key may have been answered by the newest build, only the decider knows which build that was: such
        an
    invocation waits for the decider.
    """
    return not (settings["one_way"] and invocation.key)


def can_use_standalone(settings: Mapping[str, Any], appliance: Appliance, now: int) -> bool:
    """Returns whether a standalone worker may use an appliance: it is ready and not cold.

    A cold appliance gets a share of all invocations, and nobody counts them while workers are standalone.
    """
    cold = (
        settings["cold_share"] < 1.0 and appliance.started and now - appliance.started < settings["warm_time"]
    )
    return appliance.state == READY and not cold


def accept_delay(connections: int) -> int:
    """Returns how long a worker waits before it accepts the next client connection.

    All workers accept from one queue: the more connections a worker has, the longer it leaves new ones to
        others.
    """
    return min(connections, ACCEPT_DELAY_CONNECTIONS) * ACCEPT_DELAY

"""Ends a process that holds clients' calls: at once, or when all of them have been answered."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tornado.ioloop import IOLoop

from .event_log import EventLogger

DRAIN = 1  # the first signal drains
GIVE_UP = 2  # the second one ends the process


class Front(Protocol):
    """The server that clients are connected to."""

    @property
    def unsent(self) -> int:
        """Bytes of answers that have not been sent to clients yet."""

    def drain(self) -> None:
        """Refuses new connections and calls."""


@dataclass(eq=False)
class GracefulShutdown:
    """Drains at the first signal, and ends the process when nothing is open or the time for that is over.

    Attributes:
        now: The clock, in microseconds.
        tick: The interval at which open calls are checked, in microseconds.
        drain_time: How long open calls may take to end, in microseconds.
        front: The server that clients are connected to.
        held: Returns how many calls have not been answered.
        give_up: Answers all of them.
        close: Ends the process.
        log_event: Logs an event.
    """

    now: Callable[[], int]
    tick: int
    drain_time: int
    front: Front
    held: Callable[[], int]
    give_up: Callable[[], None]
    close: Callable[[], None]
    log_event: EventLogger

    def __post_init__(self) -> None:
        self._loop = IOLoop.current()
        self._signals = self._deadline = 0
        self._ended = False

    def on_signal(self) -> None:
        """Drains at the first call; answers all open calls and ends the process at the second one."""
        self._signals += 1
        if self._signals == DRAIN:
            self.log_event("draining", held=self.held())
            self.front.drain()
            self._deadline = self.now() + self.drain_time
            self._check_drained()
        elif self._signals == GIVE_UP:
            self._give_up()

    def _check_drained(self) -> None:
        if self._ended:
            return
        if self.now() >= self._deadline:
            self._give_up()
        elif self.held() or self.front.unsent:
            self._loop.call_later(self.tick / 1e6, self._check_drained)
        else:
            self._end()

    def _give_up(self) -> None:
        self.log_event("giving_up", level="warning", held=self.held())
        self.give_up()
        # one interval for the answers to reach the sockets
        self._loop.call_later(self.tick / 1e6, self._end)

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self.close()

"""How a process that holds clients' calls ends: at once, or when it owes nothing any more."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tornado.ioloop import IOLoop

EventLogger = Callable[..., None]


class Front(Protocol):
    """What clients are connected to."""

    @property
    def unsent(self) -> int:
        """Bytes that they have not been given yet."""

    def drain(self) -> None:
        """Takes nothing new."""


class GracefulShutdown:
    """held: how many calls are owed an answer; give_up: answers them; close: the end. Times in microseconds."""

    def __init__(
        self,
        now: Callable[[], int],
        tick: int,
        drain_time: int,
        front: Front,
        held: Callable[[], int],
        give_up: Callable[[], None],
        close: Callable[[], None],
        log_event: EventLogger,
    ) -> None:
        self.now, self.tick, self.drain_time = now, tick, drain_time
        self.front, self.held, self.give_up, self.close, self.log_event = (
            front,
            held,
            give_up,
            close,
            log_event,
        )
        self._loop = IOLoop.current()
        self._signals = self._deadline = 0
        self._ended = False

    def on_signal(self) -> None:
        """The first time: drain. The second: answer what is owed, and end."""
        self._signals += 1
        if self._signals == 1:
            self.log_event("draining", held=self.held())
            self.front.drain()
            self._deadline = self.now() + self.drain_time
            self._drained()
        elif self._signals == 2:
            self._give_up()

    def _drained(self) -> None:
        if self._ended:
            return
        if self.now() >= self._deadline:
            self._give_up()
        elif self.held() or self.front.unsent:
            self._loop.call_later(self.tick / 1e6, self._drained)
        else:
            self._end()

    def _give_up(self) -> None:
        self.log_event("giving_up", level="warning", held=self.held())
        self.give_up()
        # a turn for what has just been said to reach the sockets
        self._loop.call_later(self.tick / 1e6, self._end)

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self.close()

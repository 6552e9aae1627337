"""An asyncio event loop on virtual time: instead of waiting it jumps to its next timer.

It has no sockets and no threads.
"""

from __future__ import annotations

import asyncio
from typing import Any

START = 1000.0  # seconds; to the code under test 0 means 'never'


class _TimeJumpSelector:
    """Replaces the loop's selector: nothing is ever readable, and waiting only advances the clock."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("the loop waits for ever: no timer is set")
        self._loop.now += timeout
        return []


class VirtualLoop(asyncio.BaseEventLoop):
    def __init__(self) -> None:
        super().__init__()
        self.now = START
        self.errors: list[str] = []  # unhandled errors of callbacks and tasks
        self._selector = _TimeJumpSelector(self)
        self.set_exception_handler(self._note_error)

    def time(self) -> float:
        return self.now

    def microseconds(self) -> int:
        return round(self.now * 1e6)

    def _note_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    def _process_events(self, events: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass


class TimerAdapter:
    """The two methods of Tornado's IOLoop that alarms use; Tornado's own read the wall clock."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def call_later(self, delay: float, callback: Any) -> asyncio.TimerHandle:
        return self._loop.call_later(delay, callback)

    def remove_timeout(self, handle: asyncio.TimerHandle) -> None:
        handle.cancel()

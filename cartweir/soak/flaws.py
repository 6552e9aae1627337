"""Faults that a test puts into an agent on purpose, to see that the oracle of the soak finds them."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from ..hosting import tcp
from ..logic import exposure
from ..logic.executed_requests import ExecutedRequests
from ..logic.request_memory import RequestMemory
from ..node.http1 import RequestParser


class Flaw(StrEnum):
    """What is wrong with an agent."""

    FORGOTTEN_IDS = "forgotten_ids"  # an id that has run may run again
    UNLIMITED_MEMORY = "unlimited_memory"  # requests may hold any number of bytes
    UNNOTICED_CLOSE = "unnoticed_close"  # a client that has closed is there while something is unread
    UNLIMITED_CHUNKS = "unlimited_chunks"  # a request may have any number of tiny chunks
    FREE_OUTSTANDING_KEYS = "free_outstanding_keys"  # a key counts as answered by what was read alone


def _forget_ids() -> None:
    ExecutedRequests.contains = lambda self, request_id, now: False


def _do_not_limit_memory() -> None:
    RequestMemory.is_exceeded = lambda self: False


def _do_not_notice_closing() -> None:
    tcp.closed_by_peer = lambda sock: False


def _do_not_limit_chunks() -> None:
    RequestParser.max_small_chunks = None


def _forget_outstanding_keys() -> None:
    exposure.lowest_build = lambda state, key: state.bound_keys.get(key, 0)


_INSTALL: dict[Flaw, Callable[[], None]] = {
    Flaw.FORGOTTEN_IDS: _forget_ids,
    Flaw.UNLIMITED_MEMORY: _do_not_limit_memory,
    Flaw.UNNOTICED_CLOSE: _do_not_notice_closing,
    Flaw.UNLIMITED_CHUNKS: _do_not_limit_chunks,
    Flaw.FREE_OUTSTANDING_KEYS: _forget_outstanding_keys,
}


def install(flaw: str) -> None:
    """Puts a flaw into this process."""
    _INSTALL[Flaw(flaw)]()

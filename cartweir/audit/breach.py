"""The rules, and a breach of one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Rule(IntEnum):
    """The rules, by the numbers under which they are reported."""

    ONE_ANSWER = 1
    NO_EFFECT_TWICE = 2
    DRAINS = 3
    COLD_SERVERS = 4
    EXPOSURE = 5


@dataclass(slots=True)
class Breach:
    """A rule that was broken, when, where and how."""

    rule: Rule
    time: int
    where: str
    what: str

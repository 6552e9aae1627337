"""The axes along which a fleet grows: the target on each, and the sizes that are measured. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from itertools import pairwise

LEAST_SIZES = 4  # fewer points tell a line from a curve by luck


class Axis(Enum):
    """What grows while everything else stays as it is."""

    SERVERS = "servers"
    AGENTS = "agents"
    TENANTS = "tenants"
    DUTIES = "duties"
    MEMBERS = "members"


@dataclass(frozen=True)
class Range:
    """Bounds of one axis: the default sizes, the target, and the sizes that this instrument accepts."""

    default: tuple[int, ...]
    target: int
    least: int
    most: int


RANGES: dict[Axis, Range] = {
    Axis.SERVERS: Range((150, 500, 1_000, 1_500, 5_000, 11_000), 11_000, 20, 50_000),
    Axis.AGENTS: Range((100, 250, 500, 1_000), 1_000, 10, 10_000),
    Axis.TENANTS: Range((1_000, 5_000, 15_000, 31_000), 31_000, 10, 200_000),
    # a release a service is a duty of its own; today a cluster has one release and its steps
    Axis.DUTIES: Range((10, 50, 150, 280), 280, 2, 2_000),
    Axis.MEMBERS: Range((3, 5, 7, 9), 7, 1, 15),
}


class SizesError(ValueError):
    """A list of sizes that cannot be measured; the text names place, reason and what is right."""


def parse_sizes(axis: Axis, text: str) -> tuple[int, ...]:
    """Read `150,500,1500,11000`.

    Raises SizesError.
    """
    option, bounds = f"--{axis.value} {text}", RANGES[axis]
    example = ",".join(map(str, bounds.default))
    try:
        sizes = tuple(int(part) for part in text.split(","))
    except ValueError:
        raise SizesError(f"{option}: not a list of whole numbers: {example} would be right") from None
    if len(sizes) < LEAST_SIZES:
        raise SizesError(
            f"{option}: {len(sizes)} sizes: at least {LEAST_SIZES} are needed, such as {example}"
        )
    if any(left >= right for left, right in pairwise(sizes)):
        raise SizesError(
            f"{option}: sizes do not rise: each is to be larger than the one before, such as {example}"
        )
    for size in sizes:
        if not bounds.least <= size <= bounds.most:
            raise SizesError(
                f"{option}: {size} is out of range: {bounds.least} to {bounds.most} can be measured"
            )
    return sizes

"""The types of keys, and texts with units: times in microseconds, sizes in bytes, lists."""

from __future__ import annotations

import os
import re
from typing import Annotated, Any

from pydantic import AfterValidator, BeforeValidator, Field

TIME_UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
SIZE_UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
HIGHEST_PORT = 65_535
MOST_CORES = 64
_NUMBER_WITH_UNIT = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?([A-Za-z]+)")


def _parse_with_unit(text: Any, units: dict[str, int], example: str) -> Any:
    if not isinstance(text, str):
        return text
    found = _NUMBER_WITH_UNIT.fullmatch(text.strip())
    if found is None or found[2] not in units:
        raise ValueError(f"a number with one of {', '.join(units)} is due, such as {example}")
    return round(float(found[1]) * units[found[2]])


def parse_time(text: Any) -> Any:
    """Returns a time in microseconds, 250000 for '250ms'; what is not text stays as it is.

    Raises:
        ValueError: with what would be right.
    """
    return _parse_with_unit(text, TIME_UNITS, "250ms")


def parse_size(text: Any) -> Any:
    """Returns a size in bytes, 65536 for '64KiB'; what is not text stays as it is.

    Raises:
        ValueError: with what would be right.
    """
    return _parse_with_unit(text, SIZE_UNITS, "64KiB")


def parse_list(text: Any) -> Any:
    """Returns the items of a list, ('a', 'b') for 'a, b'; what is not text stays as it is."""
    if not isinstance(text, str):
        return text
    return tuple(part.strip() for part in text.split(",") if part.strip())


def format_with_unit(value: int, units: dict[str, int]) -> str:
    """Returns a text in the largest unit that needs no fraction."""
    if not value:
        return f"0{next(iter(units))}"
    unit = max((name for name, size in units.items() if value % size == 0), key=units.get)
    return f"{value // units[unit]}{unit}"


def _check_address(text: str) -> str:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > HIGHEST_PORT:
        raise ValueError("host:port is due, such as 127.0.0.1:7100")
    return text


def _check_addresses(texts: tuple[str, ...]) -> tuple[str, ...]:
    if len(set(texts)) != len(texts):
        raise ValueError("one stands there twice: each address once is due")
    return tuple(map(_check_address, texts))


def _parse_cores(text: Any) -> Any:
    """'auto' is one for each core that this process may use, but one."""
    return max(1, len(os.sched_getaffinity(0)) - 1) if text == "auto" else text


# The types of keys. The last text of each says what kind of value is due.
Duration = Annotated[int, BeforeValidator(parse_time), Field(ge=0), "time"]
PositiveDuration = Annotated[int, BeforeValidator(parse_time), Field(gt=0), "time"]
Size = Annotated[int, BeforeValidator(parse_size), Field(gt=0), "size"]
Share = Annotated[float, Field(ge=0, le=1), "share from 0 to 1"]
ShareList = Annotated[
    tuple[Annotated[float, Field(ge=0, le=1)], ...], BeforeValidator(parse_list), "shares, by commas"
]
NameList = Annotated[tuple[str, ...], BeforeValidator(parse_list), "names, by commas"]
Count = Annotated[int, Field(ge=0), "whole number"]
PositiveCount = Annotated[int, Field(ge=1), "whole number from 1"]
CoreCount = Annotated[
    int, BeforeValidator(_parse_cores), Field(ge=1, le=MOST_CORES), "whole number from 1 to 64, or auto"
]
Number = Annotated[float, Field(ge=0, allow_inf_nan=False), "number"]
Flag = Annotated[bool, "yes or no"]
Address = Annotated[str, AfterValidator(_check_address), "host:port"]
AddressList = Annotated[
    tuple[str, ...],
    BeforeValidator(parse_list),
    Field(min_length=1),
    AfterValidator(_check_addresses),
    "host:port, several by commas",
]

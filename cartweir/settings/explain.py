"""The schema as text: each key with its type, default and meaning."""

from __future__ import annotations

from typing import Any

from pydantic_core import PydanticUndefined

from .ini import BadInputError, unit_of
from .schema import SECTIONS
from .units import SIZE_UNITS, TIME_UNITS, format_with_unit

PEERS = "peers"
PEERS_LINE = "[peers]  Address of each other agent, by number: 1 = 127.0.0.1:7101"


def _default_of(field: Any) -> str:
    value = field.default
    if value is PydanticUndefined:
        return "must be given"
    if value in (None, (), ""):
        return "default none"
    if isinstance(value, bool):
        return f"default {'yes' if value else 'no'}"
    unit = unit_of(field)
    if "time" in unit and isinstance(value, int):
        return f"default {format_with_unit(value, TIME_UNITS)}"
    if "size" in unit:
        return f"default {format_with_unit(value, SIZE_UNITS)}"
    return f"default {value}"


def explain(key: str | None = None) -> str:
    """Returns the text for all keys, or for those of the section or name `key`, or for 'section.key'.

    Raises:
        BadInputError: no section or key has that name.
    """
    lines: list[str] = []
    for section, model in SECTIONS.items():
        fields = {
            name: field
            for name, field in model.model_fields.items()
            if key in (None, section, name, f"{section}.{name}", section.split()[0])
        }
        if not fields:
            continue
        lines.append(f"[{section}]  {model.__doc__.splitlines()[0]}")
        for name, field in fields.items():
            lines.append(f"  {name}: {unit_of(field)}; {_default_of(field)}\n      {field.description}")
        lines.append("")
    if key in (None, PEERS):
        lines.append(PEERS_LINE)
    if not lines:
        reason = "no section or key has that name: see `cartweir settings explain` for all"
        raise BadInputError([f"settings explain {key}: {reason}"])
    return "\n".join(lines).rstrip()

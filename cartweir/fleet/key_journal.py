"""Journal of the idempotency keys that an agent may have bound to builds: its format and its validity.

    magic line | number of records, 8 bytes | records: length (2 bytes), checksum (4 bytes), MessagePack

The first record is the header. Each further one is either a key and the build that it was sent to, or a
decision of the controllers, which releases the keys that were bound to older builds. A key's record is
written before its request is sent, and then counted. So after the process was killed, no key is missing
that may have been answered: the request of an incomplete last record was never sent.

Records are not synced one by one. A machine that goes down loses what its kernel held; that is detected by
the boot id, which is another one after the next boot. A file with fewer records than were counted, or with a
wrong checksum, was truncated or damaged. A restored older copy is detected by the decision in its header, if
there was a later one.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import msgpack
import xxhash

from .fencing import FencingToken

MAGIC = b"cartweir facts 2\n"
COUNT_FIELD = slice(len(MAGIC), len(MAGIC) + 8)
INVALID_COUNT = (2**63).to_bytes(8, "big")  # marks a file from which keys are missing
LENGTH_SIZE = 2
RECORD_HEADER_SIZE = LENGTH_SIZE + 4  # length and checksum
LONGEST_RECORD = 2 ** (8 * LENGTH_SIZE) - 1  # request headers are limited far below
ANY_BUILD = 2**62  # keys are missing, and only the next decision bounds their builds
NO_DECISION = FencingToken()


@dataclass(frozen=True)
class JournalHeader:
    """The first record.

    Attributes:
        owner: the agent and its deployment.
        boot_id: of the machine.
        token: of the decision that the agent follows.
        missing: keys that are not in the journal may be bound to builds up to this one, because they were
            too many or an earlier process had lost them; None if no key is missing.
    """

    owner: str
    boot_id: str
    token: FencingToken = NO_DECISION
    missing: int | None = None


@dataclass(frozen=True, slots=True)
class RecoveredKeys:
    """What an agent knows at its start.

    Attributes:
        bound: the keys that may have been answered, and by which build.
        forgot: why other keys may be bound too; None if there are none.
        spent: the exposure of the current time window may have been used.
    """

    bound: dict[str, int]
    forgot: str | None = None
    spent: bool = False

    @property
    def missing(self) -> int | None:
        """`missing` of the new journal's header: forgotten keys stay so for later processes."""
        return ANY_BUILD if self.forgot else None


class _JournalError(Exception):
    """The journal cannot be used; the text says why."""


def encode_record(body: Any) -> bytes:
    """Returns one record.

    Raises:
        ValueError: the record is too long.
    """
    packed = msgpack.packb(body)
    if len(packed) > LONGEST_RECORD:
        raise ValueError(f"a record has {len(packed)} bytes: expected at most {LONGEST_RECORD}")
    return len(packed).to_bytes(LENGTH_SIZE, "big") + xxhash.xxh32_digest(packed) + packed


def encode_binding(key: str, build: int) -> bytes:
    """Returns the record of a key that may be answered by a build."""
    return encode_record([key, build])


def encode_decision(token: FencingToken, build: int) -> bytes:
    """Returns the record of a decision on a build."""
    return encode_record([None, *token, build])


def encode_journal(header: JournalHeader, bound: Iterable[tuple[str, int]]) -> bytes:
    """Returns a whole journal."""
    first = encode_record([header.owner, header.boot_id, list(header.token), header.missing])
    records = [first, *(encode_binding(key, build) for key, build in bound)]
    return MAGIC + len(records).to_bytes(8, "big") + b"".join(records)


def apply_decision(
    bound: Mapping[str, int], missing: int | None, build: int
) -> tuple[dict[str, int], int | None]:
    """Returns the keys that stay bound after a decision on a build, and the new value of `missing`.

    Builds only grow. So keys that were missing at this decision are bound to its build at most, and are
    released by the next decision on a later build.
    """
    still_bound = {key: bound_to for key, bound_to in bound.items() if bound_to >= build}
    if missing == ANY_BUILD:
        return still_bound, build
    is_still_missing = missing is not None and build <= missing
    return still_bound, missing if is_still_missing else None


def read_journal(data: bytes | None, owner: str, boot_id: str, followed: FencingToken) -> RecoveredKeys:
    """Returns the keys that an agent recovers from its journal at its start.

    Args:
        data: the content of the file; None if there is none.
        owner: the agent and its deployment.
        boot_id: of the machine now.
        followed: of the decision that this agent is known to have followed last; NO_DECISION if none is
            known, which means that it has not run here before.
    """
    if data is None:
        has_run = followed > NO_DECISION
        return RecoveredKeys({}, "no file, though decisions were followed here" if has_run else None, has_run)
    try:
        header, *records = _decode_records(data)
        header = _decode_header(header, owner)
    except _JournalError as error:
        return RecoveredKeys({}, str(error), True)
    token, missing = header.token, header.missing
    bound: dict[str, int] = {}
    for key, *rest in records:
        if key is not None:
            bound[str(key)] = int(rest[0])
        else:
            epoch, index, build = rest
            token = FencingToken(epoch, index)
            bound, missing = apply_decision(bound, missing, build)
    if header.boot_id != boot_id:
        return RecoveredKeys(bound, "the machine went down since", True)
    if token < followed:
        return RecoveredKeys(bound, "older than the decision followed last", True)
    if missing is not None:
        return RecoveredKeys(bound, "keys are missing that an earlier process lost or left out", True)
    return RecoveredKeys(bound, None, True)


def _decode_header(record: list, owner: str) -> JournalHeader:
    recorded_owner, boot_id, token, missing = record
    if recorded_owner != owner:
        raise _JournalError(f"of {recorded_owner}, this is {owner}")
    return JournalHeader(recorded_owner, boot_id, FencingToken(*token), missing)


def _decode_records(data: bytes) -> list[list]:
    if not data.startswith(MAGIC) or len(data) < COUNT_FIELD.stop:
        raise _JournalError("not a key journal of a known format")
    counted = int.from_bytes(data[COUNT_FIELD], "big")
    records: list[list] = []
    start = COUNT_FIELD.stop
    while start + RECORD_HEADER_SIZE <= len(data):
        body_start = start + RECORD_HEADER_SIZE
        end = body_start + int.from_bytes(data[start : start + LENGTH_SIZE], "big")
        if end > len(data):
            break  # incomplete or truncated: decided below by the count
        body = data[body_start:end]
        if xxhash.xxh32_digest(body) != data[start + LENGTH_SIZE : body_start]:
            raise _JournalError(f"record {len(records)} is corrupt")
        records.append(msgpack.unpackb(body))
        start = end
    if len(records) < max(1, counted):
        raise _JournalError(f"truncated: has {len(records)} of {counted} records")
    return records

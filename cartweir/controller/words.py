"""Members' messages as MessagePack: nothing that is read can be executed, and what is not known is refused."""
from __future__ import annotations

import msgpack

from ..fleet import terms
from ..fleet.terms import Append, Appended, Ask, Entry, Given, Here, Install, Known, Lead, Message, Snapshot

KINDS = {kind.__name__: kind for kind in (Ask, Given, Append, Appended, Install, Lead, Here, Known)}


class BadWord(ValueError):
    """What came is no word of a member."""


def pack(message: Message) -> bytes:
    return msgpack.packb([type(message).__name__, *message])


def unpack(data: bytes) -> Message:
    """Raises BadWord."""
    try:
        name, *parts = msgpack.unpackb(data)
        message = KINDS[name](*parts)
        if isinstance(message, Append):
            message = message._replace(entries=tuple(Entry(*e) for e in message.entries))
            if any(e.kind not in (terms.DATA, terms.MEMBERS, terms.NOTHING) for e in message.entries):
                raise BadWord("an entry of no known kind")
        elif isinstance(message, Install):
            message = message._replace(snapshot=Snapshot(*message.snapshot))
        if not isinstance(message[0], int):
            raise BadWord("a term, or a count of starts, is no number")
        return message
    except BadWord:
        raise
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        raise BadWord(f"{type(error).__name__}: {error}") from None

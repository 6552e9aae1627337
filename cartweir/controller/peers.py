"""The other members as this one reaches them: words go out in order and may be lost; commands wait for their answer."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import msgpack

from ..fleet.raft.messages import Message
from ..hosting.clock import monotonic
from ..hosting.tcp import spawn
from ..proto import agent_pb2 as pb
from ..wire.calls import CallError, Channel
from . import message_codec

TELL, ACT = "/cartweir.v1.Members/Tell", "/cartweir.v1.Members/Act"
WAITING = 256  # words for one member; older ones go first, as later ones tell more
BROKEN = 3  # calls in a row without an answer: the connection may be open and dead


class Peer:
    def __init__(self, address: str, sign: Callable[[], dict[str, Any]], timeout: int) -> None:
        self.address, self.sign, self.timeout = address, sign, timeout
        self.channel = Channel(address, timeout)
        self._words: deque[bytes] = deque(maxlen=WAITING)
        self._busy = False
        self._silent = 0
        self.silent_since: int | None = None  # when the first call was begun that no answer has come behind

    def say(self, message: Message) -> None:
        self._words.append(message_codec.pack(message))
        if not self._busy:
            self._busy = True
            spawn(self._run())

    async def _run(self) -> None:
        try:
            while self._words:
                out = pb.Words(words=list(self._words), **self.sign())
                self._words.clear()
                await self._call(TELL, out.SerializeToString(), self.timeout)
        finally:
            self._busy = False

    async def _call(self, path: str, message: bytes, timeout: int) -> bytes | None:
        """None: no answer."""
        self.silent_since = self.silent_since or monotonic()
        try:
            answer = await self.channel.unary(path, message, timeout)
        except CallError:
            self._silent += 1
            if self._silent >= BROKEN:
                self._silent = 0
                self.channel.close()
            return None
        self._silent, self.silent_since = 0, None
        return answer.message

    async def act(self, command: dict[str, Any], timeout: int) -> tuple[bool, Any]:
        """Whether it was answered, and the answer."""
        packed = pb.Packed(packed=msgpack.packb(command)).SerializeToString()
        answer = await self._call(ACT, packed, timeout)
        if answer is None:
            return False, None
        return True, msgpack.unpackb(pb.Packed.FromString(answer).packed, strict_map_key=False)

    def close(self) -> None:
        self.channel.close()

"""Connections to other members: messages go out in order and may be lost, commands wait for an answer."""

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

MESSAGES_PATH, COMMAND_PATH = "/cartweir.v1.Members/Tell", "/cartweir.v1.Members/Act"
QUEUE_SIZE = 256  # messages to one member; the oldest are dropped first, as later ones supersede them
FAILURES_BEFORE_RECONNECT = 3  # calls in a row without an answer: the connection may be half-open


class Peer:
    """Another member as this one reaches it.

    Attributes:
        sign: returns the fields of each message that identify its sender.
        timeout: of a call that carries messages, in microseconds.
        silent_since: when the oldest call began after which no answer has come; None if the last call was
            answered.
    """

    def __init__(self, address: str, sign: Callable[[], dict[str, Any]], timeout: int) -> None:
        self.address, self.sign, self.timeout = address, sign, timeout
        self.channel = Channel(address, timeout)
        self._queue: deque[bytes] = deque(maxlen=QUEUE_SIZE)
        self._is_sending = False
        self._failures = 0
        self.silent_since: int | None = None

    def send(self, message: Message) -> None:
        """Queues a message; messages that are queued during a call go out together in the next one."""
        self._queue.append(message_codec.pack(message))
        if not self._is_sending:
            self._is_sending = True
            spawn(self._send_queued())

    async def _send_queued(self) -> None:
        try:
            while self._queue:
                batch = pb.Words(words=list(self._queue), **self.sign())
                self._queue.clear()
                await self._call(MESSAGES_PATH, batch.SerializeToString(), self.timeout)
        finally:
            self._is_sending = False

    async def _call(self, path: str, message: bytes, timeout: int) -> bytes | None:
        """Returns the answer; None if there was none."""
        self.silent_since = self.silent_since or monotonic()
        try:
            answer = await self.channel.unary(path, message, timeout)
        except CallError:
            self._failures += 1
            if self._failures >= FAILURES_BEFORE_RECONNECT:
                self._failures = 0
                self.channel.close()
            return None
        self._failures, self.silent_since = 0, None
        return answer.message

    async def forward(self, command: dict[str, Any], timeout: int) -> tuple[bool, Any]:
        """Has the member propose a command; returns whether it answered, and its answer."""
        packed = pb.Packed(packed=msgpack.packb(command)).SerializeToString()
        answer = await self._call(COMMAND_PATH, packed, timeout)
        if answer is None:
            return False, None
        return True, msgpack.unpackb(pb.Packed.FromString(answer).packed, strict_map_key=False)

    def close(self) -> None:
        """Closes the connection; the next call opens another."""
        self.channel.close()

"""Datagrams between agents: decimal figures separated by blanks, as on the simulator's wire.

Datagrams may be lost; nobody asks for them again.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..hosting.engine_host import EngineHost
from ..hosting.tcp import split_address

MAX_DATAGRAM_BYTES = 256
DATAGRAMS_PER_TURN = 16  # read in one turn of the loop; the others wait in the kernel's buffer
DATAGRAMS_PER_AGENT = 2  # that the buffers are sized for: its counts and a sum
KERNEL_BYTES_PER_DATAGRAM = 1_536  # at most charged to a buffer for a datagram of MAX_DATAGRAM_BYTES
EventLogger = Callable[..., None]


class Peers:
    """The datagram socket of one agent."""

    def __init__(
        self,
        engine_host: EngineHost,
        listen: str,
        peers: list[str],
        everyone: str | None,
        log_event: EventLogger,
    ) -> None:
        """Opens the socket.

        Args:
            engine_host: Receives the messages of other agents.
            listen: Address of this agent's socket.
            peers: Addresses of all agents, in the order of their numbers.
            everyone: Address that reaches all agents at once; None: each agent is sent its own datagram.
            log_event: Logs an event.

        Raises:
            OSError: The address cannot be bound.
        """
        self.engine_host, self.log_event = engine_host, log_event
        self._peers = [split_address(peer) for peer in peers]
        self._numbers = {peer: number for number, peer in enumerate(self._peers)}
        self._everyone = split_address(everyone) if everyone else None
        self._socket = socket.socket(
            socket.AF_INET6 if ":" in split_address(listen)[0] else socket.AF_INET,
            socket.SOCK_DGRAM | socket.SOCK_NONBLOCK,
        )
        self._enlarge(socket.SO_RCVBUF)
        self._enlarge(socket.SO_SNDBUF)
        self._socket.bind(split_address(listen))
        asyncio.get_event_loop().add_reader(self._socket.fileno(), self._readable)

    def _enlarge(self, buffer: int) -> None:
        """Sizes a kernel buffer for all agents sending at once.

        The kernel sets twice the value requested, and at most twice its own limit
        (net.core.rmem_max, wmem_max).
        """
        needed = len(self._peers) * DATAGRAMS_PER_AGENT * KERNEL_BYTES_PER_DATAGRAM
        if needed > self._socket.getsockopt(socket.SOL_SOCKET, buffer):
            self._socket.setsockopt(socket.SOL_SOCKET, buffer, needed // 2)

    def message(self, to: int | None, figures: list[int]) -> None:
        """Sends figures to the agent of that number, or to all agents (None)."""
        text = " ".join(map(str, figures)).encode()
        if to is None:
            targets = [self._everyone] if self._everyone else self._peers
        else:
            targets = self._peers[to : to + 1]
        if len(text) > MAX_DATAGRAM_BYTES:
            self.log_event("message_too_long", level="warning", bytes=len(text))
            return
        for target in targets:
            try:
                self._socket.sendto(text, target)
            except OSError as error:
                self.log_event("message_lost", level="debug", why=error.strerror)

    def _readable(self) -> None:
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                text, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # nothing more to read, or an ICMP error for a datagram that nobody received
                return
            number = self._numbers.get(sender[:2])
            if number is None or number == self.engine_host.settings["me"]:
                continue
            if len(text) > MAX_DATAGRAM_BYTES:  # its last figure may be cut
                self.log_event("message_too_long", level="warning", sender=number)
            else:
                self.engine_host.receive_message(
                    number, [int(field) for field in text.split() if field.isdigit()]
                )

    def close(self) -> None:
        """Closes the socket."""
        asyncio.get_event_loop().remove_reader(self._socket.fileno())
        self._socket.close()

"""Proxies on the way of connections: one delays or loses what the other side sends back, one is cut off."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from collections.abc import Callable

from .rig import LOOPBACK, Rig, free_port

READ_SIZE = 1 << 16
FILLERS = 4  # connections that fill the queue of a listener


class Proxy:
    """Passes the connections to one address on.

    Attributes:
        address: Where it listens.
        hold: Returns for how many seconds the answer to these bytes of the client is held up; it is called
            with the latest bytes of the client as an answer passes.
        lose: Returns whether an answer is lost. From then on its connection stays open and silent.
    """

    def __init__(self, rig: Rig, target: str) -> None:
        self.rig, self._target = rig, target.split(":")
        self.address = ""
        self.hold: Callable[[bytes], float] = lambda request: 0.0
        self.lose: Callable[[bytes], bool] = lambda request: False

    async def start(self) -> Proxy:
        """Listens at a free port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, free_port())
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            host, port = self._target
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        latest = [b""]
        back = self.rig.spawn(self._pass_back(far_reader, writer, latest))
        try:
            with contextlib.suppress(OSError):
                while data := await reader.read(READ_SIZE):
                    latest[0] = data
                    far_writer.write(data)
                    await far_writer.drain()
        finally:
            far_writer.close()
            writer.close()
            back.cancel()

    async def _pass_back(
        self, far_reader: asyncio.StreamReader, writer: asyncio.StreamWriter, latest: list[bytes]
    ) -> None:
        silent = False
        with contextlib.suppress(OSError):
            while data := await far_reader.read(READ_SIZE):
                if not silent and self.lose(latest[0]):
                    silent = True
                    self.rig.record.write("answer_lost", to=_name_of(latest[0]))
                if silent:
                    continue
                seconds = self.hold(latest[0])
                if seconds > 0:
                    self.rig.record.write("answer_held", answer=data.decode().strip())
                    await asyncio.sleep(seconds)
                    self.rig.record.write("answer_passed_on", answer=data.decode().strip())
                writer.write(data)
                await writer.drain()
        if not silent:
            writer.close()


def _name_of(request: bytes) -> str:
    """Returns the id of a request, or its begin where it has none."""
    found = re.search(rb"(?i)\r\nX-Request-ID: *(\S+)", request)
    return (found[1] if found else request[:60]).decode("latin-1")


class Cut:
    """The way to one address, which can be cut off and healed.

    While it is cut, open connections stay open and silent, and new ones never come up: the queue of the
    listener is full, so that the kernel answers no more. What was written meanwhile arrives after the cut.
    """

    def __init__(self, rig: Rig, target: str) -> None:
        self.rig, self._target = rig, target.split(":")
        self._listener = socket.socket()
        self._listener.bind((LOOPBACK, free_port()))
        self._listener.listen(1)
        self._listener.setblocking(False)
        self.address = f"{LOOPBACK}:{self._listener.getsockname()[1]}"
        self._whole = asyncio.Event()
        self._fillers: list[socket.socket] = []
        rig.closers.append(self._close)
        self.heal()

    def cut(self) -> None:
        """Cuts the way off."""
        asyncio.get_running_loop().remove_reader(self._listener)
        self._whole.clear()
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)
        self.rig.record.write("cut", address=self.address)

    def heal(self) -> None:
        """Ends the cut."""
        for filler in self._fillers:
            filler.close()
        if self._fillers:
            self.rig.record.write("healed", address=self.address)
        self._fillers = []
        self._whole.set()
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            sock, _ = self._listener.accept()
            sock.setblocking(False)
            self.rig.spawn(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            far_reader, far_writer = await asyncio.open_connection(self._target[0], int(self._target[1]))
            try:
                await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))
            finally:
                far_writer.close()
        except OSError:
            pass
        finally:
            writer.close()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_SIZE):
            await self._whole.wait()
            writer.write(data)
            await writer.drain()
        await self._whole.wait()
        writer.close()

    def _close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._listener)
        for sock in (self._listener, *self._fillers):
            sock.close()

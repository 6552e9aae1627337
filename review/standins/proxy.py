"""A proxy on the way of a connection: it delays or loses what the other side sends back."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from .rig import LOOPBACK, Rig

READ_SIZE = 1 << 16


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
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
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
                if silent:
                    continue
                if (seconds := self.hold(latest[0])) > 0:
                    await asyncio.sleep(seconds)
                writer.write(data)
                await writer.drain()
        if not silent:
            writer.close()

"""What one call costs on the ordinary path, counted.

Counted are system calls on sockets, wake-ups, what is left to the garbage collector, and what stays
allocated. Counts are the same every time, and `path.budget` beside this file has the most that each may be;
CI fails past it. Times are no part of it: see relay.py and cores.py.

The agent runs here with its real sockets. The client and the appliance are peers in this process that write
one burst after another, each whole, and are not counted.

    python benchmarks/path.py [--json] [--flaw syscall|leak|cycle]
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import socket
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from h2.config import H2Configuration  # noqa: E402
from h2.connection import H2Connection  # noqa: E402
from h2.events import DataReceived, StreamEnded  # noqa: E402
from h2.settings import SettingCodes  # noqa: E402

from cartweir.agent.daemon import Daemon, make_logger  # noqa: E402
from cartweir.proto import agent_pb2 as pb  # noqa: E402
from cartweir.settings.ini import read_agent  # noqa: E402
from cartweir.standin.registry import Registry  # noqa: E402

BUDGET = Path(__file__).with_suffix(".budget")
SETTINGS = """
[agent]
listen = 127.0.0.1:0
seed = 1
[registry]
address = {registry}
[conveyor]
address = 127.0.0.1:9
[allowed]
may_probe = no
may_duplicate = no
[appliances]
streams = 1000
connections = 1
[release]
shares = 1
caps = 1
[wire]
reconnect_least = 60s
reconnect_most = 60s
[operation get]
methods = /bench.Bodies/Get
effect = idempotent
slo_time = 30s
time_limit = 60s
[log]
format = json
level = error
"""
SHAPES = [(200, 1), (200, 32), (200, 256), (65_536, 1), (65_536, 8)]  # bytes of an answer, calls in a burst


class Counted:
    """Counts the calls that Tornado and the loop make on the agent's own sockets."""

    def __init__(self) -> None:
        self.counts: Counter = Counter()
        self.agents: set[int] = set()
        self.on = False
        for name in ("send", "recv_into"):
            self._wrap(name)

    def _wrap(self, name: str) -> None:
        real, counted = getattr(socket.socket, name), self

        def call(sock: socket.socket, *args: Any) -> Any:
            if counted.on and sock.fileno() in counted.agents:
                counted.counts[name] += 1
            return real(sock, *args)

        setattr(socket.socket, name, call)


class Side:
    """A peer over a plain socket: everything that it has to say at a moment goes out in one write."""

    def __init__(self, sock: socket.socket, client: bool) -> None:
        self.sock, self.loop = sock, asyncio.get_running_loop()
        sock.setblocking(False)
        self.h2 = H2Connection(H2Configuration(client_side=client, header_encoding=None))
        self.h2.local_settings = type(self.h2.local_settings)(
            client=client,
            initial_values={
                SettingCodes.INITIAL_WINDOW_SIZE: 1 << 24,
                SettingCodes.MAX_CONCURRENT_STREAMS: 1000,
            },
        )
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(1 << 28)

    async def say(self) -> None:
        """Sends what h2 has to send."""
        if data := self.h2.data_to_send():
            await self.loop.sock_sendall(self.sock, data)

    async def hear(self) -> list[Any]:
        """Returns the events of the next input; raises ConnectionError at the end of the connection."""
        data = await self.loop.sock_recv(self.sock, 1 << 20)
        if not data:
            raise ConnectionError("the agent has closed the connection")
        return self.h2.receive_data(data)


async def appliance(side: Side, size: int, burst: list[int]) -> None:
    """Answers each burst when it is whole, in one write."""
    body, waiting = b"\0" + size.to_bytes(4, "big") + b"x" * size, []
    await side.say()
    while True:
        for event in await side.hear():
            if isinstance(event, StreamEnded):
                waiting.append(event.stream_id)
        if len(waiting) >= burst[0]:
            for stream in waiting:
                side.h2.send_headers(stream, [(b":status", b"200"), (b"content-type", b"application/grpc")])
                rest = memoryview(body)
                while rest:
                    side.h2.send_data(stream, rest[:16_384])
                    rest = rest[16_384:]
                side.h2.send_headers(stream, [(b"grpc-status", b"0")], end_stream=True)
            waiting.clear()
        await side.say()


async def burst_of(side: Side, count: int, size: int) -> None:
    """Sends so many calls at once, and waits for their answers."""
    for _ in range(count):
        stream = side.h2.get_next_available_stream_id()
        side.h2.send_headers(
            stream,
            [
                (b":method", b"POST"),
                (b":scheme", b"http"),
                (b":path", b"/bench.Bodies/Get"),
                (b":authority", b"a"),
                (b"te", b"trailers"),
                (b"content-type", b"application/grpc"),
                (b"grpc-timeout", b"50S"),
            ],
        )
        side.h2.send_data(stream, b"\0\0\0\0\x04what", end_stream=True)
    await side.say()
    left, got = count, 0
    while left:
        for event in await side.hear():
            left -= isinstance(event, StreamEnded)
            got += len(event.data) if isinstance(event, DataReceived) else 0
    if got != count * (size + 5):
        raise AssertionError(f"{got} bytes came of {count * (size + 5)}")


async def shape(size: int, count: int, counted: Counted, flaw: str, rounds: int) -> dict[str, float]:
    """Figures of one call, on average of all after a warm-up."""
    loop = asyncio.get_running_loop()
    listening = socket.create_server(("127.0.0.1", 0))
    listening.setblocking(False)
    registry = Registry()
    entry = pb.Entry(appliance="b", address=f"127.0.0.1:{listening.getsockname()[1]}", build=1, run=1)
    registry.put(entry)
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "agent.ini"
        file.write_text(SETTINGS.format(registry=registry.listen_on("127.0.0.1:0")))
        daemon = Daemon(read_agent(file), make_logger("json", "error"))
    address = daemon.start_up()
    daemon.engine_host.engine.agent.concurrency_limit = 1e6
    seed_flaw(daemon, flaw)
    host, port = address.split(":")
    client = Side(socket.create_connection((host, int(port))), True)
    await client.say()
    while not daemon.engine_host.engine.agent.fleet:
        await asyncio.sleep(0.005)

    burst = [1]
    going = asyncio.ensure_future(burst_of(client, 1, size))
    sock, _ = await loop.sock_accept(listening)
    served = asyncio.ensure_future(appliance(Side(sock, False), size, burst))
    await going
    burst[0] = count
    for _ in range(3):  # buffers, header tables and histograms are filled
        await burst_of(client, count, size)
    counted.agents = {link._stream.socket.fileno() for link in daemon.front.connections} | {
        owner.connection._stream.socket.fileno()
        for pool in daemon.appliance_pools.pools.values()
        for owner in pool.open
    }
    await asyncio.sleep(0.1)
    gc.collect()
    gc.disable()
    blocks, counted.on = sys.getallocatedblocks(), True
    for _ in range(rounds):
        await burst_of(client, count, size)
    counted.on = False
    while daemon.engine_host.calls or daemon.front._unfinished:
        await asyncio.sleep(0.01)
    calls = rounds * count
    kept = sys.getallocatedblocks() - blocks
    gc.set_debug(gc.DEBUG_SAVEALL)
    gc.collect()
    left = sum(type(thing).__module__.startswith("cartweir") for thing in gc.garbage)
    gc.set_debug(0)
    gc.garbage.clear()
    gc.enable()
    found = {name: counted.counts[name] / calls for name in ("send", "recv_into")}
    counted.counts.clear()
    timers = len(daemon.engine_host.engine._timers)
    served.cancel()
    daemon._end()
    registry.shutdown()
    for closing in (client.sock, sock, listening):
        closing.close()
    return {
        "size": size,
        "burst": count,
        "sends": round(found["send"], 3),
        "recvs": round(found["recv_into"], 3),
        "left_to_collector": round(left / calls, 3),
        "kept_blocks": round(kept / calls, 1),
        "timers": round(timers / calls, 2),
    }


def seed_flaw(daemon: Daemon, flaw: str) -> None:
    """Faults that the budget must catch."""
    engine_host = daemon.engine_host
    if flaw == "syscall":
        start = engine_host.environment.start

        def twice(dispatch: Any, call: Any) -> Any:
            attempt = start(dispatch, call)
            for pool in daemon.appliance_pools.pools.values():
                for owner in pool.open:
                    owner.connection.flush()  # a write of its own instead of one a turn
            return attempt

        daemon.start = twice
    elif flaw in ("leak", "cycle"):
        kept: list[Any] = []
        ended = engine_host.dispatch_ended

        def holds(dispatch: Any, *args: Any, **more: Any) -> None:
            ended(dispatch, *args, **more)
            if flaw == "leak":
                kept.append(dispatch)
                daemon.kept = kept
            else:
                dispatch.invocation.dispatches = [dispatch]

        engine_host.dispatch_ended = holds


def over(found: list[dict[str, float]], budget: dict[str, dict[str, float]]) -> list[str]:
    """What is past its budget, in words."""
    lines = []
    for row in found:
        most = budget[f"{row['size']} x {row['burst']}"]
        lines += [
            f"{row['size']} B, bursts of {row['burst']}: {name} {row[name]} a call, where {most[name]} may be"
            for name in most
            if row[name] > most[name]
        ]
    return lines


def read_budget() -> dict[str, dict[str, float]]:
    """Returns the most that each figure may be, by the shape of the calls."""
    rows = [line.split() for line in BUDGET.read_text().splitlines() if line and not line.startswith("#")]
    names = rows[0][3:]
    return {" ".join(row[:3]): dict(zip(names, map(float, row[3:]), strict=True)) for row in rows[1:]}


async def measure(
    flaw: str = "", rounds: int = 30, shapes: list[tuple[int, int]] = SHAPES
) -> list[dict[str, float]]:
    """Returns the figures of each shape of calls.

    Args:
        flaw: A fault to put in, which the figures have to show; none if empty.
        rounds: Bursts of each shape, before they are made fewer for large ones.
        shapes: Bytes of an answer and calls of a burst.
    """
    counted = Counted()
    return [
        await shape(size, count, counted, flaw, max(3, rounds // max(1, count // 8)))
        for size, count in shapes
    ]


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--flaw", default="", choices=["", "syscall", "leak", "cycle"])
    arguments = parser.parse_args()
    rows = asyncio.run(measure(arguments.flaw))
    if arguments.json:
        print(json.dumps(rows, indent=1))
    else:
        for row in rows:
            print("  ".join(f"{name} {value}" for name, value in row.items()))
    problems = over(rows, read_budget()) if BUDGET.exists() else []
    print(*problems, sep="\n", file=sys.stderr)
    sys.exit(bool(problems))

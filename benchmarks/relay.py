"""What an agent costs beside two plain relays, in one run: CPU per unary call, latency added, memory.

Peers: (a) a relay of grpc.aio's server and channel, (b) a bare relay of h2 on IOStream that copies headers and data
from stream to stream. All carry the same calls of the same light client to the same light appliance; each part is a
process of its own on loopback. Ratios are what counts; the machine is whatever this runs on.

    python benchmarks/relay.py [--calls N] [--json]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from cartweir.hosting.tcp import connect, split_address  # noqa: E402
from cartweir.proto import agent_pb2 as pb  # noqa: E402
from cartweir.standin.registry import Registry  # noqa: E402
from cartweir.wire.calls import Channel, Service  # noqa: E402
from cartweir.wire.connection import Connection  # noqa: E402
from cartweir.wire.session import SessionLimits  # noqa: E402

PATH = "/bench.Bodies/Get"
NEVER = 0xFFFFFFFF  # a size that is not answered
SETTINGS = """
[agent]
listen = 127.0.0.1:0
[registry]
address = {registry}
[conveyor]
address = 127.0.0.1:9
[allowed]
may_probe = no
[release]
shares = 1
caps = 1
[wire]
reconnect_least = 5s
reconnect_most = 60s
[operation get]
methods = /bench.Bodies/Get
effect = idempotent
slo_time = 30s
time_limit = 60s
[log]
format = json
"""


# ---- the parts, each a process ----
async def appliance() -> None:
    """Answers so many bytes as the request's first four say."""
    service, bodies = Service(), {}

    async def get(request: Any) -> bytes:
        size = int.from_bytes(request.message[:4], "big")
        if size == NEVER:
            await asyncio.Event().wait()
        return bodies.setdefault(size, b"x" * size)

    service.handlers[PATH] = get
    print(service.listen_on("127.0.0.1:0"), flush=True)
    await asyncio.Event().wait()


async def aio_relay(target: str) -> None:
    import grpc as library

    options = [("grpc.max_receive_message_length", -1), ("grpc.max_send_message_length", -1)]
    server = library.aio.server(options=options)
    channel = library.aio.insecure_channel(target, options=options)
    call = channel.unary_unary(PATH)

    async def get(request: bytes, context: Any) -> bytes:
        return await call(request, timeout=context.time_remaining())

    class Handler(library.GenericRpcHandler):
        def service(self, details: Any) -> Any:
            return library.unary_unary_rpc_method_handler(get)

    server.add_generic_rpc_handlers((Handler(),))
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    print(f"127.0.0.1:{port}", flush=True)
    await server.wait_for_termination()


async def h2_relay(target: str) -> None:
    """Stream to stream, without a thought."""
    from tornado.tcpserver import TCPServer

    class Back:
        def __init__(self, front: Any) -> None:
            self.front = front

        def on_headers(self, stream: Any, headers: Any) -> None:
            self.front.send_headers(headers)

        def on_data(self, stream: Any, data: bytes) -> None:
            stream.acknowledge(len(data))
            self.front.send_data(data)

        def on_end(self, stream: Any, trailers: Any) -> None:
            self.front.send_trailers(trailers)

        def on_aborted(self, stream: Any, how: str, code: int) -> None: ...
        def on_sent(self, stream: Any, size: int) -> None: ...

    class Front:
        back: Any = None

        def on_stream(self, stream: Any, headers: Any) -> Any:
            self.back = None
            fore = Front()
            fore.back = upstream.session.open(headers, Back(stream))
            return fore

        def on_headers(self, stream: Any, headers: Any) -> None: ...

        def on_data(self, stream: Any, data: bytes) -> None:
            stream.acknowledge(len(data))
            self.back.send_data(data)

        def on_end(self, stream: Any, trailers: Any) -> None:
            self.back.send_data(b"", end=True)

        def on_aborted(self, stream: Any, how: str, code: int) -> None: ...
        def on_sent(self, stream: Any, size: int) -> None: ...
        def on_settings(self) -> None: ...
        def on_goaway(self, code: int) -> None: ...
        def on_lost(self, link: Any, why: str) -> None: ...

    class Server(TCPServer):
        def handle_stream(self, stream: Any, address: Any) -> None:
            Connection(stream, False, SessionLimits(), Front())

    upstream = Connection(await connect(*split_address(target), 1_000_000), True, SessionLimits(), Front())
    server = Server()
    server.listen(0, "127.0.0.1")
    print("127.0.0.1:%d" % next(iter(server._sockets.values())).getsockname()[1], flush=True)
    await asyncio.Event().wait()


async def client(address: str, calls: int, at_once: int, size: int) -> None:
    """A closed loop; prints microseconds at p50 and p99, and wall time."""
    channels = [Channel(address, 1_000_000, max_message_bytes=64 << 20) for _ in range(min(4, at_once))]
    histogram = HdrHistogram(1, 60_000_000, 3)
    message, left = size.to_bytes(4, "big") + b"q" * 196, [calls]

    async def work(number: int) -> None:
        while left[0] > 0:
            left[0] -= 1
            began = time.perf_counter_ns()
            await channels[number % len(channels)].unary(PATH, message, 60_000_000)
            histogram.record_value(max(1, (time.perf_counter_ns() - began) // 1000))

    began = time.perf_counter()
    await asyncio.gather(*(work(number) for number in range(at_once)))
    print(
        json.dumps(
            {
                "p50": histogram.get_value_at_percentile(50),
                "p99": histogram.get_value_at_percentile(99),
                "wall": time.perf_counter() - began,
            }
        )
    )


# ---- the run ----
class Part:
    def __init__(self, *args: str, address: bool = True) -> None:
        self.process = subprocess.Popen(
            [sys.executable, __file__, *args], stdout=subprocess.PIPE, text=True, cwd=ROOT
        )
        self.address = self.process.stdout.readline().strip() if address else ""

    @property
    def cpu(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    @property
    def memory(self) -> int:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1])

    def end(self) -> None:
        self.process.terminate()
        self.process.wait()


class AgentPart(Part):
    def __init__(self, folder: Path, registry: str) -> None:
        file = folder / "agent.ini"
        file.write_text(SETTINGS.format(registry=registry))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cartweir", "agent", "--settings", str(file)],
            stderr=subprocess.PIPE,
            text=True,
            cwd=ROOT,
        )
        while '"started"' not in (line := self.process.stderr.readline()):
            pass
        self.address = json.loads(line)["listen"]
        while '"list"' not in self.process.stderr.readline():
            pass


def measure(part: Part | None, address: str, calls: int, at_once: int, size: int) -> dict[str, float]:
    def go(count: int) -> dict[str, float]:
        done = subprocess.run(
            [sys.executable, __file__, "client", address, str(count), str(at_once), str(size)],
            capture_output=True,
            text=True,
            check=True,
        )
        return json.loads(done.stdout)

    go(max(calls // 4, at_once))  # warm up
    before = part.cpu if part else 0.0
    found = go(calls)
    found["cpu"] = (part.cpu - before) / calls * 1e6 if part else 0.0
    return found


async def idle_memory(part: Part, address: str, count: int) -> float:
    """KiB for each of so many idle connections."""
    before, held = part.memory, []
    for _ in range(count):
        reader, writer = await asyncio.open_connection(*split_address(address))
        writer.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes.fromhex("000000040000000000"))
        await reader.read(100)
        held.append(writer)
    await asyncio.sleep(0.3)
    grown = part.memory - before
    for writer in held:
        writer.close()
    return grown / count


async def held_memory(part: Part, count: int) -> float:
    """KiB for each of so many calls that wait for their answer, on four connections."""
    channels = [Channel(part.address, 1_000_000) for _ in range(4)]
    for channel in channels:
        await channel._ready()
    await asyncio.sleep(0.2)
    before = part.memory
    message = NEVER.to_bytes(4, "big") + b"q" * 196
    waiting = [asyncio.ensure_future(channels[n % 4].unary(PATH, message, 20_000_000)) for n in range(count)]
    await asyncio.sleep(3)
    grown = part.memory - before
    for call in waiting:
        call.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)
    for channel in channels:
        channel.close()
    return grown / count


def decisions_alone(calls: int) -> float:
    """Microseconds of CPU of seat, engine and module for one invocation that succeeds at once, without sockets."""
    from cartweir.agent.daemon import build_operations
    from cartweir.hosting.appliance_list import ListEntry
    from cartweir.hosting.engine_host import EngineHost
    from cartweir.settings.ini import read_agent

    class World:
        """Nothing happens here."""

        started: Any = None

        def now(self) -> int:
            return time.monotonic_ns() // 1000

        def start(self, dispatch: Any, call: Any) -> object:
            self.started = dispatch
            return self

        def nothing(self, *args: Any, **more: Any) -> None: ...

        schedule_alarm = log_event = run_soon = abandon = vote = probe = message = succeed = throttle = (
            terminate
        ) = nothing

    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "agent.ini"
        file.write_text(SETTINGS.format(registry="127.0.0.1:9"))
        document = read_agent(file)
    environment = World()
    engine_host = EngineHost(
        environment, {**document.decision_settings(), "operations": build_operations(document)}, 1
    )
    engine_host.apply_list("whole", [ListEntry(f"b{n}", 1, 1) for n in range(8)])
    began = time.process_time()
    for _ in range(calls):
        engine_host.accept(environment, engine_host.operations["get"], environment.now(), 60_000_000)
        engine_host.dispatch_ended(environment.started, "succeeded", answer=((), [], ()))
    return (time.process_time() - began) / calls * 1e6


async def main(calls: int, as_json: bool) -> None:
    backend = Part("appliance")
    registry = Registry()
    where = registry.listen_on("127.0.0.1:0")
    for number in range(8):
        registry.put(pb.Entry(appliance=f"b{number}", address=backend.address, build=1, run=1))
    with tempfile.TemporaryDirectory() as folder:
        agent = await asyncio.to_thread(AgentPart, Path(folder), where)
        relays = {
            "agent": agent,
            "grpc.aio relay": Part("aio", backend.address),
            "h2 relay": Part("h2", backend.address),
        }
        # memory first, while the heap has not grown by anything else
        memory = {name: round(await idle_memory(part, part.address, 200), 1) for name, part in relays.items()}
        held = {name: round(await held_memory(part, 400), 1) for name, part in relays.items()}
        rows = []
        for size in (200, 65_536):
            for at_once in (1, 32, 256):
                count = max(calls if size == 200 else calls // 4, 2 * at_once)
                direct = await asyncio.to_thread(measure, None, backend.address, count, at_once, size)
                for name, part in relays.items():
                    found = await asyncio.to_thread(measure, part, part.address, count, at_once, size)
                    rows.append(
                        {
                            "size": size,
                            "at_once": at_once,
                            "relay": name,
                            "cpu_us": round(found["cpu"]),
                            "p50_added_us": found["p50"] - direct["p50"],
                            "p99_added_us": found["p99"] - direct["p99"],
                        }
                    )
        for part in (*relays.values(), backend):
            part.end()
    alone = round(decisions_alone(20_000))
    registry.shutdown()
    if as_json:
        print(
            json.dumps({"rows": rows, "idle_kib": memory, "held_kib": held, "decisions_us": alone}, indent=1)
        )
        return
    print(
        f"{'answer':>8}{'at once':>9}  {'relay':<16}{'CPU us a call':>14}{'of grpc.aio':>13}{'p50 added us':>14}{'p99 added us':>14}"
    )
    for row in rows:
        peer = next(
            r
            for r in rows
            if (r["size"], r["at_once"], r["relay"]) == (row["size"], row["at_once"], "grpc.aio relay")
        )
        print(
            f"{row['size']:>8}{row['at_once']:>9}  {row['relay']:<16}{row['cpu_us']:>14}"
            f"{row['cpu_us'] / max(1, peer['cpu_us']):>13.2f}{row['p50_added_us']:>14}{row['p99_added_us']:>14}"
        )
    print("KiB a held call: " + ", ".join(f"{name} {kib}" for name, kib in held.items()))
    print(f"decisions alone, without sockets: {alone} us of CPU an invocation")
    print("KiB an idle connection: " + ", ".join(f"{name} {kib}" for name, kib in memory.items()))


if __name__ == "__main__":
    if sys.argv[1:2] == ["appliance"]:
        asyncio.run(appliance())
    elif sys.argv[1:2] == ["aio"]:
        asyncio.run(aio_relay(sys.argv[2]))
    elif sys.argv[1:2] == ["h2"]:
        asyncio.run(h2_relay(sys.argv[2]))
    elif sys.argv[1:2] == ["client"]:
        asyncio.run(client(sys.argv[2], *map(int, sys.argv[3:6])))
    else:
        parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
        parser.add_argument("--calls", type=int, default=4000, help="calls a measurement")
        parser.add_argument("--json", action="store_true")
        arguments = parser.parse_args()
        asyncio.run(main(arguments.calls, arguments.json))

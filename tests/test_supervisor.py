"""An agent on several cores with real processes, which are killed, stopped, hung or restarted."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import grpc
import pytest
from peers import ISSUE, ROOT, VIEW, Client, Process, answer, nothing, settings
from test_calls import sockets
from test_processes import end, world

from cartweir.proto import agent_pb2 as pb
from cartweir.standin.registry import Registry

CORES = "cores = 3"


def pids(process):
    """Returns the ids of the present child processes, by their numbers."""
    found = {int(number): pid for number, pid in process.of("started")[0]["parts"].items()}
    for line in process.of("part_started"):
        found[line["part"]] = line["pid"]
    return found


def is_running(pid):
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] not in "ZX"
    except FileNotFoundError:
        return False


async def until_restarted(process, restarts):
    """Waits until that many children were restarted and all three workers have heard a decider."""
    while len(process.of("part_started")) < restarts or len(process.of("together")) < 3:
        await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def channels(address, count=6):
    """Opens `count` connections, which the workers share out among themselves."""
    options = [
        ("grpc.use_local_subchannel_pool", 1),
        ("grpc.min_reconnect_backoff_ms", 100),
        ("grpc.max_reconnect_backoff_ms", 200),
    ]
    open_channels = [grpc.aio.insecure_channel(address, options=options) for _ in range(count)]
    yield open_channels
    for channel in open_channels:
        await channel.close()


async def call_many(open_channels, path=VIEW, count=30):
    calls = [
        open_channels[n % len(open_channels)].unary_unary(path)(b"please", timeout=2, wait_for_ready=True)
        for n in range(count)
    ]
    return [await call.code() for call in calls]


@sockets
async def test_all_workers_share_one_address_one_registry_watch_and_one_identity(tmp_path):
    registry, appliances, process = await world(tmp_path, answer, answer, agent=CORES)
    async with channels(process.address) as open_channels:
        assert set(await call_many(open_channels)) == {grpc.StatusCode.OK}
    assert len(registry._watches) == 1
    assert {r["cartweir-agent"] for a in appliances for r in a.requests} == {"0"}
    dispatch_ids = [r["cartweir-dispatch"] for a in appliances for r in a.requests]
    assert len(set(dispatch_ids)) == 30
    assert await process.stop() == 0 and not any(is_running(pid) for pid in pids(process).values())
    end(registry, appliances)


@sockets
async def test_a_killed_worker_or_decider_is_restarted(tmp_path):
    registry, appliances, process = await world(tmp_path, answer, answer, agent=CORES)
    for restarts, number in enumerate((1, 0, 2, 3, 0, 0), 1):
        os.kill(pids(process)[number], signal.SIGKILL)
        await until_restarted(process, restarts)
        async with channels(process.address, 3) as open_channels:
            assert set(await call_many(open_channels, count=9)) == {grpc.StatusCode.OK}
    assert len(process.of("part_ended")) == 6 and not process.of("internal_error")
    assert await process.stop() == 0
    end(registry, appliances)


@sockets
async def test_restarting_each_process_under_traffic_fails_no_call(tmp_path):
    registry, appliances, process = await world(tmp_path, answer, answer, agent=CORES)
    codes, under_traffic = [], True

    async def traffic(channel):
        while under_traffic:
            codes.append(await channel.unary_unary(VIEW)(b"please", timeout=2, wait_for_ready=True).code())

    async with channels(process.address, 4) as open_channels:
        users = [asyncio.ensure_future(traffic(channel)) for channel in open_channels]
        for restarts, number in enumerate((1, 2, 3, 0), 1):
            codes_before = len(codes)
            os.kill(pids(process)[number], signal.SIGTERM)
            await until_restarted(process, restarts)
            while len(codes) < codes_before + 20:
                await asyncio.sleep(0.005)
        under_traffic = False
        await asyncio.gather(*users)
    assert set(codes) == {grpc.StatusCode.OK}
    assert [line["code"] for line in process.of("part_ended")] == [0, 0, 0, 0]
    assert await process.stop() == 0
    end(registry, appliances)


@sockets
async def test_a_stopped_worker_gets_no_dispatches_and_resumes_with_the_present_list(tmp_path):
    registry, appliances, process = await world(
        tmp_path, answer, answer, agent=CORES, appliances="drain_grace = 300ms"
    )
    async with channels(process.address, 9) as open_channels:
        assert set(await call_many(open_channels)) == {grpc.StatusCode.OK}
        worker_pid = pids(process)[2]
        os.kill(worker_pid, signal.SIGSTOP)
        held = [channel.unary_unary(VIEW)(b"please", timeout=5) for channel in open_channels]
        codes = [asyncio.ensure_future(call.code()) for call in held]
        done, waiting = await asyncio.wait(codes, timeout=1.5)
        assert done and {code.result() for code in done} == {grpc.StatusCode.OK}
        entry = pb.Entry(
            appliance="a0",
            address=next(iter(registry.entries.values())).address,
            build=1,
            run=1,
            state=pb.DRAINING,
        )
        registry.put(entry)
        await asyncio.sleep(1.0)  # longer than the drain grace
        requests_before = len(appliances[0].requests)
        os.kill(worker_pid, signal.SIGCONT)
        if waiting:
            await asyncio.wait(waiting)
        assert {code.result() for code in codes} <= {grpc.StatusCode.OK, grpc.StatusCode.RESOURCE_EXHAUSTED}
        # calls that the stopped worker left unanswered may have shut the other appliance out:
        # one call at a time until it answers
        for _ in range(100):
            if await open_channels[0].unary_unary(VIEW)(b"please", timeout=5).code() == grpc.StatusCode.OK:
                break
            assert any("shut a1" in line["text"] for line in process.of("decision"))
            await asyncio.sleep(0.05)
        assert set(await call_many(open_channels)) == {grpc.StatusCode.OK}
        assert len(appliances[0].requests) == requests_before and not process.of("part_hung")
    assert await process.stop() == 0
    end(registry, appliances)


@sockets
async def test_a_stopped_decider_delays_calls_only_briefly_and_is_killed(tmp_path):
    registry, appliances, process = await world(tmp_path, answer, answer, agent=CORES + "\nhang_time = 900ms")
    async with channels(process.address, 3) as open_channels:
        assert set(await call_many(open_channels)) == {grpc.StatusCode.OK}
        os.kill(pids(process)[0], signal.SIGSTOP)
        started_at = time.monotonic()
        assert set(await call_many(open_channels)) == {grpc.StatusCode.OK}
        assert time.monotonic() - started_at < 0.9 and len(process.of("alone")) >= 1
        await process.until("part_hung")
        await until_restarted(process, 1)
        assert process.of("part_hung")[0]["part"] == 0
        assert set(await call_many(open_channels)) == {grpc.StatusCode.OK}
    assert await process.stop() == 0
    end(registry, appliances)


@sockets
async def test_a_worker_on_a_busy_core_is_not_killed_and_calls_are_answered(tmp_path):
    """The worker shares its core with four busy loops: it is slow, but must not count as hung."""
    registry, appliances, process = await world(tmp_path, answer, answer, agent=CORES)
    core = sorted(os.sched_getaffinity(0))[0]
    worker_pid = pids(process)[1]
    os.sched_setaffinity(worker_pid, {core})
    busy_loops = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-c", f"import os; os.sched_setaffinity(0, {{{core}}})\nwhile True: pass"
        )
        for _ in range(4)
    ]
    try:
        async with channels(process.address, 6) as open_channels:
            # no more calls at once than the agent sends at once: none is throttled, fails or is late
            for _ in range(15):
                assert set(await call_many(open_channels, count=4)) == {grpc.StatusCode.OK}
            # sixty at once: calls that find no room in time are throttled, as on a free core, and
            # nothing else goes wrong
            codes = await call_many(open_channels, count=60)
            assert (
                set(codes) <= {grpc.StatusCode.OK, grpc.StatusCode.RESOURCE_EXHAUSTED}
                and codes.count(grpc.StatusCode.OK) >= 30
            ), codes
    finally:
        for busy_loop in busy_loops:
            busy_loop.kill()
            await busy_loop.wait()
    assert not process.of("part_hung") and await process.stop() == 0
    end(registry, appliances)


@sockets
async def test_time_that_a_connection_waited_to_be_accepted_counts_against_its_deadlines(tmp_path):
    """All workers die while the supervisor stands still, and calls wait in the listening socket's queue.

    New workers take them up half a second later. They cannot know how long the calls waited, but the kernel
    does: without its time, answers would arrive after the client's time is up.
    """
    registry, appliances, process = await world(tmp_path, answer, agent=CORES)
    process.process.send_signal(signal.SIGSTOP)
    for number, pid in pids(process).items():
        if number:
            os.kill(pid, signal.SIGKILL)
    client, started_at = await Client.connect(process.address), time.monotonic()
    expired, answered = client.call(ISSUE, timeout="300m"), client.call(ISSUE, timeout="1500m")
    await asyncio.sleep(0.5)
    process.process.send_signal(signal.SIGCONT)
    waited = time.monotonic() - started_at
    await asyncio.gather(expired.done.wait(), answered.done.wait())
    assert expired.tail["cartweir-answer"] in ("throttled", "terminated") and answered.status == "0"
    (sent,) = [request for request in appliances[0].requests if request[":path"] == ISSUE]
    # 10 ms of tolerance: the kernel's clock advances by some milliseconds at a time
    assert int(sent["grpc-timeout"][:-1]) <= 1_500_000 - waited * 1e6 + 10_000
    client.close()
    assert await process.stop() == 0
    end(registry, appliances)


HANGS = """
import sys, threading, time
from pathlib import Path
from tornado.ioloop import IOLoop
from cartweir.cores import process
from cartweir.cores.supervisor import Supervisor
from cartweir.settings.ini import read_agent

class Hangs(process.WorkerProcess):
    '''In its first generation, blocks its event loop 300 ms after the start while a thread runs on.'''
    def start_up(self):
        super().start_up()
        if self.config.number == 2 and self.config.generation == 1:
            threading.Thread(target=lambda: [time.sleep(0.01) for _ in range(10**6)], daemon=True).start()
            IOLoop.current().call_later(0.3, time.sleep, 1000)

process.WorkerProcess = Hangs
sys.exit(Supervisor(read_agent(Path(sys.argv[1]))).run())
"""


@sockets
async def test_a_blocked_event_loop_is_detected_while_a_thread_of_the_process_runs(tmp_path):
    registry = Registry()
    file = settings(
        tmp_path, registry.listen_on("127.0.0.1:0"), "127.0.0.1:9", agent=CORES + "\nhang_time = 500ms"
    )
    script = tmp_path / "hangs.py"
    script.write_text(HANGS)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(script),
        str(file),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    events = []
    while "part_started" not in events:
        line = json.loads(await process.stderr.readline())
        events.append(line["event"])
        if line["event"] in ("part_hung", "part_started"):
            assert line["part"] == 2
    assert "part_hung" in events
    process.send_signal(signal.SIGTERM)
    await process.stderr.read()
    assert await process.wait() == 0
    registry.shutdown()


@sockets
async def test_a_killed_agent_leaves_no_process_and_no_shared_memory(tmp_path):
    """A stopped worker must end as well: its copy of the listening socket would keep the port in use."""
    registry, appliances, process = await world(tmp_path, answer, agent=CORES)
    children, names = pids(process), set(os.listdir("/dev/shm")) if os.path.isdir("/dev/shm") else set()
    os.kill(children[3], signal.SIGSTOP)
    process.process.kill()
    await process.process.wait()
    while any(is_running(pid) for pid in children.values()):
        await asyncio.sleep(0.005)
    assert (set(os.listdir("/dev/shm")) if os.path.isdir("/dev/shm") else set()) <= names
    new_process = await Process.start(
        settings(
            tmp_path,
            registry.listen_on("127.0.0.1:0") if not registry._sockets else f"127.0.0.1:{registry.port}",
            "127.0.0.1:9",
            agent=CORES,
        ).with_suffix(".ini")
    )
    await new_process.until("list")
    async with channels(new_process.address, 2) as open_channels:
        assert set(await call_many(open_channels, count=4)) == {grpc.StatusCode.OK}
    assert await new_process.stop() == 0
    end(registry, appliances)


@sockets
async def test_sigterm_drains_all_workers_and_a_second_one_answers_all_open_calls(tmp_path):
    registry, appliances, process = await world(tmp_path, nothing, agent=CORES)
    async with channels(process.address, 2) as open_channels:
        calls = [
            channel.unary_unary(ISSUE if n % 2 else VIEW)(b"please", timeout=8)
            for n, channel in enumerate(open_channels)
        ]
        codes = [asyncio.ensure_future(call.code()) for call in calls]
        while len(appliances[0].requests) < 2:
            await asyncio.sleep(0.005)
        process.process.send_signal(signal.SIGTERM)
        await process.until("draining")
        await asyncio.sleep(0.2)
        assert not any(code.done() for code in codes)
        process.process.send_signal(signal.SIGTERM)
        final_codes = await asyncio.gather(*codes)
        assert grpc.StatusCode.UNKNOWN in final_codes and set(final_codes) <= {
            grpc.StatusCode.UNKNOWN,
            grpc.StatusCode.RESOURCE_EXHAUSTED,
        }
    assert await process.process.wait() == 0
    end(registry, appliances)


@pytest.mark.parametrize(
    "text, message",
    [
        ("cores = 0", "[agent] cores = 0"),
        ("cores = many", "whole number from 1 to 64, or auto is due"),
        ("cores = 65", "64"),
    ],
)
def test_a_bad_number_of_cores_is_reported(tmp_path, text, message):
    file = settings(tmp_path, "127.0.0.1:9", "127.0.0.1:9", agent=text)
    done = subprocess.run(
        [sys.executable, "-m", "cartweir", "agent", "-s", str(file)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2 and message in done.stderr and "Traceback" not in done.stderr


def test_a_port_in_use_is_reported(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        file = settings(tmp_path, "127.0.0.1:9", "127.0.0.1:9", agent=CORES)
        file.write_text(file.read_text().replace("listen = 127.0.0.1:0", f"listen = 127.0.0.1:{port}"))
        done = subprocess.run(
            [sys.executable, "-m", "cartweir", "agent", "-s", str(file)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
    assert done.returncode == 1 and "is due" in done.stderr and "Traceback" not in done.stderr

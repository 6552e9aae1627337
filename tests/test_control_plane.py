"""Clients of the control plane on sockets: a list that must be asked for, peers' messages, alarms, files."""

from __future__ import annotations

import asyncio
import errno
import os
import random

from peers import ISSUE, VIEW, Client, Log, answer, rig, settings
from test_calls import ask, sockets
from test_processes import Offering

from cartweir.agent import control_plane
from cartweir.agent.control_plane import ConveyorClient, PersistentFence, write_atomically
from cartweir.agent.daemon import Daemon
from cartweir.agent.grpc_mapping import load_of
from cartweir.fleet.fencing import FencingToken
from cartweir.hosting.backoff import Backoff
from cartweir.proto import agent_pb2 as pb
from cartweir.proto import orca_pb2
from cartweir.settings.ini import read_agent
from cartweir.wire import grpc
from cartweir.wire.calls import CallError, Channel


@sockets
async def test_a_list_that_must_be_asked_for_is_asked_for_again(tmp_path):
    async with rig(tmp_path, answer, ask=True) as it:
        assert (await ask(it, ISSUE)).status == "0"
        it.registry.fail(True)
        await it.log.next("registry_lost")
        assert (await ask(it, ISSUE)).status == "0"  # the agent goes on with the list it has
        late = await it.add(answer)
        it.registry.fail(False)
        await it.log.next("list")
        while not late.requests:
            assert (await ask(it)).status == "0"


@sockets
async def test_counts_of_one_agent_reach_the_other(tmp_path):
    """Two agents that may exchange messages: what one has seen of the trial is sent to the other."""
    conveyor = Offering(
        lambda count, request: pb.Verdict(answer=pb.Verdict.OK, stage=conveyor.word).SerializeToString()
    )
    where = conveyor.listen_on("127.0.0.1:0")
    free = [Offering(None), Offering(None)]  # reserve ports for the agents
    ports = [one.listen_on("127.0.0.1:0") for one in free]
    for one in free:
        one.shutdown()
    async with rig(tmp_path, answer, answer, answer) as it:
        await it.add(answer, build=2)
        daemons, received, logs = [], {0: [], 1: []}, []
        for me in (0, 1):
            folder = tmp_path / str(me)
            folder.mkdir()
            registry = f"127.0.0.1:{it.registry.port}"
            file = settings(
                folder, registry, where, agent=f"me = {me}\nagents = 2", allowed="may_message = yes"
            )
            file.write_text(
                file.read_text().replace("listen = 127.0.0.1:0", f"listen = {ports[me]}")
                + f"[peers]\n{1 - me} = {ports[1 - me]}\n"
            )
            logs.append(Log())
            daemon = Daemon(read_agent(file), logs[-1])
            receive = daemon.engine_host.receive_message
            daemon.engine_host.receive_message = lambda sender, figures, me=me, receive=receive: (
                received[me].append((sender, figures)),
                receive(sender, figures),
            )
            ready = [asyncio.ensure_future(logs[-1].next(event)) for event in ("list", "stage")]
            daemon.start_up()
            await asyncio.gather(*ready)
            daemons.append(daemon)
        clients = [await Client.connect(port) for port in ports]
        while not (received[0] and received[1]):
            calls = [client.call(VIEW) for client in clients for _ in range(2)]
            await asyncio.gather(*(got.done.wait() for got in calls))
        for me in (0, 1):
            for sender, figures in received[me]:
                assert sender == 1 - me and len(figures) in (13, 14) and figures[-13] == 2
        with_garbage = Channel(ports[0], 1_000_000)
        try:
            await with_garbage.unary("/cartweir.v1.Peer/Tell", b"\xff\xff", 1_000_000)
            raise AssertionError("garbage was taken")
        except CallError as error:
            assert error.status == 3
        with_garbage.close()
        for client in clients:
            client.close()
        for daemon in daemons:
            daemon.front.drain()
            daemon._end()
    conveyor.shutdown()


@sockets
async def test_a_loop_timer_that_fires_a_microsecond_early_loses_no_alarm(tmp_path):
    """The engine asks for one alarm at a time: if it counts as run before it is due, no timer fires again."""
    async with rig(tmp_path, answer) as it:
        daemon, fired, real = it.daemon, asyncio.Event(), it.daemon.clock.now
        due = real() + 20_000
        daemon.engine_host.engine.call_at(due, fired.set)
        alarms, early = daemon.alarms, []
        fire = alarms._fire

        def first_early():
            if alarms._next[0] == due and not early:
                early.append(True)
                alarms.now = lambda: due - 1
                fire()
                alarms.now = real
            else:
                fire()

        daemon.loop.remove_timeout(alarms._next[1])
        alarms._fire, alarms._next, alarms._dues = first_early, None, []
        daemon.schedule_alarm(due)
        await asyncio.wait_for(fired.wait(), 5)
        assert early


@sockets
async def test_an_alarm_whose_timers_an_event_has_already_run_does_not_cancel_the_next(tmp_path):
    async with rig(tmp_path, answer) as it:
        engine, now, fired = it.daemon.engine_host.engine, it.daemon.clock.now(), asyncio.Event()
        engine.call_at(now + 1000, lambda: engine.call_at(now + 40_000, fired.set))
        while it.daemon.clock.now() < now + 1000:
            pass
        it.daemon.engine_host.catch_up()  # an event is handled before the alarm fires
        await asyncio.wait_for(fired.wait(), 5)


def test_the_load_is_read_from_the_orca_trailer():
    report = orca_pb2.OrcaLoadReport(
        cpu_utilization=0.5,
        rps_fractional=20,
        named_metrics={"inflight": 3, "queue": 2, "mean_ms": 90, "other": 1},
    )
    trailer = [(b"endpoint-load-metrics-bin", grpc.encode_binary(report.SerializeToString()))]
    assert load_of(trailer) == {"util": 0.5, "rate": 20, "inflight": 3, "queue": 2, "mean_ms": 90}
    assert load_of([]) is None and load_of([(b"endpoint-load-metrics-bin", b"!")]) is None


def test_a_file_that_has_been_replaced_is_on_disk(tmp_path, monkeypatch):
    """The new text is synced beside the old one, put in its place, and the folder is synced, in this order.

    Otherwise a machine that goes down may come back with the old text, and an agent with a decision that is
    older than the one it followed.
    """
    done, sync, replace = [], os.fsync, os.replace
    monkeypatch.setattr(
        os,
        "fsync",
        lambda file: (done.append(os.path.basename(os.readlink(f"/proc/self/fd/{file}"))), sync(file)),
    )
    monkeypatch.setattr(os, "replace", lambda a, b: (done.append("replaced"), replace(a, b)))
    (folder := tmp_path / "kept").mkdir()
    write_atomically(folder / "stage", "new")
    assert done == ["stage.part", "replaced", "kept"] and (folder / "stage").read_text() == "new"


class WaitingChannel:
    """Delivers one message once it is told to, and nothing after it."""

    address = "127.0.0.1:1"

    def __init__(self):
        self.deliver = asyncio.get_running_loop().create_future()

    async def stream(self, path, message, metadata=()):
        yield await self.deliver
        await asyncio.get_running_loop().create_future()

    def close(self):
        pass


@sockets
async def test_a_subscription_that_is_ended_as_its_first_message_comes_ends():
    """asyncio.wait_for swallowed the cancellation, and the process did not end."""
    channel = WaitingChannel()
    client = ConveyorClient(
        None,
        [channel, WaitingChannel()],
        pb.Hello(agent=1),
        1_000_000,
        60_000_000,
        Backoff(1_000, 2_000, random.Random(1)),
        Log(),
        lambda: 0,
        None,
        random.Random(1),
    )
    client._current = 0
    client.start()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    channel.deliver.set_result(pb.Word().SerializeToString())
    await asyncio.sleep(0)
    client.stop()
    await asyncio.wait([client._listener], timeout=1)
    assert client._listener.done()


@sockets
async def test_a_stage_whose_file_could_not_be_written_is_written_with_its_next_message(
    tmp_path, monkeypatch
):
    """It counted as kept, and a restarted agent followed an older decision."""
    path, full = tmp_path / "stage", True

    def write(where, text):
        if full:
            raise OSError(errno.ENOSPC, "no space left")
        write_atomically(where, text)

    monkeypatch.setattr(control_plane, "write_atomically", write)
    fence = PersistentFence(str(path), lambda event, **fields: None)
    assert await fence.try_follow(FencingToken(2, 5)) and not path.exists()
    full = False
    assert await fence.try_follow(FencingToken(2, 5))
    assert PersistentFence(str(path), lambda event, **fields: None).fence.seen == FencingToken(2, 5)

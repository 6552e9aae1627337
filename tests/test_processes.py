"""An agent as a process of its own.

Signals, a stopped process, no more file descriptors, a port in use, and a control plane that fails.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import grpc
import pytest
from peers import ISSUE, ROOT, VIEW, Appliance, Client, Process, answer, nothing, rig, settings
from test_calls import ask, sockets

from cartweir.proto import agent_pb2 as pb
from cartweir.standin.registry import Registry
from cartweir.wire.calls import Service


async def world(folder, *acts, before=(), conveyor="127.0.0.1:9", **more):
    """Starts a registry and appliances in this process, and an agent in its own."""
    registry, appliances = Registry(), []
    address = registry.listen_on("127.0.0.1:0")
    for number, act in enumerate(acts):
        appliances.append(appliance := Appliance(act))
        registry.put(pb.Entry(appliance=f"a{number}", address=await appliance.listen(), build=1, run=1))
    process = await Process.start(settings(folder, address, conveyor, **more), *before)
    await process.until("list")
    return registry, appliances, process


def end(registry, appliances):
    registry.shutdown()
    for appliance in appliances:
        appliance.close()


@sockets
async def test_the_first_sigterm_lets_open_calls_end_and_accepts_no_more(tmp_path):
    go = asyncio.Event()

    async def answer_later(appliance, peer, stream, number):
        await go.wait()
        answer(appliance, peer, stream, number)
        peer.write()

    registry, appliances, process = await world(tmp_path, answer_later)
    async with grpc.aio.insecure_channel(process.address) as channel:
        held = asyncio.ensure_future(channel.unary_unary(VIEW)(b"please", timeout=2))
        await appliances[0].asked.wait()
        process.process.send_signal(signal.SIGTERM)
        await process.until("draining")
        with pytest.raises(grpc.aio.AioRpcError) as error:
            await channel.unary_unary(VIEW)(b"please", timeout=2)
        assert error.value.code() == grpc.StatusCode.UNAVAILABLE
        go.set()
        assert await held == b"fine" and len(appliances[0].requests) == 1
    assert await process.process.wait() == 0 and process.of("stopped")
    end(registry, appliances)


@sockets
async def test_the_second_sigterm_answers_open_calls_at_once(tmp_path):
    registry, appliances, process = await world(tmp_path, nothing)
    async with grpc.aio.insecure_channel(process.address) as channel:
        view, issue = (channel.unary_unary(path)(b"please", timeout=2) for path in (VIEW, ISSUE))
        ends = [asyncio.ensure_future(call.code()) for call in (view, issue)]
        while len(appliances[0].requests) < 2:
            await asyncio.sleep(0.005)
        process.process.send_signal(signal.SIGTERM)
        await process.until("draining")
        process.process.send_signal(signal.SIGTERM)
        await asyncio.gather(*ends)
        answers = [dict(await call.trailing_metadata())["cartweir-answer"] for call in (view, issue)]
        assert answers == ["throttled", "terminated"]
    assert await process.process.wait() == 0
    end(registry, appliances)


@sockets
async def test_time_left_is_right_at_the_first_event_after_a_stop(tmp_path):
    """The process is stopped for 500 ms with calls in its socket.

    Calls whose time has run out are not begun, and those with some time left are dispatched with no more than
    that.
    """
    registry, appliances, process = await world(tmp_path, answer, answer)
    client = await Client.connect(process.address)
    first = client.call(VIEW)
    await first.done.wait()
    process.process.send_signal(signal.SIGSTOP)
    while Path(f"/proc/{process.process.pid}/stat").read_text().rpartition(")")[2].split()[0] != "T":
        pass
    stopped = time.monotonic()
    expired, alive = client.call(ISSUE, timeout="300m"), client.call(ISSUE, timeout="900m")
    await asyncio.sleep(0.5)
    process.process.send_signal(signal.SIGCONT)
    slept = time.monotonic() - stopped
    await asyncio.gather(expired.done.wait(), alive.done.wait())
    assert expired.tail["cartweir-answer"] in ("throttled", "terminated") and alive.status == "0"
    sent = [request for a in appliances for request in a.requests]
    budgets = sorted(int(request["grpc-timeout"][:-1]) for request in sent if request[":path"] == ISSUE)
    assert budgets[-1] <= 900_000 - slept * 1e6 + 1000 and all(b <= 1000 for b in budgets[:-1])
    assert process.of("stalled")
    assert await process.stop() == 0
    end(registry, appliances)


@sockets
async def test_clients_wait_in_the_queue_while_there_are_no_file_descriptors(tmp_path):
    registry, appliances, process = await world(tmp_path, answer, before=("prlimit", "--nofile=40:40"))
    clients = [await Client.connect(process.address) for _ in range(45)]
    await process.until("accept_short")
    logged = process.of("accept_short")
    assert len(logged) == 1 and "ulimit" in logged[0]["due"]
    accepted = clients[: logged[0]["connections"]]
    for client in accepted[:5]:
        got = client.call(VIEW)
        await got.done.wait()
        assert got.ends == 1 and got.status in ("0", "8")
    for client in accepted[5:]:
        client.close()
    got = clients[-1].call(VIEW)  # it has waited in the socket's queue
    await got.done.wait()
    assert got.ends == 1 and process.of("accept_again")
    assert await process.stop() == 0
    end(registry, appliances)


@sockets
async def test_a_port_in_use_ends_the_agent_with_a_message(tmp_path):
    registry, appliances, process = await world(tmp_path, answer)
    file = settings(tmp_path, "127.0.0.1:9", "127.0.0.1:9")
    file.write_text(file.read_text().replace("listen = 127.0.0.1:0", f"listen = {process.address}"))
    done = subprocess.run(
        [sys.executable, "-m", "cartweir", "agent", "--settings", file],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=20,
        check=False,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    assert done.returncode == 1 and "Traceback" not in done.stderr
    assert process.address in done.stderr and "in use" in done.stderr and "is due" in done.stderr
    assert await process.stop() == 0
    end(registry, appliances)


# ---- the control plane fails ----
@sockets
async def test_calls_go_on_with_the_list_on_disk_while_the_registry_is_gone(tmp_path):
    """Without any list calls are throttled; with a list on disk they go on, also at the next start."""
    kept = tmp_path / "kept.list"
    gone = settings(tmp_path, "127.0.0.1:9", "127.0.0.1:9", agent=f"list_file = {kept}")
    process = await Process.start(gone)
    client = await Client.connect(process.address)
    got = client.call(ISSUE, timeout="500m")
    await got.done.wait()
    assert got.tail["cartweir-answer"] == "throttled"
    assert await process.stop() == 0

    registry, appliances, process = await world(tmp_path, answer, agent=f"list_file = {kept}")
    while not kept.exists():
        await asyncio.sleep(0.005)
    registry.shutdown()
    await process.until("registry_lost")
    client = await Client.connect(process.address)
    got = client.call(ISSUE)
    await got.done.wait()
    assert got.status == "0"
    assert await process.stop() == 0

    process = await Process.start(
        settings(tmp_path, "127.0.0.1:9", "127.0.0.1:9", agent=f"list_file = {kept}")
    )
    client = await Client.connect(process.address)
    got = client.call(ISSUE)
    await got.done.wait()
    assert got.status == "0" and process.of("list_from_disk")[0]["appliances"] == 1
    assert await process.stop() == 0

    kept.write_text(kept.read_text()[:40])  # cut short
    process = await Process.start(
        settings(tmp_path, "127.0.0.1:9", "127.0.0.1:9", agent=f"list_file = {kept}")
    )
    assert process.of("list_file_bad") and await process.stop() == 0
    end(registry, appliances)


class Offering(Service):
    """A conveyor that has build 2 on trial, and answers votes by a given function."""

    def __init__(self, do):
        super().__init__()
        self.votes, self.word = [], pb.Stage(build=2, number=0, phase=pb.ON_TRIAL, cap=0.2)
        self.handlers["/cartweir.v1.Conveyor/News"] = self._news
        self.handlers["/cartweir.v1.Conveyor/Vote"] = self._vote
        self.do = do

    async def _news(self, request):
        request.send(pb.Word(stage=self.word).SerializeToString())

    async def _vote(self, request):
        self.votes.append(pb.Ballot.FromString(request.message))
        return self.do(len(self.votes), request)


async def until_voted(it, conveyor, count):
    """Sends calls until so many votes have been cast; returns them."""
    while len(conveyor.votes) < count:
        calls = [it.clients[0].call(VIEW) for _ in range(4)]
        await asyncio.gather(*(got.done.wait() for got in calls))
    return [(v.build, v.stage, pb.Choice.Name(v.choice)) for v in conveyor.votes]


def bad(appliance, peer, stream, number):
    peer.h2.send_headers(
        stream,
        [(":status", "200"), ("content-type", "application/grpc"), ("grpc-status", "13")],
        end_stream=True,
    )


@sockets
async def test_a_vote_that_is_refused_or_gets_no_answer_is_cast_again(tmp_path):
    def full(count, request):
        verdict = pb.Verdict(answer=pb.Verdict.FULL if count == 1 else pb.Verdict.OK, stage=conveyor.word)
        return verdict.SerializeToString()

    def never(count, request):
        return None

    def hang_up(count, request):
        request.connection.close("gone")

    for do, answers, votes in ((full, ["full", "ok"], 2), (never, ["timeout"], 2), (hang_up, ["error"], 2)):
        conveyor = Offering(do)
        address = conveyor.listen_on("127.0.0.1:0")
        async with rig(tmp_path, answer, answer, answer, conveyor=address) as it:
            if not it.log.of("stage"):
                await it.log.next("stage")
            listed = asyncio.ensure_future(it.log.next("list"))
            await it.add(bad, build=2)
            await listed
            await it.client()
            # the vote is cast once more where it was refused or lost
            assert await until_voted(it, conveyor, votes) == [(2, 0, "BACK")] * votes
            while len(it.log.of("vote")) < len(answers):
                await it.log.next("vote")
            assert [line["answer"] for line in it.log.of("vote")][: len(answers)] == answers
            assert (await ask(it)).ends == 1
        conveyor.shutdown()


@sockets
async def test_an_agent_that_was_killed_follows_no_older_decision_of_another_controller(tmp_path):
    """The first controller has sent decision 9 of epoch 7; the second one sends older ones.

    It lags behind, or has owned the release before.
    """
    sent = []

    def controller(*stamps):
        service = Service()

        async def news(request):
            for epoch, index, cap in stamps:
                stage = pb.Stage(build=2, number=0, phase=pb.ON_TRIAL, cap=cap, epoch=epoch, index=index)
                request.send(pb.Word(stage=stage).SerializeToString())
            sent.append(stamps)

        service.handlers["/cartweir.v1.Conveyor/News"] = news
        return service, service.listen_on("127.0.0.1:0")

    first, address = controller((7, 8, 0.2), (7, 9, 0.3))
    keep = {"agent": f"stage_file = {tmp_path / 'stage'}"}
    registry, appliances, process = await world(tmp_path, answer, conveyor=address, **keep)
    while len(process.of("stage")) < 2:
        await asyncio.sleep(0.005)
    await process.stop(signal.SIGKILL)
    assert not process.of("stage_late")
    second, other = controller((7, 8, 0.9), (3, 99, 0.9), (7, 9, 0.3))
    registry2, appliances2, again = await world(tmp_path, answer, conveyor=other, **keep)
    while len(again.of("stage_late")) < 2 or not again.of("stage"):
        await asyncio.sleep(0.005)
    assert [(line["epoch"], line["index"]) for line in again.of("stage_late")] == [(7, 8), (3, 99)]
    assert [line["cap"] for line in again.of("stage")] == [0.3]
    await again.stop()
    for service in (first, second):
        service.shutdown()
    end(registry, appliances)
    end(registry2, appliances2)

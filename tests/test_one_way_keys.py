"""One-way keys while answers get lost: a key that the new build has answered goes to no earlier build."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import peers
import pytest
from helpers import MS, S, Scene
from hypothesis import given, settings
from hypothesis import strategies as st
from node_harness import Appliance, HoldingAppliance, entry, request_bytes, running_node
from peers import VIEW, answer, head, large, nothing, rig, tail
from test_calls import sockets
from test_processes import Offering
from worker_harness import run_agent, until

from cartweir.interface import ERROR, RELEASED, RESET, SUCCEEDED, Dispatch
from cartweir.proto import agent_pb2 as pb

COUNTS_AFTER = 150 * MS  # a key counts as answered from then, whether or not the answer could be read
NEWS = {"build": 2, "stage": 1, "phase": "testing", "cap": 1.0, "age_ms": 0}


@dataclass(frozen=True)
class Fate:
    """What becomes of a dispatch to the new build.

    Attributes:
        work: When the answer is written, from the dispatch on.
        result: What the agent sees; None: nothing, as the answer gets lost.
    """

    work: int
    result: str | None


@dataclass
class LossyScene(Scene):
    """A scene whose new build answers by drawn fates; notes each key that goes back after its answer."""

    fates: list[Fate] = field(default_factory=list)

    def __post_init__(self) -> None:
        Scene.__init__(self, one_way=True, may_duplicate=True, free=3.0, caps=(0.5, 0.5, 1.0))
        self.quiet = True
        self.answered: dict[str, int] = {}
        self.went_back: list[str] = []

    def dispatch(self, dispatch: Dispatch) -> None:
        super().dispatch(dispatch)
        key, now = dispatch.invocation.key, self.engine.now
        if dispatch.appliance.build == 1:
            answered = self.answered.get(key)
            if answered is not None and now > answered + COUNTS_AFTER:
                self.went_back.append(f"{key} at {now / S:.3f}, answered at {answered / S:.3f}")
            self.engine.call_at(now + 60 * MS, lambda: self.finish(dispatch, SUCCEEDED))
            return
        fate = self.fates.pop() if self.fates else Fate(50 * MS, SUCCEEDED)
        self.engine.call_at(now + fate.work, lambda: self.finish(dispatch, fate.result))
        self.engine.call_at(now + dispatch.timeout, lambda: self.finish(dispatch, "timeout"))

    def finish(self, dispatch: Dispatch, result: str | None) -> None:
        if dispatch.appliance.build == 2 and result in (None, SUCCEEDED, RESET):
            self.answered.setdefault(dispatch.invocation.key, self.engine.now)
        if result is not None and dispatch in self.out:
            self.end(dispatch, result)


FATES = st.builds(Fate, st.integers(1 * MS, 700 * MS), st.sampled_from((SUCCEEDED, None, None, RESET, ERROR)))
REQUESTS = st.tuples(st.integers(1 * MS, 300 * MS), st.integers(0, 5))


@settings(max_examples=150, derandomize=True, deadline=None, database=None)
@given(
    st.lists(FATES, max_size=30),
    st.lists(REQUESTS, min_size=10, max_size=60),
    st.booleans(),
    st.booleans(),
)
def test_a_key_whose_answer_got_lost_went_back_to_the_earlier_build(fates, requests, announced, released):
    """Guards against a key that is sent to the earlier build while its dispatch to the new one is out."""
    scene = LossyScene(fates)
    scene.list("old0", "old1", "old2")
    scene.list("new0", "new1", build=2)
    scene.released()
    if announced:
        scene.stage(2, 1, 0.5)
    for number, (gap, key) in enumerate(requests):
        scene.pass_to(scene.engine.now + gap)
        if released and number == len(requests) // 2:
            scene.stage(2, 2, 1.0, RELEASED)
        scene.take(scene.draw, key=f"k{key}")
    scene.pass_to(scene.engine.now + 4 * S)
    assert not scene.went_back


def test_a_key_answered_by_a_build_without_news_went_back_to_the_released_one():
    """Guards against the released build being taken for the newest one that can have answered a key."""
    scene = Scene(one_way=True, free=5.0, caps=(1.0, 1.0, 1.0))
    scene.released()
    scene.list("next", build=2)
    scene.take(scene.draw, key="k")
    scene.pass_to(50 * MS)
    scene.end(scene.out[0])
    scene.list("old0", "old1", "old2")
    for _ in range(10):
        scene.pass_to(scene.engine.now + S)
        scene.take(scene.draw, key="k")
        assert {dispatch.appliance.id for dispatch in scene.out} <= {"next"}
        for dispatch in list(scene.out):
            scene.end(dispatch)


def test_a_key_out_at_a_build_that_is_not_announced_yet_goes_to_no_earlier_one():
    """The same for a build of which the agent has no news, while the one before it is released."""
    scene = Scene(one_way=True, free=5.0, caps=(1.0, 1.0, 1.0))
    scene.released()
    scene.list("next", build=2)
    scene.take(scene.draw, key="k")
    scene.list("old")
    scene.take(scene.draw, key="k")
    assert {dispatch.appliance.id for dispatch in scene.out} == {"next"}


def test_the_trial_gets_its_part_where_few_keys_are_all_there_is():
    """A key that comes too often for the trial's part waits for a rarer one, but not for ever."""
    scene = Scene(one_way=True, free=2.0)
    scene.list("old0", "old1", "old2")
    scene.list("new0", build=2)
    scene.stage(2, 1, 0.4)
    for number in range(100):
        scene.pass_to(scene.engine.now + 20 * MS)
        scene.take(scene.draw, key=("a", "b")[number % 2])
        for dispatch in list(scene.out):
            scene.end(dispatch)
    assert scene.agent.bound_keys


# ---- the same on sockets, in every host ----
@sockets
async def test_node_sends_no_second_copy_to_the_earlier_build_while_the_first_is_out():
    new, old = HoldingAppliance(), Appliance()
    async with running_node(new, news=NEWS, mayDuplicate=True) as node:
        await node.wait_for_event("list")
        node.discovery.send_delta(entry("s0", new, release=2))
        agent = node.daemon.engine_host.engine.agent
        await until(lambda: [appliance.build for appliance in agent.fleet] == [2])
        client = await node.client()
        first = asyncio.ensure_future(client.exchange(request_bytes("a", X_Route_Key="k", X_Timeout="900m")))
        await new.wait_for_requests(1)
        await old.start()
        node.discovery.send_delta(entry("s1", old))
        await until(lambda: len(agent.fleet) == 2)
        second = await node.client()
        await second.exchange(request_bytes("b", X_Route_Key="k", X_Timeout="300m"))
        await first
        assert not old.requests
    old.stop()


@sockets
async def test_grpc_agent_keeps_a_key_from_the_earlier_build_while_it_is_out(tmp_path, monkeypatch):
    monkeypatch.setattr(peers, "SETTINGS", peers.SETTINGS.replace("[release]", "[release]\none_way = yes"))
    conveyor = Offering(None)
    conveyor.word.cap = 1.0
    async with rig(tmp_path, conveyor=conveyor.listen_on("127.0.0.1:0"), allowed="may_duplicate = yes") as it:
        agent = it.daemon.engine_host.engine.agent
        new = await it.add(nothing, build=2)
        await until(lambda: agent.stage is not None and len(agent.fleet) == 1)
        client = await it.client()
        first = client.call(VIEW, cartweir_key="k", timeout="900m")
        await new.asked.wait()
        old = await it.add(answer)
        await until(lambda: len(agent.fleet) == 2)
        second = client.call(VIEW, cartweir_key="k", timeout="300m")
        await asyncio.gather(first.done.wait(), second.done.wait())
        assert not old.requests
    conveyor.shutdown()


@sockets
async def test_workers_keep_a_key_from_the_earlier_build_while_it_is_out(tmp_path, monkeypatch):
    monkeypatch.setattr(peers, "SETTINGS", peers.SETTINGS.replace("[release]", "[release]\none_way = yes"))
    trial = (2, 0, pb.ON_TRIAL, 1.0)
    async with run_agent(tmp_path, (nothing, 2), stage=trial, allowed="may_duplicate = yes") as agent:
        first = (await agent.connect_client(1)).call(VIEW, cartweir_key="k", timeout="900m")
        await agent.appliances[0].asked.wait()
        old = await agent.add_appliance(answer)
        await until(lambda: len(agent.decider.engine_host.engine.agent.fleet) == 2)
        second = (await agent.connect_client(2)).call(VIEW, cartweir_key="k", timeout="300m")
        await asyncio.gather(first.done.wait(), second.done.wait())
        assert not old.requests


def cut_short(who, peer, stream, number):
    """Answers with a message that ends before its length."""
    head(peer, stream)
    peer.h2.send_data(stream, b"\0\0\0\0\x40only this")
    tail(peer, stream)


@pytest.mark.parametrize("act", [large(4_096), cut_short], ids=["too long", "cut"])
@sockets
async def test_grpc_agent_binds_a_key_whose_answer_it_could_not_take(act, tmp_path, monkeypatch):
    """Guards against a good answer that is too long, or cut, counting as an error: its key went back."""
    monkeypatch.setattr(peers, "SETTINGS", peers.SETTINGS.replace("[release]", "[release]\none_way = yes"))
    conveyor = Offering(None)
    conveyor.word.cap = 1.0
    address = conveyor.listen_on("127.0.0.1:0")
    async with rig(tmp_path, conveyor=address, wire="answer = 1KiB\nhold = 1KiB") as it:
        agent = it.daemon.engine_host.engine.agent
        await it.add(act, build=2)
        await until(lambda: agent.stage is not None and len(agent.fleet) == 1)
        client = await it.client()
        await client.call(VIEW, cartweir_key="k", timeout="900m").done.wait()
        assert "k" in agent.bound_keys
        old = await it.add(answer)
        await until(lambda: len(agent.fleet) == 2)
        await client.call(VIEW, cartweir_key="k", timeout="300m").done.wait()
        assert not old.requests
    conveyor.shutdown()

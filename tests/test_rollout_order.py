"""Messages on a roll-out that arrive out of order: an earlier state must not undo the one told last."""

from __future__ import annotations

import asyncio
import json
from typing import NamedTuple

from helpers import MS, S, Scene
from hypothesis import given, settings
from hypothesis import strategies as st
from node_harness import Appliance, entry, request_bytes, running_node
from peers import VIEW, answer, rig
from test_calls import ask, sockets
from test_processes import Offering
from worker_harness import run_agent, until

from cartweir.interface import BACK, GOING_BACK, ON, ON_TRIAL, RELEASED, WITHDRAWN, Stage
from cartweir.logic.rollout_order import MAX_MESSAGE_DELAY
from cartweir.proto import agent_pb2 as pb

CAPS = (0.1, 0.4, 1.0)
MAX_DELAY = 3 * S  # of a message on its way
NEWS = {"build": 2, "stage": 1, "phase": "testing", "cap": 1.0, "age_ms": 0}
SENT_BACK = {"build": 2, "stage": 1, "phase": "recalling", "cap": 0.0, "age_ms": 0}


class Told(NamedTuple):
    """A message: when it arrives, the number of the state that it tells, and whether it answers a vote."""

    at: int
    number: int
    stage: Stage


def next_stages(stage: Stage) -> list[Stage]:
    """Returns the states that may follow one."""
    build, number = stage.build, stage.number
    offered = [Stage(build + 1, 0, ON_TRIAL, CAPS[0], 0)]
    back = [Stage(build, number, GOING_BACK, cap, 0) for cap in (stage.cap, 0.0)]
    if stage.phase == ON_TRIAL:
        last = number + 1 == len(CAPS)
        on = Stage(build, number, RELEASED, 1.0, 0) if last else None
        return [on or Stage(build, number + 1, ON_TRIAL, CAPS[number + 1], 0), *back, *offered]
    if stage.phase == GOING_BACK:
        falls = [Stage(build, number, GOING_BACK, 0.0, 0)] if stage.cap else []
        return [*falls, Stage(build, number, WITHDRAWN, 0.0, 0)]
    return [*(back if stage.phase == RELEASED else ()), *offered]


@st.composite
def deliveries(draw: st.DrawFn) -> tuple[list[Stage], list[Told]]:
    """Draws the states of roll-outs, and messages on them with delays of their own."""
    stages, messages, began = [Stage(1, 2, RELEASED, 1.0, 0)], [], S
    for _ in range(draw(st.integers(1, 7))):
        ended = began + draw(st.integers(1 * MS, 4 * S))
        for _ in range(draw(st.integers(0, 3))):
            written = draw(st.integers(began, ended - 1))
            stage, vote_answer = stages[-1], draw(st.sampled_from((None, "ok")))
            told = Stage(stage.build, stage.number, stage.phase, stage.cap, written - began, vote_answer)
            messages.append(Told(written + draw(st.integers(0, MAX_DELAY)), len(stages) - 1, told))
        stages.append(draw(st.sampled_from(next_stages(stages[-1]))))
        began = ended
    return stages, sorted(messages, key=lambda told: told.at)


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(deliveries())
def test_a_late_message_on_an_earlier_state_undoes_no_later_one(drawn):
    """Guards against an answer to a vote that arrives behind newer news and brings a fallen cap back."""
    stages, messages = drawn
    scene, latest = Scene(one_way=True), -1
    for told in messages:
        scene.pass_to(told.at)
        followed = scene.agent.on_stage(told.stage)
        latest = max(latest, told.number)
        held = scene.agent.stage
        assert (held.identity, held.cap) == (stages[latest].identity, stages[latest].cap)
        assert followed == (told.number == latest) or stages[latest] == stages[told.number]


def test_keys_stay_bound_when_a_message_from_before_the_release_arrives_after_it():
    """Guards against keys that a released build has answered going back, as a late message unbound them."""
    scene = Scene(one_way=True, free=2.0)
    scene.list("old")
    scene.list("new", build=2)
    scene.stage(2, 2, 1.0)
    scene.stage(2, 2, 1.0, RELEASED)
    scene.stage(2, 2, 1.0, answer="ok")
    scene.take(scene.draw, key="any")
    assert [dispatch.appliance.id for dispatch in scene.out] == ["new"]


def test_a_release_service_that_itself_went_back_to_an_earlier_state_is_followed():
    """A message that is told again and again is no late one."""
    scene = Scene()
    scene.stage(2, 2, 1.0)
    scene.pass_to(MAX_MESSAGE_DELAY)
    scene.stage(2, 1, 0.4)
    assert scene.agent.stage.number == 2
    scene.pass_to(MAX_MESSAGE_DELAY + MS)
    scene.stage(2, 1, 0.4)
    assert scene.agent.stage.number == 1


# ---- the same on sockets, in every host ----
@sockets
async def test_node_sends_nothing_to_a_build_sent_back_after_a_late_answer_to_its_vote():
    old, new = Appliance(), Appliance()
    async with running_node(old, news=NEWS) as node:
        await node.wait_for_event("list")
        await new.start()
        node.discovery.send_delta(entry("s1", new, release=2))
        service, held = node.release_service, []
        service.vote = lambda call: held.append(call["id"]) or b""
        node.daemon.vote(2, 1, ON)
        await until(lambda: held)
        service.notify("news", **SENT_BACK)
        await until(lambda: node.daemon.engine_host.engine.agent.stage.phase == GOING_BACK)
        line = json.dumps({"jsonrpc": "2.0", "id": held[0], "result": {**NEWS, "age_ms": 9_000}})
        service.writers[-1].write(line.encode() + b"\n")
        await node.wait_for_event("vote")
        client = await node.client()
        for number in range(20):
            assert (await client.exchange(request_bytes(f"r{number}")))[0] == 200
        assert not new.requests
        fields = await node.wait_for_event("stage_outdated")
        assert (fields["source"], fields["cap"]) == ("vote", 1.0)
    new.stop()


class LateConveyor(Offering):
    """A conveyor that answers a vote by the state of that moment, once it is told to."""

    def __init__(self):
        super().__init__(None)
        self.word.cap, self.answer_now, self.listeners = 1.0, asyncio.Event(), []

    async def _news(self, request):
        self.listeners.append(request)
        await super()._news(request)

    async def _vote(self, request):
        verdict = pb.Verdict(answer=pb.Verdict.OK, stage=self.word).SerializeToString()
        self.votes.append(request)
        await self.answer_now.wait()
        return verdict

    def send_back(self):
        self.word = pb.Stage(build=2, number=0, phase=pb.GOING_BACK, cap=0.0)
        for request in self.listeners:
            request.send(pb.Word(stage=self.word).SerializeToString())


@sockets
async def test_grpc_agent_sends_nothing_to_a_build_sent_back_after_a_late_answer_to_its_vote(tmp_path):
    """A conveyor without fencing tokens: its messages have no order of their own."""
    conveyor = LateConveyor()
    async with rig(tmp_path, answer, conveyor=conveyor.listen_on("127.0.0.1:0")) as it:
        agent = it.daemon.engine_host.engine.agent
        await until(lambda: agent.stage is not None)
        new = await it.add(answer, build=2)
        await until(lambda: len(agent.fleet) == 2)
        it.daemon.vote(2, 0, BACK)
        await until(lambda: conveyor.votes)
        conveyor.send_back()
        await until(lambda: agent.stage.phase == GOING_BACK)
        conveyor.answer_now.set()
        await until(lambda: it.log.of("vote"))
        for _ in range(20):
            assert (await ask(it)).status == "0"
        assert not new.requests and it.log.of("stage_outdated")
    conveyor.shutdown()


@sockets
async def test_workers_are_not_told_a_stage_from_a_late_answer_to_a_vote(tmp_path):
    """The decider of an agent on several cores passes on what it follows, and nothing else."""
    async with run_agent(tmp_path, answer, (answer, 2), stage=(2, 0, pb.GOING_BACK, 0.0)) as agent:
        host = agent.decider.engine_host
        host.apply_stage(Stage(2, 0, ON_TRIAL, 1.0, 9 * S, "ok"))
        client = await agent.connect_client(1)
        for _ in range(20):
            call = client.call(VIEW)
            await call.done.wait()
        assert not agent.appliances[1].requests and agent.log.of("stage_outdated")
        assert all(worker.dispatcher.stage.phase == GOING_BACK for worker in agent.workers)

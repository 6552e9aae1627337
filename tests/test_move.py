"""Settings of an agent that moves to a deployment of another shape, and the agent that then runs on them."""

import asyncio
import subprocess
import sys

import pytest
from peers import ROOT, VIEW, Client, Rig, answer, settings
from test_calls import sockets
from test_processes import Offering

from cartweir.agent.daemon import Daemon
from cartweir.logic import TALLY_STREAM
from cartweir.proto import agent_pb2 as pb
from cartweir.settings.ini import BadInputError, read_agent
from cartweir.settings.migration import migrate_settings, write_new_file

SHAPE = """
[agent]
agents = 1
[allowed]
may_probe = yes
[appliances]
drain_grace = 500ms
fall_multiple = 2
[release]
control = share
shares = 0.1, 0.4, 1
caps = 0.17, 0.68, 1
guarded_stages = 1
tally_time = 200ms
[operation view]
effect = idempotent
slo_time = 1s
time_limit = 3s
"""


def files(folder, shape=SHAPE, **more):
    old = settings(folder, "127.0.0.1:9", "127.0.0.1:9", **more)
    (folder / "shape.ini").write_text(shape)
    return old, folder / "shape.ini"


def command(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "cartweir", "settings", "move", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


def test_the_agents_own_stays_and_what_does_not_is_listed(tmp_path):
    old, shape = files(
        tmp_path,
        appliances="connect_timeout = 100ms\ndrain_grace = 2s",
        allowed="may_message = yes\n[peers]\n1 = 127.0.0.1:9",
    )
    moved = migrate_settings(old, shape)
    write_new_file(tmp_path / "new.ini", moved.text)
    new, was = read_agent(tmp_path / "new.ini"), read_agent(old)
    assert (new.agent, new.registry, new.conveyor, new.wire, new.log) == (
        was.agent,
        was.registry,
        was.conveyor,
        was.wire,
        was.log,
    )
    assert (
        new.operations["view"].methods == was.operations["view"].methods
        and new.operations["view"].time_limit == 3_000_000
    )
    decision_settings = new.decision_settings()
    assert (
        decision_settings["tally_time"] == 200_000
        and decision_settings["guarded_stages"] == 1
        and decision_settings["drain_grace"] == 500_000
    )
    assert decision_settings["connect_timeout"] == 100_000 and was.decision_settings()["tally_time"] == 0
    assert moved.not_carried_over == [
        "[allowed] may_probe = no: the shape has yes",
        "[allowed] may_message = yes: the shape has none, so the default (False)",
        "[appliances] drain_grace = 2s: the shape has 500ms",
        "[release] shares = 0.2, 1: the shape has 0.1, 0.4, 1",
        "[release] caps = 0.2, 1: the shape has 0.17, 0.68, 1",
        "[operation order]: no such operation in the new shape: its calls are refused as unknown",
        "[operation issue]: no such operation in the new shape: its calls are refused as unknown",
        "[operation tiles]: no such operation in the new shape: its calls are refused as unknown",
        "[operation view] time_limit = 2s: the shape has 3s",
        "[peers]: 1 addresses: agents send no messages in the new shape",
    ]


def test_a_dry_run_changes_nothing_and_nothing_is_written_over(tmp_path):
    old, shape = files(tmp_path)
    before = {path: path.read_bytes() for path in tmp_path.iterdir()}
    done = command(old, shape, "--dry-run")
    assert (
        done.returncode == 0
        and "tally_time = 200ms" in done.stdout
        and "not carried over: [release] caps" in done.stdout
    )
    taken = command(old, shape, old)
    assert taken.returncode == 2 and "exists already" in taken.stderr and "Traceback" not in taken.stderr
    assert command(old, shape).returncode == 2
    assert {path: path.read_bytes() for path in tmp_path.iterdir()} == before
    assert command(old, shape, tmp_path / "new.ini").returncode == 0 and read_agent(tmp_path / "new.ini")


@pytest.mark.parametrize(
    "was, now, told",
    [
        (
            "[agent]\nagents = 1",
            "[agent]\nlisten = 127.0.0.1:1",
            "[agent] listen: each agent's own: only agents is due in a shape",
        ),
        (
            "[appliances]",
            "[registry]\naddress = 127.0.0.1:1\n[appliances]",
            "[registry]: not of the deployment",
        ),
        ("[release]", "[released]", "[released]: not of the deployment"),
        ("guarded_stages = 1", "guarded_stages = 4", "guarded_stages is 4: at most the 3 stages there are"),
        ("tally_time = 200ms", "tally_time = 200", "[release] tally_time = 200: a number with one of"),
        ("[operation view]", "[operation other]", "[operation other] methods: missing"),
    ],
)
def test_what_is_wrong_with_a_shape_is_told(tmp_path, was, now, told):
    old, shape = files(tmp_path, SHAPE.replace(was, now))
    with pytest.raises(BadInputError) as error:
        migrate_settings(old, shape)
    assert any(told in problem for problem in error.value.problems)


class Counting(Offering):
    """Tells a stage and then, once the agent has its list, what it counted of the earlier build."""

    async def _news(self, request):
        await super()._news(request)
        await self.listed.wait()
        for age in (0, 50_000):
            tally = pb.Tally(build=1, operation="view", count=40, failures=2, mean_time=90_000, age=age)
            request.send(pb.Word(tally=tally).SerializeToString())


@sockets
async def test_an_agent_on_moved_settings_serves_and_judges_by_sampled_counts(tmp_path):
    conveyor = Counting(
        lambda count, request: pb.Verdict(answer=pb.Verdict.OK, stage=conveyor.word).SerializeToString()
    )
    told, it, conveyor.listed = conveyor.listen_on("127.0.0.1:0"), Rig(), asyncio.Event()
    address = it.registry.listen_on("127.0.0.1:0")
    for build in (1, 2):
        await it.add(answer, build=build)
    shape = tmp_path / "shape.ini"
    shape.write_text(SHAPE)
    write_new_file(tmp_path / "new.ini", migrate_settings(settings(tmp_path, address, told), shape).text)
    it.daemon = Daemon(read_agent(tmp_path / "new.ini"), it.log)
    heard, seen = asyncio.Event(), []
    seat_told = it.daemon.engine_host.apply_tally
    it.daemon.engine_host.apply_tally = lambda tally: (
        seat_told(tally),
        seen.append(tally),
        len(seen) < 2 or heard.set(),
    )
    listed = asyncio.ensure_future(it.log.next("list"))
    where = it.daemon.start_up()
    try:
        await asyncio.wait_for(listed, 10)
        conveyor.listed.set()
        await asyncio.wait_for(heard.wait(), 10)
        judge = it.daemon.engine_host.engine.agent.evidence.streams[None, TALLY_STREAM]
        assert (
            judge.counts == [76, 0] and 0 < judge.failures[0] < 8
        )  # of the earlier build, with little traffic on trial
        client = await Client.connect(where)
        got = client.call(VIEW)
        await asyncio.wait_for(got.done.wait(), 10)
        assert got.status == "0"
        client.close()
    finally:
        for part in it.appliances:
            part.close()
        it.registry.shutdown()
        conveyor.shutdown()
        it.daemon.front.drain()
        it.daemon._end()

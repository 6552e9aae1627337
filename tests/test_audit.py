"""The audit finds agents that were broken on purpose, one for each rule, and passes the agent as it is."""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
from dataclasses import replace
from pathlib import Path

import pytest
from peers import Log, settings
from test_calls import sockets

from cartweir.agent.daemon import Daemon
from cartweir.audit.agent_process import NEWS, WATCH, AgentProcess, TakenCall
from cartweir.audit.decode import Tap
from cartweir.audit.exchange import Chunk, Exchange, HeaderBlock
from cartweir.audit.exposure import check_exposure, check_keys
from cartweir.audit.rules import Excuse, check_drains, check_one_answer
from cartweir.audit.run import audit, numeric_order
from cartweir.hosting.clock import monotonic
from cartweir.logic.dispatch_guard import Invariant
from cartweir.proto import agent_pb2 as pb
from cartweir.settings.ini import read_agent
from cartweir.standin.appliance import Fleet, Make, Quality
from cartweir.standin.clients import Load
from cartweir.standin.conveyor import Conveyor
from cartweir.standin.day import KINDS, SETTINGS, Day
from cartweir.standin.registry import Registry
from cartweir.wire.grpc import frame
from cartweir.wire.tap import FileTap


async def scene(folder, what, breaking, seconds=2.5, guarded=True):
    """Plays 4 servers, one agent and clients; `what` happens after 0.8 s.

    Returns:
        The broken rules, and the violations that the agent's own guard has counted.
    """
    multiple = 1.0 if what is cold else 4.0  # overload alone must not hide the one that loves the cold
    facts = []

    def log_event(event, **more):
        facts.append(json.dumps({"event": event, "time": monotonic(), **more}) + "\n")

    tap, chance = FileTap(folder / "field.tap"), random.Random(3)
    registry = Registry(tap=tap)
    fleet = Fleet(
        registry, Make(cores=3, boot_time=0, fall_multiple=multiple), chance, tap, log_event=log_event
    )
    machines = [fleet.launch(1, warm=True) for _ in range(4)]
    spare = Registry()
    conveyor_address = spare.listen_on("127.0.0.1:0")
    spare.shutdown()
    text = SETTINGS.format(
        me=0,
        agents=1,
        cores=1,
        tick=Day.tick,
        zone="",
        seed=5,
        folder=folder,
        registry=registry.listen_on("127.0.0.1:0"),
        conveyor=conveyor_address,
    )
    for old, new in (
        ("drain_grace = 2s", "drain_grace = 300ms"),
        ("on_votes = 2", "on_votes = 1"),
        ("fall_multiple = 4", f"fall_multiple = {multiple}"),
        ("shares = 0.1, 0.35, 1", "shares = 0.5, 0.75, 1"),
    ):
        text = text.replace(old, new)
    (folder / "agent0.ini").write_text(text)
    document = read_agent(folder / "agent0.ini")
    conveyor = Conveyor(fleet, document.release, 1, log_event, late=50_000, tap=tap)
    conveyor.listen_on(conveyor_address)
    log = Log()
    daemon = Daemon(document, log, FileTap(folder / "agent0-1.tap"))
    listed = asyncio.ensure_future(log.next("list"))
    address = daemon.start_up()
    await listed
    breaking(daemon)
    if not guarded:
        daemon.engine_host.guard.allows = lambda dispatch, now: True
    load = Load(KINDS, [address], 110.0, 4, keys=60, tap=FileTap(folder / "clients.tap"))
    asyncio.get_running_loop().call_later(0.8, what, fleet, conveyor, machines)
    await load.run(seconds)
    load.close()
    daemon.on_signal()
    await daemon.ended.wait()
    registry.shutdown()
    conveyor.shutdown()
    (folder / "facts.jsonl").write_text("".join(facts))
    broken = sorted({breach.rule for breach in audit(folder).breaches})
    return broken, daemon.engine_host.guard.violations


def calm(fleet, conveyor, machines):
    pass


def failing(fleet, conveyor, machines):
    fleet.steer("all", "errors", 0.5)


def silent(fleet, conveyor, machines):
    fleet.steer("all", "silence", 0)


def draining(fleet, conveyor, machines):
    fleet.drain(machines[0])


def cold(fleet, conveyor, machines):
    fleet.launch(1)


def offer(fleet, conveyor, machines):
    fleet.qualities[2] = Quality()
    conveyor.offer(2)


# ---- agents broken on purpose ----
def never_throttles(daemon):
    daemon.engine_host.throttle = lambda invocation, retry_after: daemon.engine_host.calls.pop(
        invocation, None
    )


def repeats_anything(daemon):
    daemon.engine_host.engine.agent.may_repeat = lambda invocation, appliance: True


def hears_of_no_drain(daemon):
    listed = daemon.engine_host.apply_list
    daemon.engine_host.apply_list = lambda how, rows=(): listed(
        how, [row for row in rows if row.state == "ready"]
    )


def loves_the_cold(daemon):
    slow_start = daemon.engine_host.engine.agent.slow_start
    slow_start.allows = lambda appliance: True
    slow_start.earned = lambda: slow_start.appliances


def knows_no_cap(daemon):
    agent = daemon.engine_host.engine.agent
    for exposure in agent.exposure_budgets.values():
        exposure.room = lambda now, cap: True
    staged = agent.on_stage
    agent.on_stage = lambda stage: staged(replace(stage, cap=1.0))  # of which its own share is a part


class Forgetful(dict):
    def __setitem__(self, key, value):
        pass


def forgets_keys(daemon):
    agent = daemon.engine_host.engine.agent
    agent.bound_keys = Forgetful()
    staged = agent.on_stage
    agent.on_stage = lambda stage: (staged(stage), setattr(agent, "bound_keys", Forgetful()))


@pytest.mark.parametrize(
    "what, breaking, rule",
    [
        (silent, never_throttles, 1),
        (failing, repeats_anything, 2),
        (draining, hears_of_no_drain, 3),
        (cold, loves_the_cold, 4),
        (offer, knows_no_cap, 5),
        (offer, forgets_keys, 5),
    ],
    ids=lambda value: getattr(value, "__name__", str(value)),
)
def test_broken_agent_is_caught(tmp_path, what, breaking, rule):
    @sockets
    async def play():
        assert rule in (await scene(tmp_path, what, breaking, guarded=False))[0]

    play()


@pytest.mark.parametrize(
    "what, breaking, rule, invariant",
    [
        (failing, repeats_anything, 2, Invariant.UNSAFE_REPEAT),
        (cold, loves_the_cold, None, Invariant.COLD_OVERLOAD),
    ],
    ids=lambda value: getattr(value, "__name__", str(value)),
)
def test_the_guard_holds_and_counts_what_broken_decisions_send(tmp_path, what, breaking, rule, invariant):
    @sockets
    async def play():
        broken, violations = await scene(tmp_path, what, breaking)
        assert rule not in broken and violations[invariant] > 0, (broken, violations)

    play()


@pytest.mark.parametrize("what", [calm, failing, draining, cold, offer], ids=lambda value: value.__name__)
def test_the_agent_as_it_is_keeps_all_rules(tmp_path, what):
    @sockets
    async def play():
        assert await scene(tmp_path, what, lambda daemon: None) == ([], {})

    play()


def test_late_second_and_following_traffic_is_told():
    """What no scene of loopback clients shows: they leave as their time is up."""
    document = read_agent(settings(Path(tempfile.mkdtemp()), "127.0.0.1:9", "127.0.0.1:9"))
    life = AgentProcess(Tap("agent0-1.tap", 0, 1, []), document, {})
    answer = HeaderBlock(400, {"grpc-status": "0"}, True)
    front = Exchange("agent0-1.tap", 1, 1, False, "", 0, {}, 10, [answer, answer], [400_000, 500_000])
    after = Exchange("agent0-1.tap", 2, 1, True, "", 450_000, {})
    check_one_answer(life, TakenCall(front, "view", 300_000, [after]), Excuse.NONE)
    assert [breach.what for breach in life.breaches] == [
        "answered twice",
        "answered 100000 us after the client's time was up",
        "sent 50000 us after the answer",
    ]


@pytest.mark.parametrize(
    "build, at, told",
    [
        (1, 1_000, 50_000),
        (2, 1_000, 50_000),
        (1, 60_000, 50_000),
        (2, 60_000, 50_000),
        (1, 1_000, None),
        (2, 1_000, None),
    ],
)
def test_before_the_first_word_of_a_stage_the_earliest_build_serves(tmp_path, build, at, told):
    """Two dispatches of a restarted agent without any call taken, as `cartweir faults --real` showed it.

    told: when it hears that build 2 is on trial; None: never.
    """
    document = read_agent(settings(tmp_path, "127.0.0.1:9", "127.0.0.1:9"))
    tap = "agent0-1.tap"
    listing = pb.Listing(
        whole=True,
        entries=[
            pb.Entry(appliance=f"a{n}", address=f"127.0.0.1:{n}", build=n, run=1, state=pb.READY)
            for n in (1, 2)
        ],
    )
    word = pb.Word(stage=pb.Stage(build=2, cap=0.2, epoch=1, index=1))
    news = [
        Exchange(
            tap, 1, 1, True, "", 0, {":path": WATCH}, body=[Chunk(500, frame(listing.SerializeToString()))]
        )
    ]
    if told is not None:
        news.append(
            Exchange(
                tap, 1, 3, True, "", 0, {":path": NEWS}, body=[Chunk(told, frame(word.SerializeToString()))]
            )
        )
    sent = [
        Exchange(
            tap,
            2,
            1 + 2 * n,
            True,
            f"127.0.0.1:{build}",
            at + n * 1_000,
            {":path": "/maps.Parcels/View", "cartweir-dispatch": "1"},
        )
        for n in range(2)
    ]
    life = AgentProcess(Tap(tap, 0, 1_000_000, news + sent), document, {})
    check_exposure(life)
    assert [breach.rule for breach in life.breaches if breach.rule == 5] == [5] * (build == 2)


@pytest.mark.parametrize(
    "named, at, broken",
    [
        (2, 3_000_000, True),  # two of three are named: the third is told gone, and its grace is over
        (2, 1_000_000, False),
        (0, 3_000_000, False),  # none is: the registry has lost its list, and they stay for hold_time
        (0, 18_000_000, True),
    ],
)
def test_what_a_list_does_not_name_is_told_gone_unless_it_drops_too_many(tmp_path, named, at, broken):
    """As `./dev comeback` shows it where a registry begins anew and its servers register again 3 s later."""
    document = read_agent(settings(tmp_path, "127.0.0.1:9\nhold_time = 15s", "127.0.0.1:9"))
    tap, entries = (
        "agent0-1.tap",
        [
            pb.Entry(appliance=f"a{n}", address=f"127.0.0.1:{n}", build=1, run=1, state=pb.READY)
            for n in (1, 2, 3)
        ],
    )
    said = [
        Chunk(when, frame(pb.Listing(whole=True, entries=entries[:count]).SerializeToString()))
        for when, count in ((500, 3), (1_000, named))
    ]
    news = Exchange(tap, 1, 1, True, "", 0, {":path": WATCH}, body=said)
    sent = Exchange(
        tap, 2, 1, True, "127.0.0.1:3", at, {":path": "/maps.Parcels/View", "cartweir-dispatch": "1"}
    )
    life = AgentProcess(Tap(tap, 0, 20_000_000, [news, sent]), document, {})
    check_drains(life)
    assert [breach.rule for breach in life.breaches if breach.rule == 3] == [3] * broken


@pytest.mark.parametrize(
    "lost, broken", [((), True), (("list", "facts"), True), (("stage",), True), (("stage", "facts"), False)]
)
def test_a_key_that_a_life_before_had_answered_goes_back_in_no_later_one(tmp_path, lost, broken):
    """But in one that can't know that it has run here: its stage and its facts were lost."""
    file = settings(
        tmp_path, "127.0.0.1:9", "127.0.0.1:9", agent="stage_file = s\nlist_file = l\nfacts_file = f"
    )
    file.write_text(file.read_text().replace("caps = 0.2, 1", "caps = 0.2, 1\none_way = yes"))
    document = read_agent(file)
    listing = pb.Listing(
        whole=True,
        entries=[
            pb.Entry(appliance=f"a{n}", address=f"127.0.0.1:{n}", build=n, run=1, state=pb.READY)
            for n in (1, 2)
        ],
    )
    word = pb.Word(stage=pb.Stage(build=2, cap=0.2, epoch=1, index=1))

    def life(number, to, at, before):
        tap = f"agent0-{number}.tap"
        news = [
            Exchange(
                tap,
                1,
                1,
                True,
                "",
                at,
                {":path": WATCH},
                body=[Chunk(at + 1, frame(listing.SerializeToString()))],
            ),
            Exchange(
                tap,
                1,
                3,
                True,
                "",
                at,
                {":path": NEWS},
                body=[Chunk(at + 2, frame(word.SerializeToString()))],
            ),
        ]
        sent = Exchange(
            tap,
            2,
            1,
            True,
            f"127.0.0.1:{to}",
            at + 100,
            {":path": "/maps.Parcels/View", "cartweir-dispatch": "1", "cartweir-key": "k"},
            response=[HeaderBlock(at + 200, {"grpc-status": "0"}, True)],
            ended_at_times=[at + 200],
        )
        return AgentProcess(
            Tap(tap, at, at + 300, [*news, sent]),
            document,
            {},
            before,
            frozenset(lost) if before else frozenset(),
        )

    first = life(1, 2, 0, None)
    second = life(2, 1, 1_000_000, first)
    check_keys(second)
    assert [breach.rule for breach in second.breaches if breach.rule == 5] == [5] * broken


def test_lives_are_read_in_their_order(tmp_path):
    names = [f"agent{me}-{number}.tap" for me in (0, 1) for number in (1, 2, 9, 10, 11)]
    assert [
        path.name for path in sorted((tmp_path / name for name in reversed(names)), key=numeric_order)
    ] == names

"""Controllers, receivers and agents as processes, with faults between them; each verdict is what receivers saw, held beside what
a majority has on disk."""

from __future__ import annotations

import asyncio
import functools
import json
import resource
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from cartweir.controller.store import FILE_ID_SIZE, FRAME_HEADER
from cartweir.faults.light_agent import LightAgent
from cartweir.faults.rig import Rig, RigConfig, free_addresses
from cartweir.proto import agent_pb2 as pb
from cartweir.wire.calls import CallError, Channel, Service

ROOT = Path(__file__).parents[1]


def rigged(seconds=60, **scale):
    """A test on a rig that has started and has an owner; the verdict at its end must have no breach."""

    def wrap(test):
        def run(tmp_path):
            async def play():
                rig = Rig(tmp_path / "rig", RigConfig(**scale))
                await rig.start()
                try:
                    await asyncio.wait_for(test(rig, await rig.wait_for_owner()), seconds)
                finally:
                    verdict = await rig.stop_and_check()
                assert not verdict.breaches, verdict.text()
                return verdict

            asyncio.run(play())

        run.__name__ = getattr(test, "__name__", "run")
        return run

    return wrap


def cartweir(*words):
    return subprocess.run(
        [sys.executable, "-m", "cartweir", *map(str, words)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )


def other_than(rig, *names):
    return next(name for name in rig.controller_names if name not in names)


def released(build):
    return lambda s: s["release"]["build"] == build and s["release"]["phase"] == "RELEASED"


def stage_is(build, stage):
    return lambda s: s["release"]["build"] == build and s["release"]["stage"] >= stage


async def until_late(rig, seconds=15):
    """Until a receiver has refused an effect."""
    for _ in range(int(seconds / 0.05)):
        if rig.record_path.exists() and any(
            '"taken": false' in line or '"how": "late"' in line
            for line in rig.record_path.read_text().splitlines()
        ):
            return
        await asyncio.sleep(0.05)
    raise TimeoutError("no effect was refused")


@rigged()
async def test_a_release_with_its_steps_in_order_and_no_fault(rig, owner):
    assert await rig.offer_build(2)
    status = await rig.wait_for_status(released(2))
    assert status["steps"]["owners"]["done"] == ["add", "copy", "drop", "check"]


@rigged()
async def test_the_owner_is_stopped_amid_a_stage_and_wakes_up_late(rig, owner):
    assert await rig.offer_build(2)
    await rig.wait_for_status(stage_is(2, 0))
    epoch = (await rig.wait_for_status(lambda s: True))["duties"]["release"]["epoch"]
    rig.send_signal(owner, signal.SIGSTOP)
    status = await rig.wait_for_status(lambda s: s["duties"]["release"]["epoch"] > epoch)
    assert status["duties"]["release"]["owner"] != owner
    await rig.wait_for_status(released(2))
    rig.send_signal(owner, signal.SIGCONT)
    await rig.wait_for_status(lambda s: s["name"] == owner and s["led"] and released(2)(s))


@rigged()
async def test_a_call_of_the_old_owner_is_held_back_and_delivered_late(rig, owner):
    rig.command_proxy(f"{owner}-machines", "hold", "out")
    assert await rig.offer_build(2)
    await rig.wait_for_status(stage_is(2, 0))
    # it can't reach the machines though it hears its peers: it gives the duty up, and the release goes on
    status = await rig.wait_for_status(lambda s: s["duties"]["release"]["owner"] not in (owner, None))
    assert status["role"] == "leader" or status["led"]
    await rig.wait_for_status(stage_is(2, 1))
    rig.command_proxy(f"{owner}-machines", "pass")
    await until_late(rig)
    await rig.wait_for_status(released(2))


@rigged()
async def test_the_owner_of_steps_is_killed_with_a_step_on_its_way(rig, owner):
    steps_owner = await rig.wait_for_owner("steps owners")
    rig.command_proxy(f"{steps_owner}-steps", "hold", "back")  # the step runs, its answer is lost
    assert await rig.offer_build(2)
    await rig.wait_for_status(lambda s: s["steps"]["owners"]["how"] == "begun")
    while '"kind": "step"' not in rig.record_path.read_text():
        await asyncio.sleep(0.02)
    await rig.kill(steps_owner)
    status = await rig.wait_for_status(lambda s: len(s["steps"]["owners"]["done"]) == 4)
    assert status["duties"]["steps owners"]["owner"] != steps_owner
    assert rig.record_path.read_text().count('"kind": "step"') == 4


@rigged()
async def test_the_target_dies_between_steps_and_nothing_runs_twice(rig, owner):
    assert await rig.offer_build(2)
    for count in range(1, 4):
        await rig.wait_for_status(lambda s: len(s["steps"]["owners"]["done"]) >= count)
        await rig.kill("receivers")
        await rig.start_process("receivers")
    await rig.wait_for_status(released(2))


@rigged()
async def test_all_controllers_and_receivers_are_killed_at_once(rig, owner):
    assert await rig.offer_build(2)
    before = await rig.wait_for_status(stage_is(2, 1))
    await asyncio.gather(*(rig.kill(name) for name in [*rig.controller_names, "receivers"]))
    await asyncio.gather(*(rig.start_process(name) for name in [*rig.controller_names, "receivers"]))
    after = await rig.wait_for_status(stage_is(2, 1))
    assert after["decided"] >= before["decided"] and after["term"] > before["term"]
    await rig.wait_for_status(released(2))


@rigged()
async def test_a_partition_leaves_one_owner_and_its_other_side_tells_agents_nothing_new(rig, owner):
    rig.isolate(owner)
    assert await asyncio.wait_for(_elsewhere(rig, owner), 20)
    other = other_than(rig, owner)
    assert (await rig.ask(other, ask="offer", build=2, machines=10))["taken"]
    await rig.wait_for_status(lambda s: s["name"] == owner and not s["led"])
    status = await rig.ask(owner, ask="status")
    assert status["release"]["build"] == 1 and status["role"] != "leader"
    await rig.wait_for_status(released(2))  # by the agents that have moved on to the other side
    rig.isolate(owner, "pass")
    await rig.wait_for_status(lambda s: s["name"] == owner and released(2)(s))


async def _elsewhere(rig, owner):
    return await rig.wait_for_status(
        lambda s: s["name"] != owner and s["duties"]["release"]["owner"] not in (owner, None)
    )


@rigged()
async def test_an_owner_that_hears_but_is_not_heard_stops(rig, owner):
    for name in rig.controller_names:
        if name != owner:
            rig.command_proxy(f"{owner}-{name}", "hold", "out")
    await _elsewhere(rig, owner)
    # what its agents say is lost with it, though it hears the stage: it sends them to others, all twelve
    await rig.wait_for_status(lambda s: s["name"] == owner and not s["led"] and not s["agents"]["listening"])
    while (
        sum([(await rig.ask(name, ask="status"))["agents"]["listening"] for name in rig.controller_names])
        < 12
    ):
        await asyncio.sleep(0.05)
    assert await rig.offer_build(2)
    await rig.wait_for_status(released(2))


@rigged()
async def test_an_election_sends_no_agent_away(rig, owner):
    """Guards the next leader against the whole fleet: only those that listened at the one that died come again."""

    async def agents(what):
        return {
            name: (await rig.ask(name, ask="status"))["agents"][what]
            for name in rig.controller_names
            if rig.is_running(name)
        }

    while sum((await agents("listening")).values()) < 12:
        await asyncio.sleep(0.05)
    status = await rig.wait_for_status(lambda s: s["role"] == "leader")
    before, listened = await agents("let_in"), (await agents("listening"))[status["name"]]
    await rig.kill(status["name"])
    await rig.wait_for_status(lambda s: s["role"] == "leader" and s["term"] > status["term"])
    while sum((await agents("listening")).values()) < 12:
        await asyncio.sleep(0.05)
    after = await agents("let_in")
    assert sum(after[name] - before[name] for name in after) == listened


@rigged()
async def test_a_lost_directory_is_joined_anew_and_votes_only_once_it_holds_the_log(rig, owner):
    assert await rig.offer_build(2)
    await rig.wait_for_status(stage_is(2, 1))
    lost = other_than(rig, owner)
    await rig.kill(lost)
    shutil.rmtree(rig.folder / f"dir-{lost}")
    done = cartweir("controller", "run", "-s", rig.folder / f"{lost}.ini")
    assert done.returncode == 1 and "controller join" in done.stderr and done.stderr.count("\n") == 1
    done = cartweir("controller", "join", "-s", rig.folder / f"{lost}.ini")
    mark = done.stdout.split("--mark ")[1].split()[0]
    await rig.start_process(lost)
    status = await rig.wait_for_status(lambda s: s["name"] == lost)
    assert status["members"] == {} and status["release"]["build"] == 1  # what it hears does not count yet
    done = await asyncio.to_thread(
        cartweir,
        "controller",
        "admit",
        lost,
        "--mark",
        mark,
        "--address",
        rig.listen_addresses[lost],
        "--at",
        rig.listen_addresses[owner],
    )
    assert done.returncode == 0, done.stderr
    await rig.wait_for_status(
        lambda s: s["name"] == lost and s["members"].get(lost, {}).get("votes") and stage_is(2, 1)(s)
    )
    await rig.kill(
        other_than(rig, lost, await rig.wait_for_owner())
        if await rig.wait_for_owner() == lost
        else await rig.wait_for_owner()
    )
    await rig.wait_for_status(released(2))


@rigged()
async def test_a_copied_directory_at_another_address_leads_nobody(rig, owner):
    copied = other_than(rig, owner)
    shutil.copytree(rig.folder / f"dir-{copied}", rig.folder / "dir-copy")
    (address,) = free_addresses(1)
    text = (rig.folder / f"{copied}.ini").read_text()
    text = text.replace(f"listen = {rig.listen_addresses[copied]}", f"listen = {address}").replace(
        f"dir-{copied}", "dir-copy"
    )
    (rig.folder / "copy.ini").write_text(text)
    rig.listen_addresses["copy"] = address
    await rig.start_process("copy")
    while (status := await rig.ask("copy", ask="status")) is None:
        await asyncio.sleep(0.05)
    rig.send_signal(copied, signal.SIGSTOP)  # the copy alone speaks under that name now
    assert await rig.offer_build(2)
    await rig.wait_for_status(released(2))
    rig.send_signal(copied, signal.SIGCONT)
    status = await rig.ask("copy", ask="status")
    assert status["role"] != "leader" and status["release"]["build"] == 1
    await rig.wait_for_status(lambda s: s["name"] == copied and released(2)(s))


@pytest.mark.parametrize("who", ["leader", "another"])
def test_a_directory_put_back_from_an_older_copy_is_not_used(tmp_path, who):
    rigged()(functools.partial(_put_back, who))(tmp_path)


async def _put_back(who, rig, owner):
    leader = (await rig.wait_for_status(lambda s: s["role"] == "leader"))["name"]
    back = leader if who == "leader" else other_than(rig, leader)
    rig.send_signal(back, signal.SIGSTOP)
    shutil.copytree(rig.folder / f"dir-{back}", rig.folder / "older")
    rig.send_signal(back, signal.SIGCONT)
    assert await rig.offer_build(2)
    await rig.wait_for_status(lambda s: s["name"] == back and stage_is(2, 1)(s))
    await rig.kill(back)
    shutil.rmtree(rig.folder / f"dir-{back}")
    shutil.copytree(rig.folder / "older", rig.folder / f"dir-{back}")
    await rig.start_process(back)
    assert await rig.processes[back].wait() == 1
    assert "is older than the one this member used last" in (rig.folder / f"{back}.log").read_text()
    await rig.wait_for_status(released(2))


@rigged()
async def test_a_disk_that_takes_no_more_ends_the_owner_and_loses_nothing(rig, owner):
    size = (rig.folder / f"{owner}.log").stat().st_size + 3000  # which its own words must not reach before
    resource.prlimit(rig.processes[owner].pid, resource.RLIMIT_FSIZE, (size, size))
    rig.command_proxy(
        f"{owner}-machines", "hold"
    )  # the stage stays where it is, and what agents vote on fills the log
    assert await rig.offer_build(2)
    assert await rig.processes[owner].wait() == 1
    last = (rig.folder / f"{owner}.log").read_text().splitlines()[-1]
    assert "is not on disk" in last and "File too large" in last
    rig.command_proxy(f"{owner}-machines", "pass")
    await rig.start_process(owner)
    await rig.wait_for_status(released(2))
    await rig.wait_for_status(lambda s: s["name"] == owner and released(2)(s))


@rigged()
async def test_an_owner_whose_disk_is_slow_loses_its_duty_and_nothing_else(rig, owner):
    """Each fsync takes four times the election time-out, so that it is led by others as long as that lasts."""
    rig.set_disk_fault(owner, slow=1.2)
    assert await rig.offer_build(2) or await rig.offer_build(2)
    assert await _elsewhere(rig, owner)
    await rig.wait_for_status(released(2))
    rig.set_disk_fault(owner)
    await rig.wait_for_status(lambda s: s["name"] == owner and s["led"] and released(2)(s))


@rigged(election=700)
async def test_a_peer_whose_disk_is_slow_holds_nobody_up(rig, owner):
    slow = other_than(rig, owner)
    epoch = (await rig.wait_for_status(lambda s: s["name"] == owner and s["duties"]["release"]["epoch"]))[
        "duties"
    ]["release"]["epoch"]
    rig.set_disk_fault(
        slow, slow=0.25
    )  # below the election time-out: it stays a member, and says each word late
    assert await rig.offer_build(2)
    status = await rig.wait_for_status(released(2))
    assert (status["duties"]["release"]["owner"], status["duties"]["release"]["epoch"]) == (owner, epoch)
    rig.set_disk_fault(slow)
    await rig.wait_for_status(lambda s: s["name"] == slow and released(2)(s))


@pytest.mark.parametrize("how", ["SIGKILL", "SIGSTOP"])
def test_an_owner_is_struck_with_half_of_a_write_on_its_disk(tmp_path, how):
    """What was told of stays, the rest is cut off or ended, and whoever was told by others is told nothing else."""

    @rigged()
    async def test(rig, owner):
        assert await rig.offer_build(2)
        await rig.wait_for_status(stage_is(2, 0))
        log = rig.folder / f"dir-{owner}" / "log"
        rig.set_disk_fault(owner, tear=how)
        while (rig.folder / f"{owner}.disk").exists():  # taken away as it is torn
            await asyncio.sleep(0.01)
        if how == "SIGKILL":
            assert await rig.processes[owner].wait() == -signal.SIGKILL
            assert cut_short(log.read_bytes())
        assert await _elsewhere(rig, owner)
        await rig.wait_for_status(lambda s: s["name"] != owner and stage_is(2, 1)(s))
        if how == "SIGKILL":
            await rig.start_process(owner)
        else:
            assert cut_short(log.read_bytes())  # it has stood still all the time
            rig.send_signal(owner, signal.SIGCONT)
        await rig.wait_for_status(lambda s: s["name"] == owner and released(2)(s))

    test(tmp_path)


@pytest.mark.parametrize("how", ["SIGKILL", "SIGSTOP"])
def test_the_leader_is_struck_as_it_writes_the_vote_that_decides(tmp_path, how):
    """Half of that vote is on its disk, nobody was told of it: told again it counts, once, and the stage goes on."""

    @rigged(agents=6, votes=False)
    async def test(rig, owner):
        assert await rig.offer_build(2)
        leader = (await rig.wait_for_status(lambda s: s["role"] == "leader" and stage_is(2, 0)(s)))["name"]
        other = other_than(rig, leader)
        await until_followed(rig, lambda row: row["build"] == 2, 6)
        assert await rig.cast_votes(other, (101, 102), 2, 0, pb.ON) == [pb.Verdict.OK] * 2  # three are due
        await rig.wait_for_status(lambda s: s["name"] == leader and s["release"]["votes"]["on"] == 2)
        rig.set_disk_fault(leader, tear=how)
        assert await rig.cast_votes(other, (103,), 2, 0, pb.ON) == [pb.Verdict.OK]
        rig.acknowledged_votes += [
            (agent, 2, 0) for agent in (101, 102, 103)
        ]  # the verdict looks for them in the log
        assert not (rig.folder / f"{leader}.disk").exists()  # it was torn
        if how == "SIGKILL":
            assert await rig.processes[leader].wait() == -signal.SIGKILL
            await rig.start_process(leader)
        else:
            rig.send_signal(leader, signal.SIGCONT)
        # votes stand for 5 s: where the election took longer than that, the others are told once more, as agents do
        while (at := (await rig.ask(other, ask="status"))["release"])["stage"] == 0:
            await rig.cast_votes(other, (104, 105, 106), 2, 0, pb.ON)
            await asyncio.sleep(0.2)
        assert (at["build"], at["stage"]) == (2, 1)
        await rig.wait_for_status(lambda s: s["name"] == leader and s["led"] and stage_is(2, 1)(s))

    test(tmp_path)


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGSTOP])
def test_the_owner_is_struck_with_half_of_the_agents_told(tmp_path, how):
    """What it said to those that listen at it lies in the network until all have followed what came behind."""

    @rigged(agents=9)
    async def test(rig, owner):
        rig.command_proxy(f"agents-{owner}", "hold", "back")
        assert await rig.offer_build(2)
        await until_followed(rig, lambda row: row["build"] == 2, 1)
        rig.send_signal(owner, how)
        await rig.wait_for_status(
            lambda s: s["name"] != owner and s["duties"]["release"]["owner"] not in (owner, None)
        )
        await until_followed(rig, lambda row: row["build"] == 2 and row["stage"] == 2, 9)
        rig.command_proxy(f"agents-{owner}", "pass")
        if how == signal.SIGSTOP:
            rig.send_signal(owner, signal.SIGCONT)
        else:
            await rig.start_process(owner)
        await rig.wait_for_status(released(2))
        await rig.wait_for_status(lambda s: s["name"] == owner and released(2)(s))

    test(tmp_path)


@rigged()
async def test_an_owner_that_is_cut_off_from_agents_alone_goes_on(rig, owner):
    """It hears its peers and reaches the machines: agents hear of its decisions from the others, and the duty stays."""
    rig.command_proxy(f"agents-{owner}", "mute")
    epoch = (await rig.wait_for_status(lambda s: s["duties"]["release"]["epoch"]))["duties"]["release"][
        "epoch"
    ]
    assert await rig.offer_build(2)
    status = await rig.wait_for_status(released(2))
    assert (status["duties"]["release"]["owner"], status["duties"]["release"]["epoch"]) == (owner, epoch)
    await until_followed(rig, lambda row: row["build"] == 2 and row["phase"] == "released", 12)


@rigged()
async def test_an_owner_of_steps_that_cannot_reach_their_target_gives_the_duty_up(rig, owner):
    holder = await rig.wait_for_owner("steps owners")
    rig.command_proxy(f"{holder}-steps", "mute")
    assert await rig.offer_build(2)
    status = await rig.wait_for_status(lambda s: s["duties"]["steps owners"]["owner"] not in (holder, None))
    assert holder in status["members"] and status["members"][holder]["votes"]
    await rig.wait_for_status(released(2))
    assert rig.record_path.read_text().count('"kind": "step"') == 4


@rigged()
async def test_the_owner_of_steps_is_stopped_amid_one_and_wakes_up_late(rig, owner):
    holder = await rig.wait_for_owner("steps owners")
    rig.command_proxy(f"{holder}-steps", "hold", "out")  # its call for the first step lies in the network
    assert await rig.offer_build(2)
    await rig.wait_for_status(lambda s: s["steps"]["owners"]["how"] == "begun")
    rig.send_signal(holder, signal.SIGSTOP)
    await rig.wait_for_status(lambda s: s["name"] != holder and len(s["steps"]["owners"]["done"]) == 4)
    rig.command_proxy(f"{holder}-steps", "pass")
    rig.send_signal(holder, signal.SIGCONT)
    await rig.wait_for_status(released(2))
    ran = [
        row for row in map(json.loads, rig.record_path.read_text().splitlines()) if row.get("how") == "run"
    ]
    assert [row["name"] for row in ran] == ["add", "copy", "drop", "check"]


@pytest.mark.parametrize("step", [0, 2])
def test_the_target_dies_between_doing_a_step_and_noting_it(tmp_path, step):
    """Half of the line that is both is on its disk: it was not done, and is done once by whoever asks next."""

    @rigged()
    async def test(rig, owner):
        for name in rig.controller_names:
            rig.command_proxy(f"{name}-machines", "hold")  # so that steps alone are written
        if step:
            rig.command_proxy(
                f"{await rig.wait_for_owner('steps owners')}-steps", "delay", "300ms"
            )  # time to strike at one in the middle
        assert await rig.offer_build(2)
        await rig.wait_for_status(lambda s: len(s["steps"]["owners"]["done"]) >= step)
        rig.set_disk_fault("receivers", tear="SIGKILL")
        assert await rig.processes["receivers"].wait() == -signal.SIGKILL
        assert b'"kind": "step"' in rig.record_path.read_bytes().rpartition(b"\n")[2]
        for name in rig.controller_names:
            rig.command_proxy(f"{name}-machines", "pass")
        await rig.start_process("receivers")
        await rig.wait_for_status(released(2))
        ran = [
            row
            for row in map(json.loads, rig.record_path.read_text().splitlines())
            if row.get("how") == "run"
        ]
        assert [row["name"] for row in ran] == ["add", "copy", "drop", "check"]

    test(tmp_path)


def cut_short(log):
    """Whether the last frame of a log lacks its end."""
    at = FILE_ID_SIZE
    while at < len(log):
        if at + FRAME_HEADER.size > len(log):
            return True
        at += FRAME_HEADER.size + FRAME_HEADER.unpack_from(log, at)[0]
    return at > len(log)


@rigged()
async def test_hand_over_changes_the_owner_thrice_within_a_stage(rig, owner):
    for agent in rig.agents:
        agent.is_voter = False
    assert await rig.offer_build(2)
    seen, epoch = [owner], (await rig.wait_for_status(stage_is(2, 0)))["duties"]["release"]["epoch"]
    for _ in range(3):
        done = await asyncio.to_thread(
            cartweir,
            "controller",
            "hand-over",
            "release",
            "--at",
            ",".join(rig.listen_addresses[name] for name in rig.controller_names),
        )
        assert done.returncode == 0, done.stderr
        # of the last one that was seen: the next status may come from a member that has not got so far
        status = await rig.wait_for_status(lambda s: s["duties"]["release"]["epoch"] > epoch)
        epoch = status["duties"]["release"]["epoch"]
        seen.append(status["duties"]["release"]["owner"])
    assert all(a != b for a, b in zip(seen, seen[1:]))
    await rig.wait_for_status(
        lambda s: s["name"] == owner and s["duties"]["release"]["epoch"] == epoch
    )  # it has got so far, too
    rows = await rig.ask(owner, ask="history")
    assert [row["why"] for row in rows if row["duty"] == "release"].count("asked for") == 3


def test_recover_begins_an_incarnation_above_all_epochs(tmp_path):
    async def play():
        rig = Rig(tmp_path / "rig", RigConfig())
        await rig.start()
        try:
            owner = await rig.wait_for_owner()
            assert await rig.offer_build(2)
            before = await rig.wait_for_status(stage_is(2, 1))
            await asyncio.gather(*(rig.kill(name) for name in rig.controller_names))
            shutil.rmtree(rig.folder / f"dir-{owner}")
            left, lost = [name for name in rig.controller_names if name != owner]
            await rig.start_process(left)
            status = await rig.wait_for_status(lambda s: s["name"] == left)
            assert not status["led"] and not await rig.offer_build(3)  # alone it leads nobody
            await rig.kill(left)
            refused = cartweir("controller", "recover", "-s", rig.folder / f"{left}.ini")
            assert refused.returncode == 2 and "--others-are-gone" in refused.stderr
            done = cartweir("controller", "recover", "-s", rig.folder / f"{left}.ini", "--others-are-gone")
            assert done.returncode == 0 and "incarnation 1" in done.stdout, done.stderr
            await rig.start_process(left)
            status = await rig.wait_for_status(
                lambda s: s["name"] == left and s["duties"]["release"]["owner"] == left
            )
            assert (
                status["duties"]["release"]["epoch"] > before["duties"]["release"]["epoch"]
                and status["incarnation"] == 1
            )
            await rig.start_process(lost)  # one of the old incarnation that comes back after all is not heard
            await rig.wait_for_status(lambda s: s["name"] == left and released(2)(s))
            status = await rig.wait_for_status(lambda s: s["name"] == lost)  # once it listens
            assert status["role"] != "leader" and status["incarnation"] == 0
        finally:
            await rig.stop()

    asyncio.run(play())


def test_receivers_without_a_fence_are_found_out(tmp_path):
    """The verdict's own proof: the same late call as above, at receivers that take whatever comes."""

    async def play():
        rig = Rig(tmp_path / "rig", RigConfig(), unfenced=True)
        await rig.start()
        try:
            owner = await rig.wait_for_owner()
            rig.command_proxy(f"{owner}-machines", "hold", "out")
            assert await rig.offer_build(2)
            await rig.wait_for_status(stage_is(2, 1))
            lines = len(rig.record_path.read_text().splitlines())
            rig.command_proxy(f"{owner}-machines", "pass")
            while len(rig.record_path.read_text().splitlines()) < lines + 2:
                await asyncio.sleep(0.05)
        finally:
            verdict = await rig.stop_and_check()
        assert any("was carried out after" in breach for breach in verdict.breaches), verdict.text()

    asyncio.run(asyncio.wait_for(play(), 60))


@pytest.mark.parametrize("deaf_first", [True, False])
def test_a_ballot_goes_on_to_a_controller_that_answers(deaf_first):
    """Guards against agents whose controller hears the others and is not heard: it never answers a ballot."""

    def office(answers):
        service, ballots = Service(), []

        async def news(request):
            request.send(pb.Word(stage=pb.Stage(build=2, epoch=5, index=6, cap=0.1)).SerializeToString())

        async def vote(request):
            ballots.append(pb.Ballot.FromString(request.message).serial)
            return (
                pb.Verdict(stage=pb.Stage(build=2, epoch=5, index=6, cap=0.1)).SerializeToString()
                if answers
                else None
            )

        service.handlers.update({"/cartweir.v1.Conveyor/News": news, "/cartweir.v1.Conveyor/Vote": vote})
        return service, ballots, service.listen_on("127.0.0.1:0")

    async def play():
        (deaf, unheard, first), (good, heard, second) = office(False), office(True)
        said = []
        agent = LightAgent(0, [first, second], lambda event, **facts: said.append(event))
        agent.news._current = agent.news._answered_last = 0 if deaf_first else 1
        while "vote" not in said:
            await asyncio.sleep(0.01)
        assert len(heard) == 1 and set(unheard) <= set(heard)  # the same ballot, under its number
        while len(heard) < 3:
            await asyncio.sleep(0.01)
        assert len(unheard) == int(deaf_first)  # later ones go first to whom answered
        agent.close()
        deaf.shutdown()
        good.shutdown()

    asyncio.run(asyncio.wait_for(play(), 5))


@pytest.mark.parametrize(
    "change, says",
    [
        ("cluster = rig", "of cluster rig"),
        ("name = a", "of name a"),
        ("election = 300ms", "at least three heartbeats"),
        ("build = 2", "build: missing"),
        ("caps = 0.14", "caps"),
    ],
)
def test_bad_settings_and_another_ones_directory_end_with_one_line(tmp_path, change, says):
    async def make():
        rig = Rig(tmp_path / "rig", RigConfig(agents=0))
        await rig.start()
        await rig.stop_and_check()
        return rig

    rig = asyncio.run(make())
    path = rig.folder / "a.ini"
    new = {
        "cluster = rig": "cluster = other",
        "name = a": "name = b",
        "election = 300ms": "election = 100ms",
        "build = 2\n": "",
        "caps = 0.14": "caps = 0.9",
    }
    text = path.read_text()
    for old, to in new.items():
        if old.strip() == change:
            path.write_text(text.replace(old, to, 1))
    log = (rig.folder / "dir-a" / "log").read_bytes()
    done = cartweir("controller", "run", "-s", path)
    assert done.returncode in (1, 2) and says in done.stderr and "Traceback" not in done.stderr, done.stderr
    assert (rig.folder / "dir-a" / "log").read_bytes() == log


@rigged(agents=6, votes=False)
async def test_the_cap_is_lowered_while_the_old_owner_has_the_higher_one_on_its_lips(rig, owner):
    """It is stopped in stage 1, a build goes back meanwhile, it wakes up: no agent hears the higher cap again."""
    assert await rig.offer_build(2)
    other = other_than(rig, owner)
    while (at := (await rig.ask(other, ask="status"))["release"])["build"] == 1 or at["stage"] == 0:
        await rig.cast_votes(other, (101, 102, 103), 2, 0, pb.ON)
        await asyncio.sleep(0.2)
    await until_followed(rig, lambda row: row["stage"] == 1, 6)
    rig.send_signal(owner, signal.SIGSTOP)
    await rig.wait_for_status(lambda s: s["duties"]["release"]["owner"] not in (owner, None))
    assert await rig.cast_votes(other_than(rig, owner), (201, 202, 203), 2, 1, pb.BACK) == [pb.Verdict.OK] * 3
    await until_followed(rig, lambda row: row["phase"] in ("going back", "withdrawn"), 6)
    lowered = len(rig.followed_stages)
    rig.send_signal(owner, signal.SIGCONT)
    epoch = (await rig.wait_for_status(lambda s: s["release"]["phase"] == "WITHDRAWN"))["duties"]["release"][
        "epoch"
    ]
    await rig.wait_for_status(lambda s: s["name"] == owner and s["duties"]["release"]["epoch"] >= epoch)
    assert all(row["cap"] == 0 for row in rig.followed_stages[lowered:])


async def until_followed(rig, holds, agents):
    for _ in range(400):
        if len({row["agent"] for row in rig.followed_stages if holds(row)}) >= agents:
            return
        await asyncio.sleep(0.05)
    raise TimeoutError("not all agents followed it")


async def answers(channel):
    """Whether the receivers' process listens: it is asked with a stamp below all others."""
    try:
        await channel.unary(
            "/cartweir.v1.Steps/Run",
            pb.Step(stamp=pb.Stamp(duty="steps nobody")).SerializeToString(),
            1_000_000,
        )
    except CallError as error:
        return not error.never_ran
    return True


def test_two_controllers_that_try_one_step_at_once_carry_it_out_once(tmp_path):
    """Each under an epoch of its own, twelve calls in one moment: the target's process does it once, and says so to all others."""

    async def run():
        rig = Rig(tmp_path / "rig", RigConfig(agents=0))
        await rig.start()
        try:
            for name in rig.controller_names:
                await rig.kill(name)
            channels = [Channel(rig.listen_addresses["receivers"], 500_000) for _ in range(2)]
            while not await answers(channels[0]):
                await asyncio.sleep(0.05)
            for number, name in enumerate(rig.config.steps):

                async def ask(epoch, channel, number=number, name=name):
                    step = pb.Step(
                        stamp=pb.Stamp(duty="steps owners", epoch=epoch, index=epoch + number),
                        number=number,
                        name=name,
                    )
                    return pb.Ran.FromString(
                        (
                            await channel.unary(
                                "/cartweir.v1.Steps/Run", step.SerializeToString(), 20_000_000
                            )
                        ).message
                    ).how

                asked = [ask(900 + at % 2, channels[at % 2]) for at in range(12)]
                how = await asyncio.gather(*asked)
                assert pb.Ran.DONE in how and set(how) <= {pb.Ran.DONE, pb.Ran.LATE}
            for channel in channels:
                channel.close()
        finally:
            await rig.stop()
        rows = [json.loads(line) for line in rig.record_path.read_text().splitlines()]
        ran = [row["name"] for row in rows if row.get("how") == "run" and row["duty"] == "steps owners"]
        assert ran == list(rig.config.steps)

    asyncio.run(run())


@rigged(agents=4, votes=False)
async def test_a_vote_whose_answer_is_lost_with_its_agent_counts_once(rig, owner):
    """The agent is restarted before the answer comes, and votes under another number: one of the two that are due still lacks."""
    assert await rig.offer_build(2)
    other = other_than(rig, owner)
    await rig.wait_for_status(lambda s: s["name"] == other and s["release"]["build"] == 2)
    rig.command_proxy(f"agents-{other}", "hold", "back")
    lost = Channel(dict(zip(rig.controller_names, rig.agent_addresses))[other], 500_000)
    ballot = pb.Ballot(agent=0, build=2, stage=0, choice=pb.ON, serial=71)
    with pytest.raises(CallError):
        await lost.unary("/cartweir.v1.Conveyor/Vote", ballot.SerializeToString(), 700_000)
    lost.close()
    rig.command_proxy(f"agents-{other}", "pass")
    assert await rig.cast_votes(other, (0,), 2, 0, pb.ON) == [pb.Verdict.OK]  # its next life
    release = (await rig.ask(other, ask="status"))["release"]
    assert (release["stage"], release["votes"]) == (0, {"on": 1, "back": 0})
    assert await rig.cast_votes(other, (0, 1), 2, 0, pb.ON) == [pb.Verdict.OK] * 2
    await rig.wait_for_status(stage_is(2, 1))


@rigged(agents=4, votes=False)
async def test_an_agent_in_a_crash_loop_votes_no_stage_on_alone(rig, owner):
    assert await rig.offer_build(2)
    await until_followed(rig, lambda row: row["build"] == 2, 4)
    looping = rig.agents[0]
    looping.votes = True
    for life in range(8):
        looping.stop()
        looping.start()
        told = len(rig.acknowledged_votes)
        while len(rig.acknowledged_votes) == told:  # each life has voted
            await asyncio.sleep(0.02)
    assert {agent for agent, *_ in rig.acknowledged_votes} == {0}
    release = (await rig.ask(owner, ask="status"))["release"]
    assert (release["stage"], release["votes"]) == (0, {"on": 1, "back": 0})
    rig.agents[1].votes = True
    rig.agents[1].stop()
    rig.agents[1].start()
    await rig.wait_for_status(stage_is(2, 1))

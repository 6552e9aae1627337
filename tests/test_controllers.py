"""Controllers, receivers and agents as processes, with faults between them.

What receivers and agents saw is compared with the log that a majority of the controllers has on disk.
"""

from __future__ import annotations

import asyncio
import functools
import json
import resource
import shutil
import signal
import subprocess
import sys
from itertools import pairwise
from pathlib import Path

import pytest

from cartweir.controller.store import FILE_ID_SIZE, FRAME_HEADER
from cartweir.faults.light_agent import LightAgent
from cartweir.faults.ports import free_addresses
from cartweir.faults.rig import Rig, RigConfig, Vote
from cartweir.proto import agent_pb2 as pb
from cartweir.wire.calls import CallError, Channel, Service

ROOT = Path(__file__).parents[1]


def with_rig(seconds=60, **config):
    """Runs a test on a rig whose release has an owner; the check at its end must find no breach."""

    def wrap(test):
        def run(tmp_path):
            async def play():
                rig = Rig(tmp_path / "rig", RigConfig(**config))
                await rig.start()
                try:
                    await asyncio.wait_for(test(rig, await rig.wait_for_owner()), seconds)
                finally:
                    report = await rig.stop_and_check()
                assert not report.breaches, report.text()
                return report

            asyncio.run(play())

        run.__name__ = getattr(test, "__name__", "run")
        return run

    return wrap


def cartweir(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "cartweir", *map(str, arguments)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def other_than(rig, *names):
    return next(name for name in rig.controller_names if name not in names)


def released(build):
    return lambda s: s["release"]["build"] == build and s["release"]["phase"] == "RELEASED"


def stage_is(build, stage):
    return lambda s: s["release"]["build"] == build and s["release"]["stage"] >= stage


async def wait_for_refused_effect(rig, seconds=15):
    """Waits until a receiver has refused an effect as late."""
    for _ in range(int(seconds / 0.05)):
        if rig.record_path.exists() and any(
            '"taken": false' in line or '"how": "late"' in line
            for line in rig.record_path.read_text().splitlines()
        ):
            return
        await asyncio.sleep(0.05)
    raise TimeoutError("no effect was refused")


@with_rig()
async def test_a_release_without_faults_runs_its_steps_in_order(rig, owner):
    assert await rig.offer_build(2)
    status = await rig.wait_for_status(released(2))
    assert status["steps"]["owners"]["done"] == ["add", "copy", "drop", "check"]


@with_rig()
async def test_a_release_goes_on_while_its_owner_is_stopped_and_the_owner_catches_up(rig, owner):
    assert await rig.offer_build(2)
    await rig.wait_for_status(stage_is(2, 0))
    epoch = (await rig.wait_for_status(lambda s: True))["duties"]["release"]["epoch"]
    rig.send_signal(owner, signal.SIGSTOP)
    status = await rig.wait_for_status(lambda s: s["duties"]["release"]["epoch"] > epoch)
    assert status["duties"]["release"]["owner"] != owner
    await rig.wait_for_status(released(2))
    rig.send_signal(owner, signal.SIGCONT)
    await rig.wait_for_status(lambda s: s["name"] == owner and s["led"] and released(2)(s))


@with_rig()
async def test_a_delayed_call_of_a_former_owner_is_refused(rig, owner):
    rig.command_proxy(f"{owner}-machines", "hold", "out")
    assert await rig.offer_build(2)
    await rig.wait_for_status(stage_is(2, 0))
    # the owner cannot reach the machines, though it hears its peers: it gives the duty up
    status = await rig.wait_for_status(lambda s: s["duties"]["release"]["owner"] not in (owner, None))
    assert status["role"] == "leader" or status["led"]
    await rig.wait_for_status(stage_is(2, 1))
    rig.command_proxy(f"{owner}-machines", "pass")
    await wait_for_refused_effect(rig)
    await rig.wait_for_status(released(2))


@with_rig()
async def test_a_step_whose_answer_is_lost_with_the_owner_runs_once(rig, owner):
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


@with_rig()
async def test_no_step_runs_twice_when_the_target_is_killed_between_steps(rig, owner):
    assert await rig.offer_build(2)
    for count in range(1, 4):
        await rig.wait_for_status(lambda s, count=count: len(s["steps"]["owners"]["done"]) >= count)
        await rig.kill("receivers")
        await rig.start_process("receivers")
    await rig.wait_for_status(released(2))


@with_rig()
async def test_a_release_goes_on_after_all_controllers_and_receivers_are_killed_at_once(rig, owner):
    assert await rig.offer_build(2)
    before = await rig.wait_for_status(stage_is(2, 1))
    await asyncio.gather(*(rig.kill(name) for name in [*rig.controller_names, "receivers"]))
    await asyncio.gather(*(rig.start_process(name) for name in [*rig.controller_names, "receivers"]))
    after = await rig.wait_for_status(stage_is(2, 1))
    assert after["decided"] >= before["decided"] and after["term"] > before["term"]
    await rig.wait_for_status(released(2))


@with_rig()
async def test_a_partitioned_owner_makes_no_decisions_and_the_majority_goes_on(rig, owner):
    rig.isolate(owner)
    assert await asyncio.wait_for(_wait_for_other_owner(rig, owner), 20)
    other = other_than(rig, owner)
    assert (await rig.ask(other, ask="offer", build=2, machines=10))["taken"]
    await rig.wait_for_status(lambda s: s["name"] == owner and not s["led"])
    status = await rig.ask(owner, ask="status")
    assert status["release"]["build"] == 1 and status["role"] != "leader"
    await rig.wait_for_status(released(2))  # by agents that have reconnected to the majority
    rig.isolate(owner, "pass")
    await rig.wait_for_status(lambda s: s["name"] == owner and released(2)(s))


async def _wait_for_other_owner(rig, owner):
    return await rig.wait_for_status(
        lambda s: s["name"] != owner and s["duties"]["release"]["owner"] not in (owner, None)
    )


@with_rig()
async def test_an_owner_that_hears_its_peers_but_is_not_heard_loses_its_duty(rig, owner):
    for name in rig.controller_names:
        if name != owner:
            rig.command_proxy(f"{owner}-{name}", "hold", "out")
    await _wait_for_other_owner(rig, owner)
    # it hears the stage, but votes sent to it are lost: all twelve agents have to move to other controllers
    await rig.wait_for_status(lambda s: s["name"] == owner and not s["led"] and not s["agents"]["listening"])
    while (
        sum([(await rig.ask(name, ask="status"))["agents"]["listening"] for name in rig.controller_names])
        < 12
    ):
        await asyncio.sleep(0.05)
    assert await rig.offer_build(2)
    await rig.wait_for_status(released(2))


@with_rig()
async def test_an_election_disconnects_only_the_agents_of_the_killed_leader(rig, owner):
    """Otherwise, each election would make the whole fleet reconnect at once."""

    async def agents(count):
        return {
            name: (await rig.ask(name, ask="status"))["agents"][count]
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


@with_rig()
async def test_a_member_that_lost_its_directory_joins_again_and_votes_once_it_holds_the_log(rig, owner):
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
    assert status["members"] == {} and status["release"]["build"] == 1  # messages to it do not count yet
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


@with_rig()
async def test_a_copied_directory_at_another_address_takes_no_part(rig, owner):
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
    rig.send_signal(copied, signal.SIGSTOP)  # now only the copy sends messages under that name
    assert await rig.offer_build(2)
    await rig.wait_for_status(released(2))
    rig.send_signal(copied, signal.SIGCONT)
    status = await rig.ask("copy", ask="status")
    assert status["role"] != "leader" and status["release"]["build"] == 1
    await rig.wait_for_status(lambda s: s["name"] == copied and released(2)(s))


@pytest.mark.parametrize("member", ["leader", "another"])
def test_a_directory_restored_from_an_older_copy_is_not_used(tmp_path, member):
    with_rig()(functools.partial(_restore_older_copy, member))(tmp_path)


async def _restore_older_copy(member, rig, owner):
    leader = (await rig.wait_for_status(lambda s: s["role"] == "leader"))["name"]
    restored = leader if member == "leader" else other_than(rig, leader)
    rig.send_signal(restored, signal.SIGSTOP)
    shutil.copytree(rig.folder / f"dir-{restored}", rig.folder / "older")
    rig.send_signal(restored, signal.SIGCONT)
    assert await rig.offer_build(2)
    await rig.wait_for_status(lambda s: s["name"] == restored and stage_is(2, 1)(s))
    await rig.kill(restored)
    shutil.rmtree(rig.folder / f"dir-{restored}")
    shutil.copytree(rig.folder / "older", rig.folder / f"dir-{restored}")
    await rig.start_process(restored)
    assert await rig.processes[restored].wait() == 1
    assert "is older than the one this member used last" in (rig.folder / f"{restored}.log").read_text()
    await rig.wait_for_status(released(2))


@with_rig()
async def test_a_full_disk_ends_the_owner_and_loses_no_decision(rig, owner):
    size = (rig.folder / f"{owner}.log").stat().st_size + 3000  # more than its own log file grows to
    resource.prlimit(rig.processes[owner].pid, resource.RLIMIT_FSIZE, (size, size))
    # without answers of the machines the stage stays, and the agents' votes fill the log
    rig.command_proxy(f"{owner}-machines", "hold")
    assert await rig.offer_build(2)
    assert await rig.processes[owner].wait() == 1
    last = (rig.folder / f"{owner}.log").read_text().splitlines()[-1]
    assert "is not on disk" in last and "File too large" in last
    rig.command_proxy(f"{owner}-machines", "pass")
    await rig.start_process(owner)
    await rig.wait_for_status(released(2))
    await rig.wait_for_status(lambda s: s["name"] == owner and released(2)(s))


@with_rig()
async def test_an_owner_with_a_slow_disk_loses_its_duty_and_the_release_goes_on(rig, owner):
    """Each fsync takes four times the election time-out, so another member leads meanwhile."""
    rig.set_disk_fault(owner, slow=1.2)
    assert await rig.offer_build(2) or await rig.offer_build(2)
    assert await _wait_for_other_owner(rig, owner)
    await rig.wait_for_status(released(2))
    rig.set_disk_fault(owner)
    await rig.wait_for_status(lambda s: s["name"] == owner and s["led"] and released(2)(s))


@with_rig(election=700)
async def test_a_peer_with_a_slow_disk_delays_no_other_member(rig, owner):
    slow = other_than(rig, owner)
    epoch = (await rig.wait_for_status(lambda s: s["name"] == owner and s["duties"]["release"]["epoch"]))[
        "duties"
    ]["release"]["epoch"]
    rig.set_disk_fault(slow, slow=0.25)  # below the election time-out: it stays a member, and answers late
    assert await rig.offer_build(2)
    status = await rig.wait_for_status(released(2))
    assert (status["duties"]["release"]["owner"], status["duties"]["release"]["epoch"]) == (owner, epoch)
    rig.set_disk_fault(slow)
    await rig.wait_for_status(lambda s: s["name"] == slow and released(2)(s))


@pytest.mark.parametrize("how", ["SIGKILL", "SIGSTOP"])
def test_an_owner_is_killed_or_stopped_during_a_write(tmp_path, how):
    """Half of a write is on its disk: acknowledged decisions stay, the incomplete one is cut off or ended."""

    @with_rig()
    async def test(rig, owner):
        assert await rig.offer_build(2)
        await rig.wait_for_status(stage_is(2, 0))
        log = rig.folder / f"dir-{owner}" / "log"
        rig.set_disk_fault(owner, tear=how)
        while (rig.folder / f"{owner}.disk").exists():  # it is removed when the write is torn
            await asyncio.sleep(0.01)
        if how == "SIGKILL":
            assert await rig.processes[owner].wait() == -signal.SIGKILL
            assert is_truncated(log.read_bytes())
        assert await _wait_for_other_owner(rig, owner)
        await rig.wait_for_status(lambda s: s["name"] != owner and stage_is(2, 1)(s))
        if how == "SIGKILL":
            await rig.start_process(owner)
        else:
            assert is_truncated(log.read_bytes())  # the process has been stopped all the time
            rig.send_signal(owner, signal.SIGCONT)
        await rig.wait_for_status(lambda s: s["name"] == owner and released(2)(s))

    test(tmp_path)


@pytest.mark.parametrize("how", ["SIGKILL", "SIGSTOP"])
def test_the_leader_is_killed_or_stopped_while_it_writes_the_deciding_vote(tmp_path, how):
    """Half of the vote is on its disk and no answer was sent: sent again, the vote counts once."""

    @with_rig(agents=6, votes=False)
    async def test(rig, owner):
        assert await rig.offer_build(2)
        leader = (await rig.wait_for_status(lambda s: s["role"] == "leader" and stage_is(2, 0)(s)))["name"]
        other = other_than(rig, leader)
        await wait_until_followed(rig, lambda row: row["build"] == 2, 6)
        # three are needed
        assert await rig.cast_votes(other, (101, 102), Vote(2, 0, pb.ON)) == [pb.Verdict.OK] * 2
        await rig.wait_for_status(lambda s: s["name"] == leader and s["release"]["votes"]["on"] == 2)
        rig.set_disk_fault(leader, tear=how)
        assert await rig.cast_votes(other, (103,), Vote(2, 0, pb.ON)) == [pb.Verdict.OK]
        rig.acknowledged_votes += [
            (agent, 2, 0) for agent in (101, 102, 103)
        ]  # the check looks for them in the log
        assert not (rig.folder / f"{leader}.disk").exists()  # it was torn
        if how == "SIGKILL":
            assert await rig.processes[leader].wait() == -signal.SIGKILL
            await rig.start_process(leader)
        else:
            rig.send_signal(leader, signal.SIGCONT)
        # votes count for 5 s: if the election took longer, others are sent again, as agents do
        while (at := (await rig.ask(other, ask="status"))["release"])["stage"] == 0:
            await rig.cast_votes(other, (104, 105, 106), Vote(2, 0, pb.ON))
            await asyncio.sleep(0.2)
        assert (at["build"], at["stage"]) == (2, 1)
        await rig.wait_for_status(lambda s: s["name"] == leader and s["led"] and stage_is(2, 1)(s))

    test(tmp_path)


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGSTOP])
def test_the_owner_is_killed_or_stopped_when_some_agents_know_the_stage(tmp_path, how):
    """Its messages to its own agents arrive only after all agents have followed later decisions."""

    @with_rig(agents=9)
    async def test(rig, owner):
        rig.command_proxy(f"agents-{owner}", "hold", "back")
        assert await rig.offer_build(2)
        await wait_until_followed(rig, lambda row: row["build"] == 2, 1)
        rig.send_signal(owner, how)
        await rig.wait_for_status(
            lambda s: s["name"] != owner and s["duties"]["release"]["owner"] not in (owner, None)
        )
        await wait_until_followed(rig, lambda row: row["build"] == 2 and row["stage"] == 2, 9)
        rig.command_proxy(f"agents-{owner}", "pass")
        if how == signal.SIGSTOP:
            rig.send_signal(owner, signal.SIGCONT)
        else:
            await rig.start_process(owner)
        await rig.wait_for_status(released(2))
        await rig.wait_for_status(lambda s: s["name"] == owner and released(2)(s))

    test(tmp_path)


@with_rig()
async def test_an_owner_that_is_cut_off_from_agents_only_keeps_its_duty(rig, owner):
    """It reaches its peers and the machines, and agents learn its decisions from the other controllers."""
    rig.command_proxy(f"agents-{owner}", "mute")
    epoch = (await rig.wait_for_status(lambda s: s["duties"]["release"]["epoch"]))["duties"]["release"][
        "epoch"
    ]
    assert await rig.offer_build(2)
    status = await rig.wait_for_status(released(2))
    assert (status["duties"]["release"]["owner"], status["duties"]["release"]["epoch"]) == (owner, epoch)
    await wait_until_followed(rig, lambda row: row["build"] == 2 and row["phase"] == "released", 12)


@with_rig()
async def test_an_owner_of_steps_that_cannot_reach_their_target_gives_the_duty_up(rig, owner):
    steps_owner = await rig.wait_for_owner("steps owners")
    rig.command_proxy(f"{steps_owner}-steps", "mute")
    assert await rig.offer_build(2)
    status = await rig.wait_for_status(
        lambda s: s["duties"]["steps owners"]["owner"] not in (steps_owner, None)
    )
    assert steps_owner in status["members"] and status["members"][steps_owner]["votes"]
    await rig.wait_for_status(released(2))
    assert rig.record_path.read_text().count('"kind": "step"') == 4


@with_rig()
async def test_steps_run_once_when_their_owner_is_stopped_during_one_and_resumes_later(rig, owner):
    steps_owner = await rig.wait_for_owner("steps owners")
    # its call for the first step is delayed in the network
    rig.command_proxy(f"{steps_owner}-steps", "hold", "out")
    assert await rig.offer_build(2)
    await rig.wait_for_status(lambda s: s["steps"]["owners"]["how"] == "begun")
    rig.send_signal(steps_owner, signal.SIGSTOP)
    await rig.wait_for_status(lambda s: s["name"] != steps_owner and len(s["steps"]["owners"]["done"]) == 4)
    rig.command_proxy(f"{steps_owner}-steps", "pass")
    rig.send_signal(steps_owner, signal.SIGCONT)
    await rig.wait_for_status(released(2))
    ran = [
        row for row in map(json.loads, rig.record_path.read_text().splitlines()) if row.get("how") == "run"
    ]
    assert [row["name"] for row in ran] == ["add", "copy", "drop", "check"]


@pytest.mark.parametrize("step", [0, 2])
def test_a_step_whose_record_is_torn_is_run_again_once(tmp_path, step):
    """The line of the record is the step itself: with half of it on disk, the step has not been run."""

    @with_rig()
    async def test(rig, owner):
        for name in rig.controller_names:
            rig.command_proxy(f"{name}-machines", "hold")  # so that only steps are written
        if step:
            # so that there is time to kill the target at a step in the middle
            rig.command_proxy(f"{await rig.wait_for_owner('steps owners')}-steps", "delay", "300ms")
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


def is_truncated(log):
    """Whether the last frame of a log is incomplete."""
    offset = FILE_ID_SIZE
    while offset < len(log):
        if offset + FRAME_HEADER.size > len(log):
            return True
        offset += FRAME_HEADER.size + FRAME_HEADER.unpack_from(log, offset)[0]
    return offset > len(log)


@with_rig()
async def test_hand_over_changes_the_owner_three_times_within_a_stage(rig, owner):
    for agent in rig.agents:
        agent.votes = False
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
        # compared with the last epoch seen: the next status may come from a member that lags
        status = await rig.wait_for_status(lambda s, epoch=epoch: s["duties"]["release"]["epoch"] > epoch)
        epoch = status["duties"]["release"]["epoch"]
        seen.append(status["duties"]["release"]["owner"])
    assert all(earlier != later for earlier, later in pairwise(seen))
    # the member that is asked next has to have caught up
    await rig.wait_for_status(lambda s: s["name"] == owner and s["duties"]["release"]["epoch"] == epoch)
    rows = await rig.ask(owner, ask="history")
    assert [row["why"] for row in rows if row["duty"] == "release"].count("asked for") == 3


def test_recover_starts_an_incarnation_above_all_epochs(tmp_path):
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
            assert not status["led"] and not await rig.offer_build(3)  # it is no majority
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
            await rig.start_process(lost)  # messages of a member of the old incarnation are rejected
            await rig.wait_for_status(lambda s: s["name"] == left and released(2)(s))
            status = await rig.wait_for_status(lambda s: s["name"] == lost)  # once it can be asked
            assert status["role"] != "leader" and status["incarnation"] == 0
        finally:
            await rig.stop()

    asyncio.run(play())


def test_the_check_finds_receivers_without_a_fence(tmp_path):
    """The same delayed call as above, at receivers that accept late effects: the check has to find it."""

    async def play():
        rig = Rig(tmp_path / "rig", RigConfig(unfenced=True))
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
            report = await rig.stop_and_check()
        assert any("was carried out after" in breach for breach in report.breaches), report.text()

    asyncio.run(asyncio.wait_for(play(), 60))


@pytest.mark.parametrize("silent_first", [True, False])
def test_a_ballot_is_sent_to_the_next_controller_when_one_does_not_answer(silent_first):
    """A controller that hears its peers and is not heard sends stages, but never answers a ballot."""

    def controller(answers):
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
        (silent, unanswered, first), (answering, answered, second) = controller(False), controller(True)
        events = []
        agent = LightAgent(0, [first, second], lambda event, **facts: events.append(event))
        agent.conveyor._current = agent.conveyor._answered_last = 0 if silent_first else 1
        while "vote" not in events:
            await asyncio.sleep(0.01)
        # the same ballot, with the same serial number
        assert len(answered) == 1 and set(unanswered) <= set(answered)
        while len(answered) < 3:
            await asyncio.sleep(0.01)
        assert len(unanswered) == int(silent_first)  # later ballots go first to the controller that answered
        agent.close()
        silent.shutdown()
        answering.shutdown()

    asyncio.run(asyncio.wait_for(play(), 5))


@pytest.mark.parametrize(
    "change, message",
    [
        ("cluster = rig", "of cluster rig"),
        ("name = a", "of name a"),
        ("election = 300ms", "at least three heartbeats"),
        ("build = 2", "build: missing"),
        ("caps = 0.14", "caps"),
    ],
)
def test_bad_settings_and_another_members_directory_end_with_one_line(tmp_path, change, message):
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
    assert done.returncode in (1, 2) and message in done.stderr and "Traceback" not in done.stderr, (
        done.stderr
    )
    assert (rig.folder / "dir-a" / "log").read_bytes() == log


@with_rig(agents=6, votes=False)
async def test_no_agent_follows_a_former_owners_higher_cap_after_the_cap_was_lowered(rig, owner):
    """The owner is stopped in stage 1, the build is withdrawn meanwhile, then the owner resumes."""
    assert await rig.offer_build(2)
    other = other_than(rig, owner)
    while (at := (await rig.ask(other, ask="status"))["release"])["build"] == 1 or at["stage"] == 0:
        await rig.cast_votes(other, (101, 102, 103), Vote(2, 0, pb.ON))
        await asyncio.sleep(0.2)
    await wait_until_followed(rig, lambda row: row["stage"] == 1, 6)
    rig.send_signal(owner, signal.SIGSTOP)
    await rig.wait_for_status(lambda s: s["duties"]["release"]["owner"] not in (owner, None))
    assert (
        await rig.cast_votes(other_than(rig, owner), (201, 202, 203), Vote(2, 1, pb.BACK))
        == [pb.Verdict.OK] * 3
    )
    await wait_until_followed(rig, lambda row: row["phase"] in ("going back", "withdrawn"), 6)
    lowered = len(rig.followed_stages)
    rig.send_signal(owner, signal.SIGCONT)
    epoch = (await rig.wait_for_status(lambda s: s["release"]["phase"] == "WITHDRAWN"))["duties"]["release"][
        "epoch"
    ]
    await rig.wait_for_status(lambda s: s["name"] == owner and s["duties"]["release"]["epoch"] >= epoch)
    assert all(row["cap"] == 0 for row in rig.followed_stages[lowered:])


async def wait_until_followed(rig, condition, agents):
    for _ in range(400):
        if len({row["agent"] for row in rig.followed_stages if condition(row)}) >= agents:
            return
        await asyncio.sleep(0.05)
    raise TimeoutError(f"fewer than {agents} agents followed the stage")


async def listens(channel):
    """Whether the receivers' process listens: it gets a call with a token below all others."""
    try:
        await channel.unary(
            "/cartweir.v1.Steps/Run",
            pb.Step(stamp=pb.Stamp(duty="steps nobody")).SerializeToString(),
            1_000_000,
        )
    except CallError as error:
        return not error.never_ran
    return True


def test_a_step_that_two_controllers_request_at_once_runs_once(tmp_path):
    """Twelve calls at once under two epochs: the target runs the step once."""

    async def run():
        rig = Rig(tmp_path / "rig", RigConfig(agents=0))
        await rig.start()
        try:
            for name in rig.controller_names:
                await rig.kill(name)
            channels = [Channel(rig.listen_addresses["receivers"], 500_000) for _ in range(2)]
            while not await listens(channels[0]):
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

                asked = [ask(900 + call % 2, channels[call % 2]) for call in range(12)]
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


@with_rig(agents=4, votes=False)
async def test_a_vote_whose_answer_is_lost_with_its_agent_counts_once(rig, owner):
    """The agent is restarted before the answer, and votes again under another serial number.

    Two votes are needed, so the second one is still missing.
    """
    assert await rig.offer_build(2)
    other = other_than(rig, owner)
    await rig.wait_for_status(lambda s: s["name"] == other and s["release"]["build"] == 2)
    rig.command_proxy(f"agents-{other}", "hold", "back")
    lost = Channel(dict(zip(rig.controller_names, rig.agent_addresses, strict=True))[other], 500_000)
    ballot = pb.Ballot(agent=0, build=2, stage=0, choice=pb.ON, serial=71)
    with pytest.raises(CallError):
        await lost.unary("/cartweir.v1.Conveyor/Vote", ballot.SerializeToString(), 700_000)
    lost.close()
    rig.command_proxy(f"agents-{other}", "pass")
    assert await rig.cast_votes(other, (0,), Vote(2, 0, pb.ON)) == [pb.Verdict.OK]  # after its restart
    release = (await rig.ask(other, ask="status"))["release"]
    assert (release["stage"], release["votes"]) == (0, {"on": 1, "back": 0})
    assert await rig.cast_votes(other, (0, 1), Vote(2, 0, pb.ON)) == [pb.Verdict.OK] * 2
    await rig.wait_for_status(stage_is(2, 1))


@with_rig(agents=4, votes=False)
async def test_an_agent_in_a_crash_loop_does_not_advance_a_stage_alone(rig, owner):
    assert await rig.offer_build(2)
    await wait_until_followed(rig, lambda row: row["build"] == 2, 4)
    looping = rig.agents[0]
    looping.votes = True
    for _ in range(8):
        looping.stop()
        looping.start()
        acknowledged = len(rig.acknowledged_votes)
        while len(rig.acknowledged_votes) == acknowledged:  # until it has voted after this start
            await asyncio.sleep(0.02)
    assert {agent for agent, *_ in rig.acknowledged_votes} == {0}
    release = (await rig.ask(owner, ask="status"))["release"]
    assert (release["stage"], release["votes"]) == (0, {"on": 1, "back": 0})
    rig.agents[1].votes = True
    rig.agents[1].stop()
    rig.agents[1].start()
    await rig.wait_for_status(stage_is(2, 1))

"""System calls of real agents that fail: each failure that the soak found has its test, named after it."""

from __future__ import annotations

import pytest

from cartweir.soak.hostile_plan import Attack
from cartweir.soak.plan import CallFault, ProcessPlan
from cartweir.soak.result import Result
from cartweir.soak.run import play
from cartweir.soak.schedule import (
    HOSTILE_CROWD,
    RELOAD_AGENTS,
    SECOND,
    STOP_AGENTS,
    Action,
    Deployment,
    Schedule,
)

AGENTS = 2
ACCEPT_PAUSE_SECONDS = 0.01
SMALL = Deployment(agents=AGENTS, servers=3, load=0.5, mean_work=20_000)
RESTART = Action(2.0, STOP_AGENTS, (0, 1))


def play_failing(folder, *faults: tuple[str, str, float, float], actions=()) -> Result:
    """Plays a short run in which calls of all agents fail: call, error, share, seconds from the start."""
    calls = [
        CallFault(call, error, 0, int(seconds * SECOND), share) for call, error, share, seconds in faults
    ]
    plans = [ProcessPlan(number, (), calls) for number in range(AGENTS)]
    result = play(Schedule(1, 4.0, SMALL, actions, plans), folder)
    assert result.faults and result.endings["answered 200"] > 100, result.text()
    return result


@pytest.mark.parametrize("error", ["ENOSPC", "EIO"])
def test_a_log_on_a_full_disk_keeps_no_agent_from_its_work_or_its_end(tmp_path, error):
    """The first line of the log that failed raised in the middle of SIGTERM's handler."""
    result = play_failing(tmp_path, ("log", error, 1.0, 60.0), actions=[RESTART])
    assert result.breaches == [], result.text()


def test_a_log_tells_how_many_lines_it_lost(tmp_path):
    """Each agent logs a line while its log fails, and ends after that."""
    reload = Action(0.3, RELOAD_AGENTS, range(AGENTS))
    play_failing(tmp_path, ("log", "ENOSPC", 1.0, RESTART.at), actions=[reload, RESTART])
    logs = [path.read_text() for path in tmp_path.glob("agent*/log-0.txt")]
    assert len(logs) == AGENTS
    assert all("log_lost lines=" in log for log in logs), logs


@pytest.mark.parametrize("error", ["ENOBUFS", "ENOMEM", "EINTR", "SHORT"])
def test_a_send_that_fails_for_a_moment_loses_no_answer(tmp_path, error):
    """ENOBUFS closed the client's connection in place of its answer."""
    result = play_failing(tmp_path, ("send", error, 0.2, 60.0))
    assert result.breaches == [], result.text()


@pytest.mark.parametrize("error", ["ENOMEM", "ENOBUFS", "EMFILE", "ENFILE"])
def test_accept_that_fails_for_want_of_resources_is_not_called_in_a_busy_loop(tmp_path, error):
    """It was called 80,000 times a second, and requests of other clients were answered late."""
    seconds = 1.0
    result = play_failing(tmp_path, ("accept", error, 1.0, seconds))
    calls = result.faults[f"accept {error}"]
    assert calls <= 2 * AGENTS * seconds / ACCEPT_PAUSE_SECONDS, result.text()


@pytest.mark.parametrize("error", ["ECONNABORTED", "EINTR", "ENOMEM"])
def test_connections_that_wait_as_accept_fails_are_served(tmp_path, error):
    result = play_failing(tmp_path, ("accept", error, 0.5, 60.0), actions=[RESTART])
    assert result.breaches == [], result.text()


def test_usual_clients_waited_in_the_queue_behind_a_hostile_crowd_while_some_accepts_failed(tmp_path):
    """Each failure paused for 10 ms, in which hundreds of hostile clients came again."""
    crowd = Action(0.5, HOSTILE_CROWD, (0,), 3.0, 300, Attack.ENDLESS_TRAILERS)
    result = play_failing(tmp_path, ("accept", "EMFILE", 0.3, 60.0), actions=[crowd])
    assert result.breaches == [], result.text()


def test_time_for_which_a_connection_could_not_be_accepted_counts_against_its_deadline(tmp_path):
    """A server was told 260 ms where the client had 91 ms left."""
    result = play_failing(tmp_path, ("accept", "ENOBUFS", 1.0, 0.6))
    assert result.breaches == [], result.text()


def test_a_send_that_finds_no_buffers_is_not_repeated_in_a_busy_loop(tmp_path):
    """The socket is writable all the while; send was called 100,000 times a second."""
    seconds = 0.5
    result = play_failing(tmp_path, ("send", "ENOBUFS", 1.0, seconds))
    most_connections = 200
    assert result.faults["send ENOBUFS"] <= most_connections * seconds / 0.005, result.text()


def test_a_request_that_could_not_be_written_at_once_is_not_sent_with_its_old_time(tmp_path):
    """A server was told 988 ms where the client had 809 ms left."""
    result = play_failing(tmp_path, ("send", "ENOBUFS", 1.0, 0.25))
    assert [str(breach) for breach in result.breaches if "told" in breach.what] == [], result.text()

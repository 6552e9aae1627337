"""The simulator's adapter as a process: it answers a batch, and ends with one message on malformed input."""

import json
import subprocess
import sys

import pytest

PARAMS = json.dumps(
    {
        "classes": [{"name": "view", "effect": "retryable", "aim": 1000.0, "hardLimit": 3000.0}],
        "familyInfo": {"control": "first_voice"},
        "unheard": {"of": 1},
        "tick": 5.0,
    }
)
START = (
    f"TURN\tclock=10\nSPAWN\tagent=agent_0\trngSeed=7\tparams={PARAMS}\n"
    "POOL\tsheet=3\trows=1\nENTRY\tappliance=appliance.x\truns=4\tphase=ready\tnovel=1\n"
    "REGISTRY\tagent=agent_0\thow=disk\tversion=1\tsheet=3\n"
    "RELEASE_STATE\tagent=agent_0\tbuild=4\tring=0\twhereAt=2\tcap=1\n"
    "INGRESS\tagent=agent_0\trequestId=9\tservice=view\tleft=2500.5\nOVER_TO_YOU\n"
)


def run_drill(text: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-B", "-m", "cartweir.drill"], input=text.encode(), capture_output=True, check=False
    )


def test_a_batch_is_answered():
    done = run_drill(
        START + "TURN\tclock=12.5\nEXPIRED\tagent=agent_0\trequestId=77\nDESTROY\tagent=agent_0\n"
        "OVER_TO_YOU\n"
    )
    assert done.returncode == 0 and done.stderr == b""
    assert "SEND\tagent=agent_0\trequestId=9\tappliance=appliance.x" in done.stdout.decode()
    assert done.stdout.decode().count("ACK\n") == 2


@pytest.mark.parametrize(
    "line, reason",
    [
        ("NOISE\ta=1", "unknown message 'NOISE'"),
        ("EXPIRED\tagent=agent_0", "requestId is missing"),
        ("EXPIRED\tagent=agent_0\trequestId=x", "requestId is malformed"),
        ("EXPIRED\tagent=agent_4\trequestId=1", "'agent_4', which is not running"),
        ("REGISTRY\tagent=agent_0\thow=diff\tsheet=9", "sheet 9 was never sent"),
        ("SPAWN\tagent=agent_1\trngSeed=1\tparams={", "params is malformed"),
    ],
)
def test_malformed_input_ends_with_one_message(line, reason):
    done = run_drill(START + f"TURN\tclock=20\n{line}\nOVER_TO_YOU\n")
    text = done.stderr.decode()
    assert done.returncode == 1 and reason in text
    assert text.count("\n") == 1 and "line 10" in text

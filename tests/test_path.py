"""The ordinary path keeps to its budget, and what would break it is seen."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest
from peers import ROOT


def measured(*flaw):
    done = subprocess.run(
        [sys.executable, "benchmarks/path.py", "--json", *flaw],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return done.returncode, json.loads(done.stdout), done.stderr


def test_a_call_costs_no_more_than_its_budget():
    code, rows, said = measured()
    assert code == 0, said
    assert [row["sends"] for row in rows if row["burst"] == 1] == [2.0, 2.0]


@pytest.mark.parametrize(
    "flaw, told", [("syscall", "sends"), ("leak", "kept_blocks"), ("cycle", "left_to_collector")]
)
def test_a_seeded_fault_is_past_the_budget(flaw, told):
    code, _, said = measured("--flaw", flaw)
    assert code == 1 and f": {told} " in said

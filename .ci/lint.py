"""Runs the formatter and the linter, and keeps the list of files that are not clean yet.

`lint-pending.txt` names, one a line, the files that were written before the checks. A finding in any
other file fails, and so does a listed file that is clean or gone: its line is to be removed. So the list can
only shrink. The rules and their exceptions are in `pyproject.toml`.
"""

from __future__ import annotations

import json
import subprocess
import sys
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PENDING = Path(__file__).with_name("lint-pending.txt")

# exit codes of ruff
CLEAN = 0
FINDINGS = 1


def ruff(*arguments: str) -> str:
    """Runs ruff at the root and returns its standard output."""
    command = [sys.executable, "-m", "ruff", *arguments]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    if result.returncode not in (CLEAN, FINDINGS):
        sys.exit(f"lint: `ruff {' '.join(arguments)}` failed: {result.stderr.strip()}")
    return result.stdout


def relative(filename: str) -> str:
    """Returns the path of a file below the root, as the list names it."""
    return (ROOT / filename).resolve().relative_to(ROOT).as_posix()


def findings() -> dict[str, list[str]]:
    """Returns the messages of the linter and the formatter by file; a clean file has none."""
    found: dict[str, list[str]] = defaultdict(list)
    for report in json.loads(ruff("check", "--output-format", "json", ".")):
        path = relative(report["filename"])
        found[path].append(f"{path}:{report['location']['row']}: {report['code']} {report['message']}")
    for report in json.loads(ruff("format", "--check", "--output-format", "json", ".")):
        path = relative(report["filename"])
        found[path].append(f"{path}:{report['location']['row']}: {report['code']}; run `ruff format {path}`")
    return found


def pending() -> set[str]:
    """Returns the files that need not be clean yet."""
    lines = PENDING.read_text().splitlines()
    return {line for line in lines if line and not line.startswith("#")}


def violations(found: dict[str, list[str]], listed: set[str]) -> list[str]:
    """Returns what is wrong: findings in files that are not listed, and listed files without findings."""
    wrong = [message for path in sorted(found.keys() - listed) for message in found[path]]
    for path in sorted(listed - found.keys()):
        state = "is clean" if (ROOT / path).is_file() else "does not exist"
        wrong.append(f"{PENDING.name}: {path} {state}; remove its line")
    return wrong


def main() -> None:
    """Prints the violations and exits with 1 if there are any."""
    found, listed = findings(), pending()
    wrong = violations(found, listed)
    for message in wrong:
        print(message, file=sys.stderr)
    if wrong:
        sys.exit(f"lint: {len(wrong)} violations")
    print(f"lint: clean, but for {len(listed)} files in {PENDING.relative_to(ROOT)}")


if __name__ == "__main__":
    main()

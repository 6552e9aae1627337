#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
case=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case/../.." || exit 2
test -x .venv/bin/python || { echo "the case could not run: no build" >&2; exit 2; }
check='import asyncio, tomllib; from standins import appliances, clients, platform, proxy; asyncio.timeout'
PYTHONPATH=review .venv/bin/python -B -c "$check" || { echo "the case could not run: stand-ins" >&2; exit 2; }
exec env PYTHONPATH=review .venv/bin/python -B "$case/case.py"

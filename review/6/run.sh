#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0: no disruption.
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
cd "$here/../.." || exit 2
.venv/bin/python -B -s -c 'import sys; sys.path.insert(0, "review/second"); import standins' || exit 2
exec .venv/bin/python -B -s "$here/case.py"

#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python of the
# standard library alone, run by the interpreter of that build: they are compiled here, so that a fault shows.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -s -m compileall -q review/second review/6 review/7 review/8 review/9 review/10

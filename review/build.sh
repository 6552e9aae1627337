#!/usr/bin/env bash
# Builds what the cases start besides the agent: their stand-ins are Python files that need no package.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins

#!/bin/sh
# Builds the stand-ins of the cases 6 and up, after the build of the deploy file: they need Python and nothing else.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/stand_ins.py review/[6-9]

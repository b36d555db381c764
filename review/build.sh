#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file: they are Python files, so they are compiled.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review scaledeal

#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
exec .venv/bin/python review/3/case.py

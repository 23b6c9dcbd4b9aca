#!/bin/sh
# Runs this case: 0 the rule held, 1 it was broken, 2 the case could not run.  TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../../target/deps:../support-2
python3 -S -c "import system" || exit 2 # the builds have not run
exec python3 -S case.py

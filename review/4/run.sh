#!/bin/sh
# Runs this case: 0 the rule held, 1 it was broken, 2 the case could not run.  TROUBLE=0: without the disruption.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../../target/deps:../support-2 exec python3 -S case.py

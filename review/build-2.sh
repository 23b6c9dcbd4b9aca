#!/bin/sh
# Builds what the scripts of the second review start: their stand-ins, in Python, with the libraries of the deploy
# file's build.  None of the project's own stand-ins is used.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -S -m compileall -q review/support-2 review/[4-8]
PYTHONPATH=target/deps:review/support-2 python3 -S -c "import system"

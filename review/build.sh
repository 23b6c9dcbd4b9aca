#!/bin/sh
# Compiles the stand-ins of the cases.  They need the standard library only.
cd "$(dirname "$0")" && python3 -m compileall -q . || true

#!/bin/sh
# Builds the stand-ins of the scripts.  They are plain Python files that use the
# standard library only, so that this compiles them and checks that they load.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib 1 2 3
PYTHONPATH=lib python3 -c 'import httpwire, platform_standin, deployment'

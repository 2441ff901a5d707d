#!/bin/sh
# Builds the stand-ins of the scripts. They use the standard library alone, so they are only checked
# and compiled; the programs under test come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]*/

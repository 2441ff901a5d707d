#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. They need Python alone.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q harness-3
for case in 11 12 13 14 15; do
    if [ -f "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done

#!/bin/sh
# Routes come and go while a service has a release order; then one tenant sends more than its rate.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps/berylbankd ] && [ -f ../harness-3/fleet.py ] || exit 2
exec python3 -B case.py

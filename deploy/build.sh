#!/bin/sh
# Puts the daemon and the libraries it runs on under target/deps.
set -eu
stamp=target/deps/.installed
if [ ! -f "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ]; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -r deploy/requirements.txt
    touch "$stamp"
fi
rm -rf target/deps/berylbank target/deps/berylbankd
cp -r packages/berylbank/src/berylbank packages/berylbankd/src/berylbankd target/deps/
# The VMs have no place for compiled modules, and each start would compile them anew.
python3 -m compileall -q --invalidation-mode unchecked-hash \
    target/deps/berylbank target/deps/berylbankd

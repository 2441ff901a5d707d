#!/bin/sh
# Routes come and go while a service has a release order; then a bad version of another service.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py

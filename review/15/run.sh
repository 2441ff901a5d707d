#!/bin/sh
# Many clients come at once and read long responses slowly.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py

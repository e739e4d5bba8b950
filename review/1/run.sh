#!/usr/bin/env bash
# Leaves one empty entry in the store, changes the configuration, and restarts a gateway.
cd "$(dirname "$0")" || exit 2
../build.sh || exit 2
exec python3 -B case.py "$PWD"

#!/usr/bin/env bash
# Leaves one odd entry in the store and watches the memory of the gateways.
cd "$(dirname "$0")" || exit 2
../build.sh || exit 2
exec python3 -B case.py "$PWD"

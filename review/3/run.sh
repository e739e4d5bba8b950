#!/usr/bin/env bash
# Stops gateways by SIGTERM while consumers use addresses that they have looked up shortly before.
cd "$(dirname "$0")" || exit 2
../build.sh || exit 2
exec python3 -B case.py "$PWD"

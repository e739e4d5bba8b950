#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs (standard library only), so nothing is compiled.
# Checks that the interpreter is there and that stand-ins and cases can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c '
import sys
sys.path.insert(0, "standins")
import config, consumer, deployment, http11, memory, rank_group, replica, store
for case in "12345":
    with open(case + "/case.py", encoding="utf-8") as file:
        compile(file.read(), file.name, "exec")
'

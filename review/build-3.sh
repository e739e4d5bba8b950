#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are Python scripts: nothing is compiled. Checks that this machine
# can run them and that the programs of the deploy file are built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import ast, glob, os, sys, tomllib
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in sorted(glob.glob("review/standins-3/*.py") + glob.glob("review/1[1-5]/case.py")):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
with open("deploy/system.toml", "rb") as file:
    roles = tomllib.load(file)["roles"]
for role in roles.values():
    program = role["run"].split()[0]
    if not os.access(program, os.X_OK):
        sys.exit(f"{program} is not built: run the build of deploy/system.toml first")
PYTHON

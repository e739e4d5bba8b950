#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10. They are Python programs of the standard library, so this
# only checks that the interpreter can run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys
import tomllib

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in [*pathlib.Path("standins-2").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/case.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON

"""Prints each source file named on standard input with a key for its lint result.

The key covers the file, the project's headers that it includes directly or not, and the linter's
settings.
"""

import functools
import glob
import hashlib
import os
import re
import sys

INCLUDE = re.compile(r'^#include "([^"]+)"', re.MULTILINE)
ROOTS = glob.glob("libs/*/include")


def resolve(name, folder):
    for root in [folder, *ROOTS]:
        path = os.path.join(root, name)
        if os.path.exists(path):
            return path
    return None


@functools.lru_cache(maxsize=None)
def read(path):
    with open(path, encoding="utf-8") as file:
        return file.read()


def closure(path):
    seen = {}
    pending = [path]
    while pending:
        current = pending.pop()
        if current in seen:
            continue
        seen[current] = read(current)
        for name in INCLUDE.findall(seen[current]):
            found = resolve(name, os.path.dirname(current))
            if found:
                pending.append(found)
    return seen


def main():
    settings = read(".clang-tidy")
    for line in sys.stdin:
        path = line.strip()
        digest = hashlib.sha256(settings.encode())
        for name, text in sorted(closure(path).items()):
            digest.update(name.encode() + b"\0" + text.encode() + b"\0")
        print(path, digest.hexdigest())


main()

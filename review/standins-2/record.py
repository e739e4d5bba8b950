"""The record of a case: what was sent, answered and run, with seconds since the start."""

import time


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

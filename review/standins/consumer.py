"""Requests of consumers, and what they see of the answers."""

import asyncio
import os

from deployment import HOST, KEY
from http11 import read_chunk, read_head


class Outcome:
    """What a consumer saw: `status`, the bytes, and whether the answer was complete."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.why = ""


def attempt_id():
    return os.urandom(8).hex()


def request_bytes(method, path, attempt, deadline_ms, body=b"", more=None):
    fields = {"Host": HOST, "X-Quincebank-Attempt-Id": attempt,
              "X-Quincebank-Deadline-Ms": deadline_ms, "Authorization": "Token " + KEY,
              **(more or {})}
    if body or method == "POST":
        fields["Content-Length"] = len(body)
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader, outcome):
    head = await read_head(reader)
    if head is None:
        outcome.why = "the channel ended without an answer"
        return
    outcome.status, outcome.headers = int(head[0].split(" ")[1]), head[1]
    if "chunked" not in head[1].get("transfer-encoding", ""):
        outcome.body = await reader.readexactly(int(head[1].get("content-length", 0)))
        outcome.complete = True
        return
    while True:
        chunk = await read_chunk(reader)
        if not chunk:
            outcome.complete = True
            return
        outcome.body += chunk


class Channel:
    """A channel that a consumer keeps for further requests."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None
        self.answers = 0

    async def ask(self, data, wait_s, connect_s=1.0):
        outcome = Outcome()
        host, port = self.address.rsplit(":", 1)
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port)), connect_s)
        except (OSError, asyncio.TimeoutError):
            outcome.why = "no connection"
            return outcome
        try:
            self.writer.write(data)
            await asyncio.wait_for(read_answer(self.reader, outcome), wait_s)
        except asyncio.TimeoutError:
            outcome.why = "no answer in time"
        except (OSError, asyncio.IncompleteReadError, ValueError) as failure:
            outcome.why = f"cut: {type(failure).__name__}"
        self.answers += 1
        if not outcome.complete or outcome.headers.get("connection", "").lower() == "close":
            self.close()
        return outcome

    @property
    def open(self):
        return self.writer is not None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


async def ask(address, data, wait_s):
    """Sends a request on a new channel; returns what comes within the time."""
    channel = Channel(address)
    try:
        return await channel.ask(data, wait_s)
    finally:
        channel.close()

"""Replicas of the soak: streams whose events wait for the passes of a group, and silences."""

import asyncio
import time

from http11 import encode
from rank_group import Group, Rank
from replica import Replica

LONG_HOLD_S = 0.5


class Runs:
    """What the replicas did with each request, by its attempt id."""

    def __init__(self):
        self.arrived = set()  # Before a slot was free for them.
        self.of = {}

    def begin(self, attempt, replica):
        run = {"at": replica.id, "began": time.monotonic(), "events": [], "ended": None,
               "whole": False}
        self.of.setdefault(attempt, []).append(run)
        return run


class Gate:
    """Work that stands still until a moment, or with a wider gate."""

    def __init__(self, wider=None):
        self.until = 0.0
        self.wider = wider

    async def passed(self):
        if self.wider:
            await self.wider.passed()
        while time.monotonic() < self.until:
            await asyncio.sleep(self.until - time.monotonic())


class PassGate(Gate):
    """Lets a group's work go on only with its next pass, which a held group does not begin."""

    def __init__(self, group):
        super().__init__()
        self.group = group

    async def passed(self):
        await super().passed()
        step = self.group.step
        while self.group.step <= step:
            await asyncio.sleep(0.005)


class TimedGroup(Group):
    """Notes how long its passes stood still while it had work."""

    def __init__(self, record, name, size):
        super().__init__(record, name, size)
        self.gate = PassGate(self)
        self.last_pass = self.busy_since = None
        self.longest_hold = 0.0

    def begin_pass(self):
        now = time.monotonic()
        if self.last_pass is not None and self.busy_since is not None:
            stood = now - max(self.last_pass, self.busy_since)
            self.longest_hold = max(self.longest_hold, stood)
            if stood > LONG_HOLD_S:
                self.record.write(f"{self.name} stood still for {stood:.3f} s")
        self.last_pass = now
        super().begin_pass()

    async def note_work(self):
        while True:
            working = any(rank.working for rank in self.ranks)
            self.busy_since = (self.busy_since or time.monotonic()) if working else None
            await asyncio.sleep(0.01)


class Worker:
    """Part of a replica that does the work and notes each run.

    The last part of a request's path tells the work: `EVENTSxGAPxFIRSTxBYTES` a stream of so many
    events of that size, with the gap and the time until it begins in milliseconds, or the
    milliseconds until a plain answer.
    """

    noted = gate = None

    async def handle(self, request, writer):
        if request.get("x-quincebank-expect-instance", self.id) == self.id:
            self.noted.arrived.add(request.get("x-quincebank-attempt-id"))
        return await super().handle(request, writer)

    async def run(self, request, writer, attempt, fields):
        run = self.noted.begin(attempt, self)
        try:
            work = request.target.rsplit("/", 1)[-1]
            if "x" in work:
                await self.stream(request, writer, run, fields, map(int, work.split("x")))
            else:
                await asyncio.sleep(int(work) / 1e3)
                await self.gate.passed()
                writer.write(encode(200, fields, b"answer to " + attempt.encode()))
                await writer.drain()
            run["whole"] = True
            return True
        finally:
            run["ended"] = time.monotonic()

    async def stream(self, request, writer, run, fields, work):
        events, gap_ms, first_ms, size = work
        await asyncio.sleep(first_ms / 1e3)
        fields = {**fields, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        data = f"HTTP/1.1 200 OK\r\n{head}\r\n".encode()
        for number in range(int(request.get("last-event-id", -1)) + 1, events):
            await asyncio.sleep(gap_ms / 1e3)
            await self.gate.passed()
            if writer.transport.is_closing():
                raise ConnectionError("the caller has left")
            run["events"].append(time.monotonic())
            event = f"id: {number}\ndata: ".encode() + b"." * size + b"\n\n"
            writer.write(data + b"%x\r\n%s\r\n" % (len(event), event))
            data = b""
            await writer.drain()
        writer.write(data + b"0\r\n\r\n")
        await writer.drain()


class WorkingRank(Worker, Rank):
    """A rank of a group."""


class WorkingReplica(Worker, Replica):
    """A replica without a group."""

"""Stand-in of a replica: runs requests, streams events, reports itself to the store."""

import asyncio
import itertools
import time

from http11 import Server, encode

HEARTBEAT_S = 1.2


class Replica:
    """A sound replica. Overriding `run` changes what a request does.

    The last part of a request's path tells the work: `EVENTSxGAPxFIRST` a stream of so many events
    with a gap in milliseconds and the time until it begins, any other number the milliseconds until
    a plain answer.
    """

    numbers = itertools.count(1)

    def __init__(self, store, record, host, port, service, zone, slots=12, group=None):
        self.store, self.record = store, record
        self.id = f"i-{next(self.numbers):08x}"
        self.address = f"{host}:{port}"
        self.entry = {"service": service, "address": self.address, "zone": zone, "version": "v1",
                      "slots": slots, "state": "ready", "cold_remaining_ms": 0, "sequence": 0,
                      "born": int(time.time() * 1000), **(group or {})}
        self.server = Server(host, port, self.handle)
        self.slots = asyncio.Semaphore(slots)
        self.runs = []  # Attempt ids, in the order of their begin.
        self.working = 0  # Requests that wait or run.

    async def start(self):
        await self.server.start()
        self.beat = asyncio.ensure_future(self._beats())

    async def _beats(self):
        while True:
            self.entry["beats"] = self.entry.get("beats", 0) + 1
            self.store.put("servers/" + self.id, self.entry)
            await asyncio.sleep(HEARTBEAT_S)

    def stop(self):
        self.beat.cancel()
        self.store.remove("servers/" + self.id)
        self.server.stop()

    async def handle(self, request, writer):
        if request.target == "/healthz":
            writer.write(encode(200, {"X-Quincebank-Instance-Id": self.id}))
            return True
        if request.get("x-quincebank-expect-instance", self.id) != self.id:
            writer.write(encode(421, {"X-Quincebank-Instance-Id": self.id}))
            return True
        attempt = request.get("x-quincebank-attempt-id")
        fields = {"X-Quincebank-Attempt-Id": attempt,
                  "X-Quincebank-Server-Stamp": f"{self.id}.{attempt}"}
        self.working += 1
        try:
            async with self.slots:
                self.runs.append(attempt)
                self.record.write(f"run {attempt} at {self.id}")
                return await self.run(request, writer, attempt, fields)
        finally:
            self.working -= 1

    async def run(self, request, writer, attempt, fields):
        work = request.target.rstrip("/").rsplit("/", 1)[-1]
        if "x" not in work:
            await asyncio.sleep(int(work) / 1e3)
            writer.write(encode(200, fields, b"answer to " + attempt.encode()))
            await writer.drain()
            self.record.write(f"answered {attempt} by {self.id}")
            return True
        events, gap, first_ms = (int(one) for one in (work + "x0").split("x")[:3])
        await asyncio.sleep(first_ms / 1e3)
        head = {**fields, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(request.get("last-event-id", -1)) + 1
        for number in range(first, events):
            await asyncio.sleep(gap / 1e3)
            if writer.transport.is_closing():
                self.record.write(f"channel of {attempt} closed at {self.id}, event {number}")
                return False
            event = f"id: {number}\ndata: piece {number} of {attempt}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.write(f"answered {attempt} by {self.id}")
        return True

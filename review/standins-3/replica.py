"""A replica of a plain service, and its entry in the store."""

import asyncio
import itertools
import time

import http1

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
HEARTBEAT_S = 1.2
IDS = itertools.count(1)


class Replica:
    def __init__(self, store, service, zone, address, slots, queue=24, keep_alive_s=None):
        self.id = f"i-{next(IDS):08x}"
        self.store, self.service, self.zone, self.address = store, service, zone, address
        self.slots, self.queue = slots, queue
        self.free = asyncio.Semaphore(slots)
        self.inside = 0
        self.keep_alive_s = keep_alive_s
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1e3)
        self.runs = []  # Request messages, in the order in which they began to run.
        self.writers = set()
        self.server = self.beats = None
        self.work_s = 0.01

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.write_entry()
        self.beats = asyncio.ensure_future(self.beat())

    def write_entry(self):
        self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born})

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    async def drain(self, drain_s, extra_s=0.3):
        """Says that it is leaving, serves on for `drain_s` and a little longer, and ends."""
        self.state = "draining"
        self.write_entry()
        await asyncio.sleep(drain_s + extra_s)
        self.end()

    def end(self):
        if self.beats:
            self.beats.cancel()
        self.store.remove(f"servers/{self.id}")
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    def closing(self):
        return self.state == "draining"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await http1.read_head(reader)) is not None:
                message.body = await http1.read_body(reader, message)
                if not await self.handle(message, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def fields(self, message):
        fields = {"X-Quincebank-Attempt-Id": message.get("x-quincebank-attempt-id")}
        if self.closing():
            fields["Connection"] = "close"
        elif self.keep_alive_s:
            fields["Keep-Alive"] = f"timeout={self.keep_alive_s}"
        return fields

    async def handle(self, message, writer):
        """Returns whether the connection stays open."""
        fields = self.fields(message)
        if message.get("x-quincebank-expect-instance", self.id) != self.id:
            writer.write(http1.answer(421, {**fields, "X-Quincebank-Instance-Id": self.id}))
        elif message.target == "/healthz":
            status = 503 if self.closing() else 200
            writer.write(http1.answer(status, {"X-Quincebank-Instance-Id": self.id}))
        elif self.inside >= self.slots + self.queue:
            writer.write(http1.answer(503, {**fields, "X-Quincebank-Not-Executed": "1"}))
        else:
            self.inside += 1
            try:
                async with self.free:
                    self.runs.append(message)
                    await self.run(message, writer, {**fields, "X-Quincebank-Server-Stamp": STAMP})
            finally:
                self.inside -= 1
        await writer.drain()
        return not self.closing()

    async def run(self, message, writer, fields):
        await asyncio.sleep(self.work_s)
        body = f"answer to {message.get('x-quincebank-attempt-id')}".encode()
        writer.write(http1.answer(200, fields, body))

"""Ranks that crash and come back: the group stalls, cuts its work off and forms anew."""

import asyncio
import time

from ranks import EXPERTS, SETS, Group, Rank
from wire import answer, encode

STALL_S = 1.5
FORM_S = 0.6
EVENT_S = 0.085
LAPSE_S = 3.6  # Three status report intervals.


class CrashingGroup(Group):
    def __init__(self, record, name, size, store):
        super().__init__(record, name, size)
        self.store, self.open, self.stalled_until = store, True, 0.0
        self.at_fault = ""

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            busy = any(rank.running for rank in self.ranks)
            held = any(rank.held == self.step + 1 for rank in self.ranks)
            if self.open and busy and not held:
                self.begin_pass()

    async def crash(self, rank, down_s):
        """The rank's process ends and starts again with a new id."""
        self.record.write(f"rank {rank.number} ({rank.id}) crashes with {rank.running} requests")
        self.open, self.stalled_until = False, time.monotonic() + STALL_S
        crashed = self.at_fault = rank.id
        rank.crash()
        await asyncio.sleep(down_s)
        rank.start_anew()
        await rank.listen()
        self.publish(rank)
        await asyncio.sleep(FORM_S)
        self.epoch += 1
        for one in self.ranks:
            one.form_anew()
        self.open = True
        for one in self.ranks:
            self.publish(one)
        self.record.write(f"{self.name} opens in epoch {self.epoch}")
        await asyncio.sleep(LAPSE_S - down_s - FORM_S)
        self.store.remove("servers/" + crashed)

    def publish(self, rank):
        self.store.put("servers/" + rank.id, rank.entry("drafts"))


class CrashingRank(Rank):
    events = 24
    boots = 0

    def membership(self):
        return {**super().membership(), "state": "open" if self.group.open else "broken"}

    def crash(self):
        self.boots += 1
        self.close()

    def start_anew(self):
        self.id = f"i-{self.number}-{self.boots}"
        self.born = int(time.time() * 1000)
        self.sequence = self.version = 0
        self.counts = [0] * (SETS * EXPERTS)

    def form_anew(self):
        size = self.group.size
        self.map, self.experts = 0, [[[e for e in range(EXPERTS) if e % size == r]
                                      for r in range(size)] for _ in range(SETS)]
        self.prepared = self.loading = self.armed = self.held = None

    def reject(self, request, writer):
        writer.write(answer(503, {"X-Quincebank-Attempt-Id": request.get("x-quincebank-attempt-id"),
                                  "X-Quincebank-Not-Executed": 1,
                                  "At-Server": self.group.at_fault}))

    async def next_event(self, boot, epoch):
        """Waits for the next event; returns false if the work is cut off."""
        until = time.monotonic() + EVENT_S
        while time.monotonic() < until or not self.group.open:
            await asyncio.sleep(0.01)
            if self.boots != boot:
                return False
            if self.group.epoch != epoch or not self.group.open:
                await asyncio.sleep(max(self.group.stalled_until - time.monotonic(), 0))
                return False
        return True

    async def stream(self, request, writer):
        """A stream of events; the group's passes go on as long as it is open."""
        if not self.group.open:
            await asyncio.sleep(max(self.group.stalled_until - time.monotonic(), 0))
            self.reject(request, writer)
            return
        attempt, boot, epoch = request.get("x-quincebank-attempt-id"), self.boots, self.group.epoch
        self.running += 1
        try:
            data = encode("HTTP/1.1 200 OK", {
                "X-Quincebank-Attempt-Id": attempt, "X-Quincebank-Server-Stamp": f"s.{attempt}",
                "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"})
            begun = False
            for number in range(int(request.get("last-event-id", "-1")) + 1, self.events):
                if not await self.next_event(boot, epoch):
                    if begun or self.boots != boot:
                        raise ConnectionError("the work is cut off")
                    self.reject(request, writer)
                    return
                if writer.transport.is_closing():
                    return
                event = f"id: {number}\ndata: {attempt}\n\n".encode()
                writer.write(data + b"%x\r\n%s\r\n" % (len(event), event))
                data, begun = b"", True
                await writer.drain()
            writer.write(data + b"0\r\n\r\n")
        finally:
            self.running -= 1

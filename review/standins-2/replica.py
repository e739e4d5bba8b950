"""A replica of a plain service: answers requests after some work and keeps its channels."""

import asyncio
import time

from wire import Server, answer

ANSWER_BYTES = 800


class Replica(Server):
    def __init__(self, record, ip, port, instance, service, zone, slots=6, work_s=0.015):
        super().__init__(ip, port)
        self.record, self.id, self.service, self.zone = record, instance, service, zone
        self.slots, self.work_s = slots, work_s
        self.state = "ready"
        self.slot = asyncio.Semaphore(slots)
        self.runs = 0

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "sequence": 0, "stage": "plain", "models": []}

    async def handle(self, request, writer):
        if request.get("x-quincebank-expect-instance", self.id) != self.id:
            writer.write(answer(421, {"X-Quincebank-Instance-Id": self.id}))
            return True
        if request.target == "/healthz":
            healthy = self.state == "ready"
            writer.write(answer(200 if healthy else 503, {"X-Quincebank-Instance-Id": self.id}))
            return True
        attempt = request.get("x-quincebank-attempt-id")
        async with self.slot:
            self.runs += 1
            await asyncio.sleep(self.work_s)
        head = {"X-Quincebank-Attempt-Id": attempt,
                "X-Quincebank-Server-Stamp": f"{self.id}.{attempt}"}
        leaving = self.state == "draining"
        if leaving:
            head.update({"Connection": "close", "Server-Leaving": 1})
        writer.write(answer(200, head, b"." * ANSWER_BYTES))
        return not leaving


class ColdReplica(Replica):
    """Is cold after its start, and crashes if it gets far more requests than it tolerates then."""

    def __init__(self, *arguments, cold_s, most_per_s, **changes):
        super().__init__(*arguments, **changes)
        self.cold_until = time.monotonic() + cold_s
        self.most_per_s = most_per_s
        self.cold_arrivals, self.working, self.lost = [], set(), set()
        self.crashed = False

    def entry(self):
        left = max(self.cold_until - time.monotonic(), 0)
        return {**super().entry(), "cold_remaining_ms": int(left * 1e3)}

    async def handle(self, request, writer):
        attempt = request.get("x-quincebank-attempt-id")
        expected = request.get("x-quincebank-expect-instance", self.id) == self.id
        now = time.monotonic()
        if not expected or not attempt or now >= self.cold_until:
            return await super().handle(request, writer)
        self.cold_arrivals.append((attempt, now))
        self.working.add(attempt)
        last = [at for _, at in self.cold_arrivals if at > now - 1]
        if len(last) > self.most_per_s and not self.crashed:
            self.crashed, self.lost = True, set(self.working)
            self.record.write(f"{self.id} crashes: {len(last)} requests in a second while cold")
            self.close()
            return False
        try:
            return await super().handle(request, writer)
        finally:
            self.working.discard(attempt)

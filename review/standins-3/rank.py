"""Ranks of one expert group: streams, reports, counts of chosen experts, and orders."""

import asyncio
import json

import http1
from replica import Replica

PASS_S = 0.02
LOAD_S = 0.05
EVENTS = 24
CHOICES = 40  # For one event, in each set.
ENGINE = {"slots": 12, "kv_capacity": 280000, "kv_bytes": 35136, "link_mbps": 92000.0, "stride": 4,
          "models": [{"name": "m"}], "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
          "read_per_s": 61400, "sets": 2, "experts": 16, "placements": 8, "spare": 4,
          "expert_mb": 4.0, "expert_share": 0.5, "report_lag_ms": 200, "chunk": 512,
          "usual": {"prompt": 700, "answer": 96}}


class Group:
    """Begins its passes on all ranks together. A pass that a rank holds does not begin."""

    def __init__(self, name, size):
        self.name, self.size, self.epoch, self.step = name, size, 1, 0
        self.ranks, self.begun, self.hot = [], asyncio.Event(), 0

    async def work(self):
        while True:
            await asyncio.sleep(PASS_S)
            if any(rank.held == self.step + 1 for rank in self.ranks):
                continue
            if not any(rank.inside for rank in self.ranks):
                continue  # An idle group makes no passes.
            self.step += 1
            for rank in self.ranks:
                rank.begin_pass()
            self.begun.set()
            self.begun = asyncio.Event()


class Rank(Replica):
    def join(self, group):
        self.group, self.number = group, len(group.ranks)
        self.map_version, self.highest, self.orders = 0, 0, 0
        self.held_experts = [list(range(self.number, ENGINE["experts"], group.size))
                             for _ in range(ENGINE["sets"])]
        self.prepared = self.armed = self.held = self.loading = None
        self.counts = [0] * (ENGINE["sets"] * ENGINE["experts"])
        group.ranks.append(self)

    def membership(self):
        return {"name": self.group.name, "epoch": self.group.epoch, "rank": self.number,
                "state": "open"}

    def write_entry(self):
        self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.orders, "born": self.born, "size": self.group.size,
            "group": self.membership()})

    def begin_pass(self):
        if self.armed and self.armed["step"] == self.group.step:
            self.map_version, self.held_experts = self.prepared
            self.prepared = self.armed = None

    def report(self):
        return {"stage": "combined", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "sequence": self.orders, "waiting": 0, "running": self.inside,
                "kv_used": 0, "kv_total": ENGINE["kv_capacity"], "handles": 0, "born": self.born,
                "pace": 1, "size": self.group.size, "group": self.membership(),
                "step": self.group.step, "map": self.map_version,
                "prepared": self.prepared[0] if self.prepared else None, "armed": self.armed,
                "held": self.held}

    def picked(self):
        return {"step": self.group.step, "epoch": self.group.epoch, "counts": self.counts}

    def lists(self):
        prepared = self.prepared and {"version": self.prepared[0], "experts": self.prepared[1]}
        return {"step": self.group.step, "epoch": self.group.epoch, "prepared": prepared,
                "map": {"version": self.map_version, "experts": self.held_experts}}

    async def handle(self, message, writer):
        if not message.target.startswith("/-/"):
            return await super().handle(message, writer)
        status, data = 200, b""
        if message.get("x-quincebank-expect-instance", self.id) != self.id:
            status = 421
        elif message.target == "/-/order":
            status = self.order(json.loads(message.body))
        else:
            data = self.control(message.target)
        writer.write(http1.answer(status, {"Content-Type": "application/json"}, data))
        await writer.drain()
        return True

    def control(self, target):
        document = (self.report() if target == "/-/report" else
                    self.picked() if target == "/-/picked" else self.lists())
        return json.dumps(document, separators=(",", ":")).encode()

    def order(self, order):
        if order.get("epoch", self.group.epoch) != self.group.epoch:
            return 409
        if order.get("expect", self.orders) != self.orders:
            return 409
        status = getattr(self, "order_" + order["operation"])(order)
        self.orders += status == 202
        return status

    def order_prepare(self, order):
        if order["version"] <= self.highest or self.armed:
            return 409
        self.highest = order["version"]
        self.prepared = None
        experts = [ranks[self.number] for ranks in order["map"]]
        self.loading = asyncio.ensure_future(self.load(order["version"], experts))
        return 202

    async def load(self, version, experts):
        await asyncio.sleep(LOAD_S)
        if version == self.highest:
            self.prepared = (version, experts)

    def order_arm(self, order):
        wanted = {"version": order["version"], "step": order["step"]}
        if self.armed == wanted:
            return 200
        if (self.armed or not self.prepared or self.prepared[0] != order["version"]
                or order["step"] <= self.group.step):
            return 409
        self.armed = wanted
        return 202

    def order_disarm(self, order):
        if order["version"] == self.map_version:
            return 409
        if not self.armed or self.armed["version"] != order["version"]:
            return 200
        self.armed = None
        return 202

    def order_retention(self, order):
        if self.held == order["step"]:
            return 200
        if self.held or order["step"] <= self.group.step:
            return 409
        self.held = order["step"]
        return 202

    def order_go(self, order):
        if self.held is None:
            return 200
        if self.held != order["step"]:
            return 409
        self.held = None
        return 202

    async def run(self, message, writer, fields):
        """A stream with an event a pass. Few experts are chosen much more often than the others."""
        head = {**fields, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        data = http1.encode("HTTP/1.1 200 OK", head)
        for number in range(int(message.get("last-event-id", "-1")) + 1, EVENTS):
            await self.group.begun.wait()
            for first in range(0, len(self.counts), ENGINE["experts"]):
                for expert in range(ENGINE["experts"]):
                    hot = expert % 4 == self.group.hot
                    self.counts[first + expert] += CHOICES // 2 if hot else 1
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(data + b"%x\r\n%s\r\n" % (len(event), event))
            data = b""
            await writer.drain()
        writer.write(data + b"0\r\n\r\n")

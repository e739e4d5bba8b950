"""Ranks of one group, in lock-step, with expert maps, orders and streams."""

import asyncio
import json
import time

from wire import Server, answer, encode, json_answer

SETS, EXPERTS, PLACES, SPARE = 2, 16, 12, 4
ENGINE = {"slots": 12, "kv_capacity": 280000, "kv_bytes": 35136, "link_mbps": 92000.0, "stride": 4,
          "models": [{"name": "m"}], "step_ms": 4.55, "per_seq_ms": 0.905,
          "context_per_k": 0.0183, "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512,
          "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 8, "delays": [],
          "usual": {"prompt": 835, "answer": 97}, "sets": SETS, "experts": EXPERTS,
          "placements": PLACES, "spare": SPARE, "expert_mb": 1700.0, "expert_share": 0.85,
          "form_ms": 600.0}
LOAD_S = 1700.0 * 8 / 92000.0  # Of one expert.
PASS_S = 0.02
CHOICES = 400  # Of the usual expert, in one pass of one rank.


class Group:
    """Begins the passes of all ranks together and compares their maps."""

    def __init__(self, record, name, size):
        self.record, self.name, self.size = record, name, size
        self.ranks, self.epoch, self.step = [], 1, 0
        self.hot = [0] * SETS  # Expert of each set that is chosen most.
        self.breaches = []
        self.next_pass = asyncio.Event()

    def shift(self, experts):
        self.hot = list(experts)
        self.record.write(f"{self.name}: other experts are in demand: {self.hot}")

    async def run(self):
        while True:
            await asyncio.sleep(PASS_S)
            busy = any(rank.running for rank in self.ranks)
            held = any(rank.held == self.step + 1 for rank in self.ranks)
            if busy and not held:
                self.begin_pass()

    def begin_pass(self):
        self.step += 1
        for rank in self.ranks:
            rank.begin_pass(self.step)
        maps = {(rank.map, json.dumps([[sorted(ranks) for ranks in of_set]
                                       for of_set in rank.experts])) for rank in self.ranks}
        if len(maps) > 1 and len(self.breaches) < 5:
            self.breaches.append(self.step)
            for rank in self.ranks:
                self.record.write(f"MAP: pass {self.step} begins, rank {rank.number} has version"
                                  f" {rank.map}: {rank.experts}")
        self.next_pass.set()
        self.next_pass = asyncio.Event()


class Late:
    """Which orders get no answer and are carried out late; the plain one answers all."""

    def decide(self, rank, order):
        """Returns None to answer, or the seconds until the order is carried out."""
        return None


class Rank(Server):
    def __init__(self, group, number, ip, port, instance, zone, late):
        super().__init__(ip, port)
        self.group, self.number, self.id, self.zone, self.late = group, number, instance, zone, late
        self.record = group.record
        self.born = int(time.time() * 1000)
        self.sequence, self.version, self.running = 0, 0, 0
        self.map, self.experts = 0, [[[e for e in range(EXPERTS) if e % group.size == r]
                                      for r in range(group.size)] for _ in range(SETS)]
        self.prepared = self.loading = self.armed = self.held = None
        self.counts = [0] * (SETS * EXPERTS)
        self.orders = []
        group.ranks.append(self)

    def entry(self, service):
        return {"service": service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": 12, "state": "ready", "cold_remaining_ms": 0, "stage": "combined",
                "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": 0,
                "born": self.born, "size": self.group.size, "group": self.membership()}

    def membership(self):
        return {"name": self.group.name, "epoch": self.group.epoch, "rank": self.number,
                "state": "open"}

    def begin_pass(self, step):
        self.finish_loading()
        if self.armed and self.armed[1] == step:
            self.map, self.experts = self.prepared
            self.prepared = self.armed = None
        for of_set in range(SETS):
            for expert in range(EXPERTS):
                share = 8 if expert == self.group.hot[of_set] else 1
                self.counts[of_set * EXPERTS + expert] += share * CHOICES

    def finish_loading(self):
        if self.loading and time.monotonic() >= self.loading[2]:
            self.prepared = self.loading[:2]
            self.loading = None

    async def handle(self, request, writer):
        if request.get("x-quincebank-expect-instance", self.id) != self.id:
            writer.write(answer(421, {"X-Quincebank-Instance-Id": self.id}))
        elif request.target == "/-/report":
            writer.write(json_answer(200, self.report()))
        elif request.target.startswith("/-/picked"):
            writer.write(json_answer(200, self.picked("lists" in request.target)))
        elif request.target == "/-/order":
            return await self.take_order(request.json(), writer)
        elif request.target == "/healthz":
            writer.write(answer(200, {"X-Quincebank-Instance-Id": self.id}))
        else:
            await self.stream(request, writer)
        return True

    def report(self):
        self.finish_loading()
        report = {"stage": "combined", "models": [{"name": "m", "version": 1, "adapters": []}],
                  "busy": self.loading is not None, "sequence": self.sequence, "waiting": 0,
                  "running": self.running, "kv_used": 1000, "kv_total": 280000, "handles": 0,
                  "pace": 1.0, "born": self.born, "size": self.group.size,
                  "group": self.membership(), "step": self.group.step, "map": self.map}
        if self.prepared:
            report["prepared"] = self.prepared[0]
        if self.armed:
            report["armed"] = {"version": self.armed[0], "step": self.armed[1]}
        if self.held is not None:
            report["held"] = self.held
        return report

    def picked(self, lists):
        picked = {"step": self.group.step, "epoch": self.group.epoch, "born": self.born}
        if not lists:
            return {**picked, "counts": self.counts}
        picked["map"] = {"version": self.map,
                         "experts": [of_set[self.number] for of_set in self.experts]}
        if self.prepared:
            picked["prepared"] = {"version": self.prepared[0],
                                  "experts": [s[self.number] for s in self.prepared[1]]}
        return picked

    async def take_order(self, order, writer):
        named = {key: value for key, value in order.items() if key != "map"}
        delay = self.late.decide(self, order)
        if delay is None:
            status = self.execute(order)
            self.record.write(f"rank {self.number}: order {named} answered {status}")
            writer.write(json_answer(status, {}))
            return True
        self.record.write(f"rank {self.number}: order {named} left unanswered")

        async def later():
            await delay
            status = self.execute(order)
            self.record.write(f"rank {self.number}: late order {named} carried out: {status}")

        asyncio.ensure_future(later())
        await asyncio.sleep(3600)  # The connection stays open until the caller closes it.
        return False

    def execute(self, order):
        self.finish_loading()
        if order.get("epoch", self.group.epoch) != self.group.epoch:
            return 409
        if order.get("expect", self.sequence) != self.sequence:
            return 409
        status = {"prepare": self.prepare, "arm": self.arm, "disarm": self.disarm,
                  "retention": self.hold, "go": self.go}[order["operation"]](order)
        self.sequence += 1 if status == 202 else 0
        return status

    def prepare(self, order):
        if order["version"] <= self.version or self.armed:
            return 409
        new = [len(set(order["map"][s][self.number]) - set(self.experts[s][self.number]))
               for s in range(SETS)]
        if max(new) > SPARE:
            return 409
        self.version = order["version"]
        self.prepared = None
        self.loading = (order["version"], order["map"], time.monotonic() + sum(new) * LOAD_S)
        return 202

    def arm(self, order):
        wanted = (order["version"], order["step"])
        if self.armed == wanted:
            return 200
        fits = self.prepared and self.prepared[0] == order["version"]
        if not fits or self.armed or order["step"] <= self.group.step:
            return 409
        self.armed = wanted
        return 202

    def disarm(self, order):
        if self.map == order["version"]:
            return 409
        if not self.armed or self.armed[0] != order["version"]:
            return 200
        self.armed = None
        return 202

    def hold(self, order):
        if self.held == order["step"]:
            return 200
        if self.held is not None or order["step"] <= self.group.step:
            return 409
        self.held = order["step"]
        return 202

    def go(self, order):
        if self.held != order["step"]:
            return 200
        self.held = None
        return 202

    async def stream(self, request, writer):
        """A stream of 20 events, each of which takes two passes of the group."""
        attempt = request.get("x-quincebank-attempt-id")
        self.running += 1
        try:
            head = {"X-Quincebank-Attempt-Id": attempt, "X-Quincebank-Server-Stamp": f"s.{attempt}",
                    "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
            data = encode("HTTP/1.1 200 OK", head)
            for number in range(int(request.get("last-event-id", "-1")) + 1, 20):
                for _ in range(2):
                    await self.group.next_pass.wait()
                if writer.transport.is_closing():
                    return
                event = f"id: {number}\ndata: {attempt}\n\n".encode()
                writer.write(data + b"%x\r\n%s\r\n" % (len(event), event))
                data = b""
                await writer.drain()
            writer.write(data + b"0\r\n\r\n")
        finally:
            self.running -= 1

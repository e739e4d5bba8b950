"""Stand-in of a group of ranks: passes in lock-step, expert maps, and orders to change them."""

import asyncio
import json
import random
import time
import urllib.parse

from http11 import encode
from replica import Replica

SETS = 6
EXPERTS = 64
PLACEMENTS = 11
SPARE = 4
LOAD_S = 0.148  # Of one expert: 1,700 MB over 92,000 Mbit/s.
PASS_S = 0.06
PICKS = 2000  # Choices of experts in one pass, by set and rank.
HOT = 5  # Experts that are in demand, of each set.
SHIFTED = 3  # Of these, the number that changes with a shift.

# What the configuration says of the engines.
ENGINE = {"slots": 12, "kv_capacity": 280000, "kv_bytes": 35136, "link_mbps": 92000.0, "stride": 4,
          "models": [{"name": "m"}], "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
          "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512, "report_lag_ms": 200.0,
          "usual": {"prompt": 835, "answer": 97}, "sets": SETS, "experts": EXPERTS,
          "placements": PLACEMENTS, "spare": SPARE, "expert_mb": 1700.0, "expert_share": 0.85,
          "form_ms": 600.0}


class Group:
    """Begins the passes of all ranks together and notes passes in which the maps differ."""

    def __init__(self, record, name, size):
        self.record = record
        self.name = name
        self.size = size
        self.step = 0
        self.epoch = 1
        self.ranks = []
        self.breaches = []
        self.mixed = 0  # Passes that began with different maps.
        self.weights = []
        self.hot = [random.sample(range(EXPERTS), HOT) for _ in range(SETS)]
        self.weigh()
        self.switches = 0

    def shift(self):
        """Other experts are in demand, in place of a share of those that were."""
        for hot in self.hot:
            rest = [expert for expert in range(EXPERTS) if expert not in hot]
            for place, expert in zip(random.sample(range(HOT), SHIFTED), random.sample(rest, SHIFTED)):
                hot[place] = expert
        self.weigh()

    def weigh(self):
        self.weights = []
        for hot in self.hot:
            weights = [12.0 if expert in hot else 1.0 for expert in range(EXPERTS)]
            total = sum(weights)
            self.weights.append([PICKS * weight / total for weight in weights])

    async def run(self):
        while True:
            await asyncio.sleep(PASS_S)
            working = any(rank.working for rank in self.ranks)
            held = any(rank.held == self.step + 1 for rank in self.ranks)
            if not working or held:
                continue
            self.begin_pass()

    def begin_pass(self):
        self.step += 1
        for rank in self.ranks:
            rank.begin_pass(self.step)
        first = self.ranks[0]
        same = all(rank.version == first.version and rank.map == first.map for rank in self.ranks)
        if same:
            return
        self.mixed += 1
        versions = [rank.version for rank in self.ranks]
        text = f"with versions {versions}"
        if self.breaches and self.breaches[-1].endswith(text):
            return  # The passes after it are only counted.
        self.breaches.append(f"MAP: pass {self.step} of {self.name} begins {text}")
        self.record.write(self.breaches[-1])


class Rank(Replica):
    def __init__(self, group, rank, store, record, host, port, service, zone, faults):
        membership = {"name": group.name, "epoch": group.epoch, "rank": rank, "state": "open"}
        super().__init__(store, record, host, port, service, zone,
                         group={"group": membership, "size": group.size})
        self.group, self.rank, self.faults = group, rank, faults
        self.version = 0
        self.map = [[[expert for expert in range(EXPERTS) if expert % group.size == member]
                     for member in range(group.size)] for _ in range(SETS)]
        self.prepared = None  # Version and map, once the copy is complete.
        self.loading = None
        self.newest = 0
        self.armed = None
        self.held = None
        self.sequence = 0
        self.counts = [0.0] * (SETS * EXPERTS)
        self.extra = {}  # By channel: the call and its answer, which comes a second time.
        self.garbling = False

    # Passes.

    def begin_pass(self, step):
        if self.armed and self.armed[1] == step:
            self.version, self.map = self.prepared
            self.prepared = self.armed = None
            self.group.switches += self.rank == 0
        for index, weights in enumerate(self.group.weights):
            for expert, weight in enumerate(weights):
                self.counts[index * EXPERTS + expert] += weight

    # Calls.

    def report(self):
        value = {"stage": "combined", "models": [], "busy": self.loading is not None,
                 "sequence": self.sequence, "waiting": 0, "running": self.working,
                 "kv_used": 0, "kv_total": 280000, "handles": 0, "pace": 1.0,
                 "born": self.entry["born"], "step": self.group.step, "map": self.version,
                 "group": self.entry["group"], "size": self.group.size}
        if self.prepared:
            value["prepared"] = {"version": self.prepared[0]}
        if self.armed:
            value["armed"] = {"version": self.armed[0], "step": self.armed[1]}
        if self.held is not None:
            value["held"] = self.held
        return value

    def picked(self, lists):
        value = {"step": self.group.step, "epoch": self.group.epoch,
                 "counts": [int(count) for count in self.counts]}
        if lists:
            del value["counts"]
            value["map"] = {"version": self.version,
                            "experts": [of_set[self.rank] for of_set in self.map]}
        return value

    async def handle(self, request, writer):
        path, _, query = request.target.partition("?")
        if not path.startswith("/-/"):
            return await super().handle(request, writer)
        if request.get("x-quincebank-expect-instance", self.id) != self.id:
            writer.write(encode(421, {"X-Quincebank-Instance-Id": self.id}))
            return True
        second = self.extra.pop(writer, None)
        if second is not None:
            of, answer = second
            self.record.write(f"{self.id} sends its answer to {of} again, after {request.target}")
            writer.write(answer)
        if path == "/-/report":
            return self.reply(writer, path, 200, self.report())
        if path == "/-/picked":
            lists = "lists" in urllib.parse.parse_qs(query)
            return self.reply(writer, path, 200, self.picked(lists))
        if path != "/-/order":
            return self.reply(writer, path, 404, {})
        order = json.loads(request.body)
        path = self.text(order)
        if self.faults.order_is_late():
            delay = self.faults.delay()
            self.record.write(f"{self.id} leaves {self.text(order)} unanswered for {delay:.1f} s")
            asyncio.ensure_future(self.later(order, delay))
            return True
        status = self.carry_out(order)
        self.record.write(f"{self.id} answers {status} to {self.text(order)}")
        return self.reply(writer, path, status, {})

    def reply(self, writer, call, status, value):
        fields = {"Content-Type": "application/json"}
        answer = encode(status, fields, json.dumps(value).encode())
        writer.write(answer)
        if self.garbling and self.faults.answer_is_repeated():
            self.extra[writer] = (call, answer)
        return True

    @staticmethod
    def text(order):
        return " ".join(f"{name} {order[name]}" for name in
                        ("operation", "version", "step", "epoch", "expect") if name in order)

    async def later(self, order, delay):
        await asyncio.sleep(delay)
        status = self.carry_out(order)
        self.record.write(f"{self.id} carries out {self.text(order)} late: {status}")

    def carry_out(self, order):
        if order.get("epoch", self.group.epoch) != self.group.epoch:
            return 409
        if order.get("expect", self.sequence) != self.sequence:
            return 409
        carry = {"prepare": self.prepare, "arm": self.arm, "disarm": self.disarm,
                 "retention": self.hold, "go": self.go}.get(order["operation"])
        if carry is None:
            return 400
        status = carry(order)
        self.sequence += status == 202
        return status

    def prepare(self, order):
        version, experts = order["version"], order["map"]
        if version <= self.newest or self.armed:
            return 409
        added = [set(of_set[self.rank]) - set(now[self.rank])
                 for of_set, now in zip(experts, self.map)]
        if any(len(one) > SPARE for one in added):
            return 409
        if any(len(of_set[self.rank]) > PLACEMENTS for of_set in experts):
            return 409
        self.newest = version
        self.prepared = None
        self.loading = asyncio.ensure_future(
            self.load(version, experts, sum(len(one) for one in added) * LOAD_S))
        return 202

    async def load(self, version, experts, duration):
        await asyncio.sleep(duration)
        if version == self.newest:
            self.prepared = (version, experts)
            self.loading = None

    def arm(self, order):
        wanted = (order["version"], order["step"])
        if self.armed == wanted:
            return 200
        if not self.prepared or self.prepared[0] != wanted[0] or wanted[1] <= self.group.step:
            return 409
        self.armed = wanted
        return 202

    def disarm(self, order):
        if self.version == order["version"]:
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
            return 200 if self.held is None else 409
        self.held = None
        return 202


class Faults:
    """Orders that are left unanswered and carried out late; answers that come twice."""

    def __init__(self, late_share, repeat_share):
        self.late_share, self.repeat_share = late_share, repeat_share
        self.late_until = self.repeat_until = 0.0

    def order_is_late(self):
        return time.monotonic() < self.late_until and random.random() < self.late_share

    def answer_is_repeated(self):
        return time.monotonic() < self.repeat_until and random.random() < self.repeat_share

    @staticmethod
    def delay():
        return random.uniform(2, 12)

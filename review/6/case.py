"""Two coordinators in turn give one version number to two maps; see claim.txt."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from deployment import Deployment  # noqa: E402
from ranks import ENGINE, Group, Late, Rank  # noqa: E402
from record import Record  # noqa: E402
from runner import BROKEN, HELD, NOT_RUN, run_case  # noqa: E402
from store import Store  # noqa: E402
from wire import encode, read_chunk, read_head  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RANKS = int(os.environ.get("RANKS", "2"))
ZONES = ("zone-a", "zone-b")
HOST, KEY = "case.example", "key-of-tenant-1"
CONFIG = {"version": 7, "routes": [
    {"name": "r-1", "hostname": HOST, "path_prefix": "/draft/", "route_kind": "streaming",
     "timeout_ms": 8000, "slo_ms": 500, "priority": 1, "service": "drafts", "max_attempts": 2,
     "anonymous": False, "sticky": True, "resumable": True, "gap_target_ms": 120}],
    "services": [{"name": "drafts", "health_path": "/healthz", "max_conns": 318, "protocol": "h1",
                  "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0, "engine": ENGINE}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "tenant-1", "api_keys": [KEY], "priority": 1}]}
LEAST_LATE_S, MOST_LATE_S = 2.0, 12.0
DARK_S = 3.5      # Of the machine that loses power.
LATE_FOR_S = 5.5  # How long orders are left unanswered.


class LateInTurn(Late):
    """While it is active, orders to load a map get no answer and are carried out 2 to 12 s later:
    those of the first coordinator at every rank, and those of its successor at rank 0, until the
    first one has been carried out there. All other orders are answered."""

    def __init__(self):
        self.active = False
        self.first_sent = asyncio.Event()
        self.first_done = False
        self.successor_came = asyncio.Event()
        self.killed = False
        self.unanswered = self.answered = 0

    def decide(self, rank, order):
        late = self.active and order["operation"] == "prepare"
        if late and not self.killed:
            self.unanswered += 1
            self.first_sent.set()
            return self.first(rank)
        if late and rank.number == 0 and not self.first_done:
            self.unanswered += 1
            self.successor_came.set()
            return asyncio.sleep(MOST_LATE_S)
        self.answered += self.active
        return None

    async def first(self, rank):
        if rank.number != 0:
            await asyncio.sleep(MOST_LATE_S)
            return
        await asyncio.sleep(LEAST_LATE_S)
        try:
            await asyncio.wait_for(self.successor_came.wait(), MOST_LATE_S - LEAST_LATE_S)
        except asyncio.TimeoutError:
            pass
        self.first_done = True


class Case:
    def __init__(self):
        self.record = Record(os.path.join(HERE, "record.txt"))
        self.deployment = Deployment(self.record, ZONES)
        self.late = LateInTurn()
        self.group = Group(self.record, "g-1", RANKS)
        self.streams = [0, 0]
        self.tasks = []

    def spawn(self, task):
        self.tasks.append(asyncio.ensure_future(task))

    async def start(self):
        at = self.deployment
        host, port = at.store_address.split(":")
        self.store = Store(host, int(port), self.record)
        await self.store.listen()
        self.spawn(self.store.expire())
        self.store.put("op/config", CONFIG)
        for number in range(RANKS):
            ip = f"{at.network}.{100 + number}"
            rank = Rank(self.group, number, ip, at.port("app"), f"i-{number}",
                        ZONES[number % 2], self.late)
            await rank.listen()
            self.store.put("servers/" + rank.id, rank.entry("drafts"))
            at.agent(ip, rank.zone, rank.address).start()
        self.spawn(self.group.run())
        self.gateways = [at.gateway(number, zone) for number, zone in enumerate(ZONES)]
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            if not await at.ready(gateway):
                return False
        for number in range(6):
            self.spawn(self.client(number))
        return True

    async def client(self, number):
        """Sends one stream after another to a gateway that runs."""
        count = 0
        while True:
            count += 1
            running = [one for one in self.gateways if one.process.poll() is None]
            host, port = running[number % len(running)].frontend.split(":")
            attempt = f"{number:04x}{count:08x}"
            complete = False
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                head = {"Host": HOST, "X-Quincebank-Attempt-Id": attempt,
                        "X-Quincebank-Model": "m", "X-Quincebank-Token-Usage": "700,80",
                        "X-Quincebank-Prefix-Hash": f"a:40,{attempt}:660",
                        "X-Quincebank-Deadline-Ms": 8000, "Authorization": "Token " + KEY,
                        "Content-Length": 4}
                writer.write(encode("POST /draft/2f HTTP/1.1", head, b"work"))
                message = await read_head(reader)
                if message is not None and message.status == 200:
                    while await read_chunk(reader):
                        pass
                    complete = True
                writer.close()
            except (OSError, asyncio.IncompleteReadError, ValueError):
                pass
            self.streams[0 if complete else 1] += 1
            await asyncio.sleep(0.02 if complete else 0.2)

    def coordinator(self):
        item = next((item for key, item in self.store.items.items() if "coordinator" in key
                     and item[3]), None)
        name = item[0].decode().split("/")[0] if item else None
        return next((one for one in self.gateways if one.name == name), None)

    async def power_on(self, gateway):
        gateway.process.wait()
        await asyncio.sleep(DARK_S)
        gateway.start()

    async def until(self, condition, limit_s):
        end = time.monotonic() + limit_s
        while not condition() and time.monotonic() < end:
            await asyncio.sleep(0.005)
        return condition()

    async def run(self):
        if not await self.start():
            return NOT_RUN
        await asyncio.sleep(3.0)
        self.group.shift([3, 5])
        if not await self.until(lambda: self.group.ranks[0].map > 0, 15):
            return NOT_RUN  # No change of the map without any disruption.
        self.record.write(f"first change of the map done, version {self.group.ranks[0].map}")
        await asyncio.sleep(4.0)
        self.late.active = TROUBLE
        asyncio.get_running_loop().call_later(LATE_FOR_S, setattr, self.late, "active", False)
        before = self.group.ranks[0].map
        self.group.shift([8, 10])
        if TROUBLE:
            if not await self.until(self.late.first_sent.is_set, 10):
                return NOT_RUN
            first = self.coordinator()
            if first is None:
                return NOT_RUN
            await asyncio.sleep(0.05)
            first.signal(signal.SIGKILL)
            self.late.killed = True
            self.spawn(self.power_on(first))
            self.group.shift([13, 14])
        await self.until(lambda: self.group.breaches, 15 if TROUBLE else 5)
        self.record.write(f"map {before} -> {[rank.map for rank in self.group.ranks]}, orders"
                          f" unanswered {self.late.unanswered}, answered {self.late.answered},"
                          f" streams whole {self.streams[0]}, other {self.streams[1]}")
        if not TROUBLE and self.group.ranks[0].map == before:
            return NOT_RUN
        return BROKEN if self.group.breaches else HELD


run_case(Case)

"""Stops, reloads and restarts of real gateways under clients that keep their connections.

Reports every request that a gateway passed on, or read, and that got no answer of a replica,
unless the rules of planned stops allow it. The seed fixes what is done, not its exact timing.
"""

import argparse
import asyncio
import collections
import json
import os
import random
import signal
import sys
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))

import deployment as standin  # noqa: E402
from clients import Connection, Sent  # noqa: E402
from config import config, route  # noqa: E402
from judgement import GRACE_S, judge  # noqa: E402
from rank_group import ENGINE, Faults  # noqa: E402
from replicas import Gate, Runs, TimedGroup, WorkingRank, WorkingReplica  # noqa: E402

RANKS = 8
DESKS = 3
ZONES = ("lahore", "lahore", "lahore", "faisalabad", "faisalabad", "multan")
STOPS = ("plain", "plain", "busy", "reload", "reloads", "twice", "settings", "config")
CHANGES = ("config", "settings", "reload", "shift", "shift")
LOOK_UP_S = 1.0  # How long a look-up is used; one client in three uses it three times as long.
PAUSES_S = (0, 0.002, 0.05, 0.3, 0.8, 3.0)  # Between two requests of a client.


class Stop:
    """One SIGTERM to a gateway, and how the process ended."""

    def __init__(self, gateway, how):
        self.gateway, self.how, self.at = gateway, how, time.monotonic()
        self.ended = self.status = None


class Soak:
    def __init__(self, options, record):
        self.options, self.record = options, record
        self.random = random.Random(options.seed)
        self.runs, self.stops, self.sent = Runs(), [], []
        self.groups, self.desks, self.stopping = [], [], set()
        self.values = config()
        self.values["services"][0]["engine"] = ENGINE
        self.values["routes"].append(
            route("r-once", "/once/", "streaming", "drafts", 8000, 500, 2, sticky=True,
                  resumable=False, gap_target_ms=120))
        zones = [ZONES[i % len(ZONES)] for i in range(options.gateways)]
        self.deployment = standin.Deployment(zones, self.values, agents=options.replicas)
        self.end = 0.0

    async def run(self):
        try:
            await self.start()
            self.end = time.monotonic() + self.options.seconds - GRACE_S
            await asyncio.gather(self.changes(), *map(self.stops_in_series, range(2)),
                                 *map(self.client, range(self.options.clients)))
            found = judge(self.sent, self.runs, self.stops)
            found += [breach for group in self.groups for breach in group.breaches]
            if found:
                os.environ["KEEP"] = "1"  # The logs of the processes.
            return found
        finally:
            self.deployment.stop()

    async def start(self):
        await self.deployment.start()
        for i in range(self.options.replicas):
            if i % RANKS == 0:
                self.groups.append(TimedGroup(self.record, f"g-{i // RANKS}", RANKS))
            rank = WorkingRank(self.groups[-1], i % RANKS, *self.place(i), "drafts",
                               ZONES[i % len(ZONES)], Faults(0, 0))
            rank.noted, rank.gate = self.runs, Gate(self.groups[-1].gate)
            self.groups[-1].ranks.append(rank)
            await rank.start()
        self.tasks = [asyncio.ensure_future(work) for group in self.groups
                      for work in (group.note_work(), group.run())]
        for i in range(DESKS):
            desk = WorkingReplica(*self.place(self.options.replicas + i), "desk", ZONES[2 * i], 6)
            desk.noted, desk.gate = self.runs, Gate()
            self.desks.append(desk)
            await desk.start()
        await asyncio.sleep(2)

    def place(self, i):
        return (self.deployment.store, self.record, self.deployment.replica_hosts[i],
                self.deployment.port)

    # Stops and changes.

    async def stops_in_series(self, index):
        await asyncio.sleep(self.random.uniform(0.5, 3) + index * 2)
        while time.monotonic() < self.end:
            running = [one for one in self.deployment.gateways
                       if one.running() and one.name not in self.stopping]
            if len(running) < 2:
                await asyncio.sleep(0.2)
                continue
            await self.stop_and_start(self.random.choice(running))
            await asyncio.sleep(self.random.choice((0.05, 0.5, 1.3)))

    async def stop_and_start(self, gateway):
        self.stopping.add(gateway.name)
        await self.stop(gateway, self.random.choice(STOPS))
        await asyncio.sleep(self.random.uniform(0.1, 1))
        gateway.start()
        if self.random.random() < 0.2:
            await asyncio.sleep(self.random.uniform(0, 0.8))
            await self.stop(gateway, "early")
            gateway.start()
        self.stopping.remove(gateway.name)
        try:
            await self.deployment.wait_ready(gateway)
        except standin.CannotRun as failure:
            self.record.write(str(failure))

    async def stop(self, gateway, how):
        if how == "busy":
            await self.await_request(gateway)
        if how == "reload":
            gateway.signal(signal.SIGHUP)
        if how == "settings":
            self.write_settings(gateway)
        if how == "config":
            self.write_config()
        stop = Stop(gateway, how)
        self.stops.append(stop)
        gateway.signal(signal.SIGTERM)
        while gateway.running() and time.monotonic() < stop.at + GRACE_S:
            await asyncio.sleep(0.02)
            if how == "reloads" and self.random.random() < 0.1:
                gateway.signal(signal.SIGHUP)
            if how == "twice" and self.random.random() < 0.05:
                gateway.signal(signal.SIGTERM)
        gateway.signal(signal.SIGKILL)
        stop.status = gateway.process.wait()
        stop.ended = time.monotonic()
        self.record.write(f"SIGTERM ({how}) to {gateway.name} at {stop.at:.3f}, ended "
                          f"{stop.ended - stop.at:.3f} s after it, status {stop.status}")

    async def await_request(self, gateway):
        until, known = time.monotonic() + 2, len(self.sent)
        while time.monotonic() < until:
            if any(one.gateway is gateway for one in self.sent[known:]):
                return
            await asyncio.sleep(0.002)

    def write_settings(self, gateway):
        with open(gateway.settings, encoding="utf-8") as file:
            lines = file.read().split("\n")
        allowance = f'    "repeat_allowance": {self.random.randint(60, 88)},'
        lines = [allowance if '"repeat_allowance"' in line else line for line in lines]
        with open(gateway.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines))

    def write_config(self):
        self.values["version"] += self.random.randint(1, 4)
        self.deployment.store.put("op/config", self.values)

    async def changes(self):
        kinds = CHANGES + (("silence",) if self.options.silence else ())
        while time.monotonic() < self.end:
            await asyncio.sleep(self.random.uniform(1, 4))
            gateway = self.random.choice(self.deployment.gateways)
            kind = self.random.choice(kinds)
            if kind == "config":
                self.write_config()
            elif kind == "settings":
                self.write_settings(gateway)
            elif kind == "reload":
                gateway.signal(signal.SIGHUP)
            elif kind == "silence":
                silent = self.random.choice(self.groups + self.groups[0].ranks + self.desks)
                silent.gate.until = time.monotonic() + self.random.uniform(0.5, 2.5)
            else:
                for group in self.groups:
                    group.shift()

    # Clients.

    async def client(self, index):
        draw = random.Random(f"{self.options.seed}/{index}")
        look_up_s = LOOK_UP_S * (3 if index % 3 == 0 else 1)
        found, valid_until, kept = [], 0, []
        await asyncio.sleep(draw.uniform(0, 1))
        while time.monotonic() < self.end:
            await asyncio.sleep(draw.choice(PAUSES_S))
            kept = [one for one in kept if one.usable()]
            if kept and draw.random() < 0.8:
                await self.ask(draw, draw.choice(kept))
                continue
            if time.monotonic() >= valid_until:
                found = await self.look_up(draw) or found
                valid_until = time.monotonic() + look_up_s
            if not found:
                continue
            connection = Connection(draw.choice(found), draw.random() < 0.15)
            if await connection.open():
                kept.append(connection)
                await self.ask(draw, connection)
        for connection in kept:
            connection.close()

    async def look_up(self, draw):
        addresses = await self.deployment.lookup(draw.choice(self.deployment.gateways)) or []
        return [one for one in self.deployment.gateways if one.clients in addresses]

    async def ask(self, draw, connection):
        request = Sent(draw, connection)
        self.sent.append(request)
        await connection.ask(request, draw)
        self.record.write("seen " + request.text())


async def run(soak):
    """Runs the soak. Returns its breaches and how late the stand-ins ran at most, in ms."""
    lag = 0.0

    async def watch():
        nonlocal lag
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            lag = max(lag, time.monotonic() - before - 0.05)

    task = asyncio.ensure_future(watch())
    try:
        return await soak.run(), int(lag * 1e3)
    finally:
        task.cancel()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--replicas", type=int, default=16, help="ranks, 24 at most")
    parser.add_argument("--clients", type=int, default=60)
    parser.add_argument("--no-silence", dest="silence", action="store_false")
    parser.add_argument("--programs", default=os.path.join(ROOT, "build", "programs"))
    parser.add_argument("--out", default=".", help="folder of the record")
    options = parser.parse_args()
    standin.GATEWAY = os.path.join(options.programs, "gateway/quincebank-gateway")
    standin.AGENT = os.path.join(options.programs, "rank_agent/quincebank-rank-agent")
    os.makedirs(options.out, exist_ok=True)
    record = standin.Record(options.out)
    random.seed(options.seed)
    soak = Soak(options, record)
    record.write(f"seed {options.seed}, logs in {soak.deployment.folder}")
    breaches, lag_ms = asyncio.run(run(soak))
    for breach in breaches:
        record.write("BREACH " + breach)
        print("BREACH " + breach)
    summary = json.dumps({
        "seed": options.seed, "breaches": len(breaches), "requests": len(soak.sent),
        "statuses": collections.Counter(str(one.status) for one in soak.sent),
        "incomplete": sum(not one.complete for one in soak.sent), "stops": len(soak.stops),
        "switches": sum(group.switches for group in soak.groups),
        "longest_hold_ms": int(1e3 * max(group.longest_hold for group in soak.groups)),
        "lag_ms": lag_ms})
    record.write(summary)
    print(summary)
    sys.exit(1 if breaches else 0)


if __name__ == "__main__":
    main()

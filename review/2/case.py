"""One odd entry among those of the replicas ends one gateway after the other.

The entry names a group of many million ranks. Whoever coordinates the groups makes room for that
many ranks, exceeds the memory of its machine and is killed; the next gateway takes the role over.
"""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from config import config  # noqa: E402
from consumer import Channel, attempt_id, request_bytes  # noqa: E402
from deployment import Deployment, run_case  # noqa: E402
from memory import Watch  # noqa: E402
from rank_group import ENGINE  # noqa: E402
from replica import Replica  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_S = 45
CONSUMERS = 20
DEADLINE_MS = 8000
ENDS_FOR_FAULT = 3
ODD_SIZE = 100_000_000  # Ranks; the largest groups of the pages have 96.


async def consumer(deployment, record, until, seen):
    addresses, expires, channel = [], 0, None
    while time.monotonic() < until:
        if time.monotonic() >= expires:
            addresses = await deployment.lookup(random.choice(deployment.gateways)) or addresses
            expires = time.monotonic() + 1
        if channel is None or not channel.open or channel.address not in addresses:
            channel = Channel(random.choice(addresses))
        attempt = attempt_id()
        data = request_bytes("POST", "/draft/24x85", attempt, DEADLINE_MS, b"{}")
        outcome = await channel.ask(data, DEADLINE_MS / 1e3)
        name = f"{outcome.status} {'complete' if outcome.complete else outcome.why}"
        seen[name] = seen.get(name, 0) + 1
        record.write(f"consumer of {attempt}: {name}")
        if outcome.status != 200 or not outcome.complete:
            await asyncio.sleep(0.3)


async def case(record):
    values = config()
    values["services"][0]["engine"] = ENGINE
    deployment = Deployment(["lahore", "faisalabad", "multan"], values)
    watch = Watch(record, deployment.gateways)
    seen = {}
    try:
        await deployment.start()
        for i in range(4):
            await Replica(deployment.store, record, deployment.replica_hosts[i], deployment.port,
                          "drafts", "lahore").start()
        await asyncio.sleep(2)
        asyncio.ensure_future(watch.run())
        if TROUBLE:
            odd = {"service": "drafts", "address": f"{deployment.replica_hosts[30]}:9",
                   "zone": "multan", "version": "v1", "slots": 12, "state": "ready",
                   "cold_remaining_ms": 0, "sequence": 0, "born": 1796000000000,
                   "group": {"name": "g-1", "epoch": 1, "rank": 0, "state": "open"},
                   "size": ODD_SIZE}
            deployment.store.put("servers/i-0ddba115", odd)
            record.write(f"another writer leaves the entry {odd}")
        until = time.monotonic() + RUN_S
        await asyncio.gather(*[consumer(deployment, record, until, seen)
                               for _ in range(CONSUMERS)])
    finally:
        deployment.stop()
    summary = f"answers {seen}, peaks in MiB {watch.peaks}, ends {watch.ends}"
    record.write(summary)
    print(summary)
    faulty = [name for name, ends in watch.ends.items() if ends >= ENDS_FOR_FAULT]
    if len(faulty) < 2:
        return []
    return [f"Fault: {name} ended {watch.ends[name]} times" for name in faulty]


run_case(case)

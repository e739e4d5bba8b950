"""An answer that comes twice is taken for the answer to an order that was never carried out."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from config import config  # noqa: E402
from consumer import ask, attempt_id, request_bytes  # noqa: E402
from deployment import Deployment, run_case  # noqa: E402
from rank_group import EXPERTS, PLACEMENTS, SETS, SPARE, Faults, Group, Rank  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RANKS = 8
RUN_S = 105
AFTER_BREACH_S = 10  # Shows whether the group keeps the different maps.
SHIFT_S = 4.1
FAULT_S = 5.0  # Length of a disruption; the next one follows after a pause.
PAUSE_S = 0.5
LATE_SHARE = 0.35
REPEAT_SHARE = 0.03
GARBLING_SHARE = 0.6
CONSUMERS = 12
DEADLINE_MS = 8000

ENGINE = {"slots": 12, "kv_capacity": 280000, "kv_bytes": 35136, "link_mbps": 92000.0, "stride": 4,
          "models": [{"name": "m"}], "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
          "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512, "report_lag_ms": 200.0,
          "usual": {"prompt": 835, "answer": 97}, "sets": SETS, "experts": EXPERTS,
          "placements": PLACEMENTS, "spare": SPARE, "expert_mb": 1700.0, "expert_share": 0.85,
          "form_ms": 600.0}


class Until:
    """The end of the run: earlier if the rule is broken."""

    def __init__(self, group):
        self.group = group
        self.end = time.monotonic() + RUN_S

    async def watch(self):
        while time.monotonic() < self.end and not self.group.breaches:
            await asyncio.sleep(0.1)
        self.end = min(self.end, time.monotonic() + AFTER_BREACH_S)

    def over(self):
        return time.monotonic() >= self.end


async def consumer(deployment, until):
    while not until.over():
        gateway = random.choice(deployment.gateways)
        data = request_bytes("POST", "/draft/24x85", attempt_id(), DEADLINE_MS, b"{}")
        await ask(gateway.clients, data, DEADLINE_MS / 1e3)


async def trouble(record, faults, ranks, until):
    while not until.over():
        for rank in ranks:
            rank.garbling = False
        for rank in random.sample(ranks, int(len(ranks) * GARBLING_SHARE)):
            rank.garbling = True
        faults.late_until = faults.repeat_until = time.monotonic() + FAULT_S
        record.write("orders are left unanswered, and answers come twice, for 5 s")
        await asyncio.sleep(FAULT_S + PAUSE_S)


async def shifts(group, until):
    while not until.over():
        await asyncio.sleep(SHIFT_S)
        group.shift()


async def case(record):
    values = config()
    values["services"][0]["engine"] = ENGINE
    deployment = Deployment(["lahore", "faisalabad"], values, agents=RANKS)
    faults = Faults(LATE_SHARE, REPEAT_SHARE)
    group = Group(record, RANKS)
    try:
        await deployment.start()
        for i in range(RANKS):
            rank = Rank(group, i, deployment.store, record, deployment.replica_hosts[i],
                        deployment.port, "drafts", "lahore", faults)
            group.ranks.append(rank)
            await rank.start()
        passes = asyncio.ensure_future(group.run())
        until = Until(group)
        tasks = [consumer(deployment, until) for _ in range(CONSUMERS)]
        tasks += [until.watch(), shifts(group, until)]
        if TROUBLE:
            tasks.append(trouble(record, faults, group.ranks, until))
        await asyncio.gather(*tasks)
        passes.cancel()
    finally:
        deployment.stop()
    summary = (f"{group.step} passes, {group.switches} changes of the map, "
               f"{group.mixed} passes with different maps")
    record.write(summary)
    print(summary)
    return group.breaches


run_case(case)

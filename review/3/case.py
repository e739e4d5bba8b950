"""A gateway that is stopped takes requests that it then cuts off when it exits.

Consumers that keep a looked-up address three times as long as its lifetime, which the pages allow,
still connect three to three and a half seconds after the SIGTERM. The gateway takes their requests,
passes them on and exits half a second before its grace time ends, in the middle of the answers.
"""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from config import config  # noqa: E402
from consumer import ask, attempt_id, request_bytes  # noqa: E402
from deployment import Deployment, run_case  # noqa: E402
from replica import Replica  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 8.0
DEADLINE_MS = 8000
ZONES = ["lahore", "faisalabad", "multan"]  # Two gateways in each, as on the sheet.
KEEP_FACTOR = 3  # Some consumers keep an answer of the directory three times as long:
LONG_KEEPERS = 3  # one in so many; the others keep it for its lifetime.
WORK = "56x85"  # Events of a stream and the gap between them in ms: about 4.8 s.
# The rule excuses answers under way in the last sixth of the grace time, of requests that were sent
# up to 3 s after the SIGTERM; the rest is for the time that the signal takes.
EXCUSED_UNTIL_S = 3.05
CONSUMERS = 90  # In BEGIN_S, so 75 streams a second, as on the sheet.
BEGIN_S = 1.2
CYCLES = 6  # Each gateway is stopped once.


class Stop:
    """One planned stop of a gateway."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.at = None


async def consumer(deployment, record, stop, begin, factor, breaches):
    """Looks up once, and sends a stream shortly before its answer of the directory expires."""
    await asyncio.sleep(max(0, begin - time.monotonic()))
    others = [one for one in deployment.gateways if one is not stop.gateway]
    addresses = await deployment.lookup(random.choice(others))
    looked_up = time.monotonic()
    if not addresses:
        return
    await asyncio.sleep(max(0, looked_up + deployment.ttl * factor - 0.05 - time.monotonic()))
    address = random.choice(addresses)
    if address != stop.gateway.clients:
        return
    attempt = attempt_id()
    sent = time.monotonic()
    since = f"{sent - stop.at:.3f} s after SIGTERM" if stop.at else "without a stop"
    record.write(f"sent {attempt} to {stop.gateway.name} {since}, "
                 f"looked up {sent - looked_up:.3f} s before, ttl_s {deployment.ttl}")
    outcome = await ask(address, request_bytes("POST", f"/draft/{WORK}", attempt, DEADLINE_MS,
                                               b"{}"), DEADLINE_MS / 1e3)
    ended = time.monotonic()
    record.write(f"consumer of {attempt}: status {outcome.status}, complete {outcome.complete}, "
                 f"{len(outcome.body)} bytes, {ended - sent:.3f} s, {outcome.why}")
    judge(deployment, stop, attempt, sent, ended, outcome, breaches)


def judge(deployment, stop, attempt, sent, ended, outcome, breaches):
    """LOST around a SIGTERM: passed on to a replica, and cut off without a complete answer."""
    passed_on = any(attempt in replica.runs for replica in deployment.replicas)
    if not passed_on or outcome.complete or ended - sent >= DEADLINE_MS / 1e3 - 0.2:
        return
    if stop.at is None:
        breaches.append(f"LOST {attempt} without a stop: {outcome.why}")
        return
    last_sixth = ended - stop.at >= GRACE_S * 5 / 6
    if last_sixth and sent - stop.at <= EXCUSED_UNTIL_S:
        return  # The rule excuses these.
    if ended - stop.at <= GRACE_S + 1:
        breaches.append(f"LOST {attempt}: sent {sent - stop.at:.3f} s after SIGTERM, "
                        f"cut {ended - stop.at:.3f} s after it, {len(outcome.body)} bytes came")


async def case(record):
    deployment = Deployment(ZONES * 2, config())
    breaches = []
    deployment.replicas = []
    try:
        await deployment.start()
        for i in range(6):
            replica = Replica(deployment.store, record, deployment.replica_hosts[i],
                              deployment.port, "drafts" if i < 5 else "desk", "lahore")
            deployment.replicas.append(replica)
            await replica.start()
        await asyncio.sleep(2)
        for cycle in range(CYCLES):
            stop = Stop(deployment.gateways[cycle])
            begin = time.monotonic() + 0.3
            tasks = [asyncio.ensure_future(
                consumer(deployment, record, stop, begin + 0.2 + i * BEGIN_S / CONSUMERS,
                         1 if i % LONG_KEEPERS else KEEP_FACTOR, breaches))
                for i in range(CONSUMERS)]
            await asyncio.sleep(0.5)
            if TROUBLE:
                stop.at = time.monotonic()
                record.write(f"SIGTERM to {stop.gateway.name}")
                stop.gateway.signal(signal.SIGTERM)
                asyncio.ensure_future(restart(record, deployment, stop))
            await asyncio.gather(*tasks)
            await asyncio.sleep(4)
        return breaches
    finally:
        deployment.stop()


async def restart(record, deployment, stop):
    """The platform kills a process that is still there at the end of its grace time."""
    while stop.gateway.running() and time.monotonic() < stop.at + GRACE_S:
        await asyncio.sleep(0.02)
    record.write(f"{stop.gateway.name} ended {time.monotonic() - stop.at:.3f} s after SIGTERM")
    stop.gateway.signal(signal.SIGKILL)
    stop.gateway.process.wait()
    await asyncio.sleep(1)
    stop.gateway.start()


run_case(case)

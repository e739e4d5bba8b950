"""One empty entry among those of the replicas stops all gateways from following the store.

A watch and a full read fail as a whole if one item has an empty value. The gateways go on with what
they knew before: a confirmed configuration is never in force, and one that restarts never serves.
"""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from config import config, service  # noqa: E402
from consumer import ask, attempt_id, request_bytes  # noqa: E402
from deployment import Deployment, run_case  # noqa: E402
from replica import Replica  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
APPLY_S = 2.0  # `config_apply_ms`
OUTSIDE_S = 0.1  # Added to it, for the script's own delays.
ORDERS_S = 15
ORDER_DEADLINE_MS = 1500
GRACE_S = 8
RECOVERY_S = 12


def changed():
    """The next version: the orders' route leads to another service."""
    values = config(version=11)
    values["services"].append(service("desk-b", 48))
    for route in values["routes"]:
        if route["name"] == "r-order":
            route["service"] = "desk-b"
    return values


async def place_order(record, gateway, services):
    attempt = attempt_id()
    data = request_bytes("POST", "/order/15", attempt, ORDER_DEADLINE_MS, b"{}")
    outcome = await ask(gateway.clients, data, ORDER_DEADLINE_MS / 1e3)
    ran = [name for name, replicas in services.items()
           if any(attempt in replica.runs for replica in replicas)]
    record.write(f"order {attempt} at {gateway.name}: {outcome.status} {outcome.why}, run by {ran}")
    return attempt, outcome, ran


async def restart(deployment, record, gateway):
    """Stops a gateway as planned and starts it again. Returns whether it gets ready."""
    record.write(f"SIGTERM to {gateway.name}")
    gateway.signal(signal.SIGTERM)
    until = time.monotonic() + GRACE_S
    while gateway.running() and time.monotonic() < until:
        await asyncio.sleep(0.05)
    gateway.signal(signal.SIGKILL)
    gateway.process.wait()
    gateway.start()
    try:
        await deployment.wait_ready(gateway, RECOVERY_S)
        return True
    except Exception as reason:  # pylint: disable=broad-except
        record.write(f"{RECOVERY_S} s after its start: {reason}")
        return False


async def case(record):
    deployment = Deployment(["lahore", "faisalabad"], config())
    breaches = []
    try:
        await deployment.start()
        services = {"desk": [], "desk-b": []}
        for i, name in enumerate(["desk", "desk", "desk-b", "desk-b"]):
            replica = Replica(deployment.store, record, deployment.replica_hosts[i],
                              deployment.port, name, "lahore", 6)
            services[name].append(replica)
            await replica.start()
        await asyncio.sleep(2)
        for gateway in deployment.gateways:
            await place_order(record, gateway, services)
        if TROUBLE:
            deployment.store.put("servers/i-0ddba115", b"")
            record.write("another writer leaves an empty entry, servers/i-0ddba115")
        await asyncio.sleep(5)
        deployment.store.put("op/config", changed())
        confirmed = time.monotonic()
        record.write("version 11 is confirmed: orders go to desk-b")
        await asyncio.sleep(APPLY_S + OUTSIDE_S)
        while time.monotonic() < confirmed + ORDERS_S:
            for gateway in deployment.gateways:
                sent = time.monotonic()
                attempt, _, ran = await place_order(record, gateway, services)
                if "desk" in ran:
                    breaches.append(
                        f"CONFIG {attempt} at {gateway.name}: sent {sent - confirmed:.1f} s after "
                        "version 11 was confirmed, run by the service of version 7")
            await asyncio.sleep(0.5)
        ready = await restart(deployment, record, deployment.gateways[0])
        record.write(f"{deployment.gateways[0].name} is ready again: {ready}")
        print(f"ready again after a planned restart: {ready}")
        return breaches
    finally:
        deployment.stop()


run_case(case)

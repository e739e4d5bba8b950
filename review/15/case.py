"""The settings files change, and all processes are killed at the end of the day."""

import asyncio
import os
import re
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

import http1  # noqa: E402
from config import route, service  # noqa: E402
from world import BROKEN, HELD, NOT_RUN, TROUBLE, play  # noqa: E402

GATEWAYS = 2
GRACE_S, NEW_GRACE_S = 8, 7.5
RECOVERY_S = 12.0
DOWN_S, RESTART_S = 0.5, 0.5
REQUESTS = 20


async def serve(world, when):
    """Returns the share of the requests that are served."""
    served = 0
    for number in range(REQUESTS):
        gateway = world.gateways[number % GATEWAYS]
        answer = await http1.exchange(gateway.frontend, "GET", "/status/1", world.fields(),
                                      timeout=4)
        served += bool(answer and answer.status == 200)
        world.record.write(f"request {number} {when} gets", answer.start if answer else "no answer")
        await asyncio.sleep(0.1)
    return served / REQUESTS


def change_settings(gateway):
    """What the template makes of the new figure."""
    with open(gateway.settings, encoding="utf-8") as file:
        text = file.read()
    changed = re.sub(rf'("stop_grace_ms": ){GRACE_S}000', rf"\g<1>{NEW_GRACE_S}000", text)
    with open(gateway.settings, "w", encoding="utf-8") as file:
        file.write(changed)
    return changed != text


async def supervise(world, until):
    """The platform starts a process that has ended again, with the settings in effect."""
    starts = 0
    while time.monotonic() < until:
        for gateway in world.gateways:
            if gateway.running():
                continue
            await asyncio.sleep(RESTART_S)
            gateway.start()
            starts += 1
        await asyncio.sleep(0.05)
    world.record.write(f"the platform has started processes {starts} times; they end with",
                       [gateway.process.poll() for gateway in world.gateways])


async def case(world):
    for _ in range(2):
        await world.add_replica("desk", 12)
    if not await world.start([route("status", "safe", "desk")], [service("desk")], GATEWAYS):
        return NOT_RUN
    before = await serve(world, "before the final fault")
    if TROUBLE:
        for gateway in world.gateways:
            if not change_settings(gateway):
                return NOT_RUN
            gateway.signal(signal.SIGHUP)
        world.record.write(f"grace_s is {NEW_GRACE_S} in all settings files; SIGHUP is sent")
        await asyncio.sleep(1)
    world.record.write("all processes are killed")
    for gateway in world.gateways:
        gateway.end()
    await asyncio.sleep(DOWN_S)
    back = time.monotonic()
    platform = asyncio.ensure_future(supervise(world, back + RECOVERY_S + 8))
    await asyncio.sleep(RECOVERY_S)
    after = await serve(world, "after recovery_s")
    await platform
    world.record.write(f"served: {before:.0%} before, {after:.0%} after")
    return BROKEN if before >= 0.25 > after else HELD


play(HERE, case)

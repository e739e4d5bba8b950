"""Releases of a service between peaks, and then new channels of consumers."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

import http1  # noqa: E402
from config import route, service  # noqa: E402
from replica import Replica  # noqa: E402
from world import BROKEN, CONTACT_S, HELD, NOT_RUN, TROUBLE, play  # noqa: E402

REPLICAS, SLOTS = 16, 12
# A release replaces half of the replicas, two at a time, one second after the other.
RELEASES, SHARE, AT_A_TIME, GAP_S = 20, 0.5, 2, 1.0
DRAIN_S = 2.0
PEAK_S, PAUSE_S = 0.6, 0.4
CALLERS = 1000  # Consumers, each with a kept channel.
TRIERS = 12
TRIED_S = 5.0  # Over `contact_ms`, and over the route's 4 s and half a second more.


class Desk(Replica):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.work_s = 0.1


class Peak:
    def __init__(self, world):
        self.world, self.calls = world, asyncio.Event()
        self.served = self.refused = self.broken = 0

    async def caller(self):
        """Sends one request after the other on a kept channel while there is a peak."""
        reader, writer = await asyncio.open_connection(*self.world.gateways[0].frontend)
        while True:
            await self.calls.wait()
            writer.write(http1.encode("GET /status/1 HTTP/1.1", self.world.fields()))
            message = await http1.read_head(reader)
            if message is None:
                self.broken += 1
                return
            await http1.read_body(reader, message)
            if message.status == 200:
                self.served += 1
                continue
            self.refused += 1
            await asyncio.sleep(float(message.get("retry-after", "0.3")))


class Platform:
    """Asks the gateway once a second, on a kept channel, whether it is ready."""

    def __init__(self):
        self.answers = []

    async def check(self, address):
        reader, writer = await asyncio.open_connection(*address)
        while True:
            writer.write(http1.encode("GET /-/readyz HTTP/1.1", {"Host": "gateway"}))
            message = await http1.read_head(reader)
            self.answers.append(message.status if message else "closed")
            if message is None:
                return
            await asyncio.sleep(1)


async def release(world, replicas, tasks):
    """The new replica starts first, the old one drains."""
    for first in range(0, int(REPLICAS * SHARE), AT_A_TIME):
        old = replicas[:AT_A_TIME]
        del replicas[:AT_A_TIME]
        for leaving in old:
            if not TROUBLE:
                replicas.append(leaving)
                continue
            replicas.append(await world.add_replica("desk", SLOTS, Desk, leaving.address[0]))
            tasks.append(asyncio.ensure_future(leaving.drain(DRAIN_S)))
        if first + AT_A_TIME < REPLICAS * SHARE:
            await asyncio.sleep(GAP_S)


async def try_channel(world, number):
    answer = await http1.exchange(world.gateways[0].frontend, "GET", "/status/1", world.fields(),
                                  timeout=TRIED_S)
    world.record.write(f"new channel {number}:", answer.start if answer else "not taken")
    return answer is not None


async def case(world):
    replicas = [await world.add_replica("desk", SLOTS, Desk) for _ in range(REPLICAS)]
    if not await world.start([route("status", "safe", "desk")], [service("desk")]):
        return NOT_RUN
    gateway, platform, peak = world.gateways[0], Platform(), Peak(world)
    tasks = [asyncio.ensure_future(platform.check(gateway.readiness))]
    if not await try_channel(world, 0):
        return NOT_RUN
    tasks += [asyncio.ensure_future(peak.caller()) for _ in range(CALLERS)]
    for number in range(RELEASES):
        before = peak.served
        peak.calls.set()
        await asyncio.sleep(PEAK_S)
        peak.calls.clear()
        world.record.write(f"peak {number}: served {peak.served}, refused {peak.refused}, cut off",
                           f"{peak.broken} so far; descriptors {gateway.descriptors()} of",
                           gateway.limits["max_fds"])
        if peak.served == before:
            break  # Nothing is served any more.
        await asyncio.sleep(PAUSE_S)
        await release(world, replicas, tasks)
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(DRAIN_S + CONTACT_S)
    first = len(platform.answers)
    taken = await asyncio.gather(*(try_channel(world, n + 1) for n in range(TRIERS)))
    await asyncio.sleep(1)
    ready = platform.answers[first - 1:]
    world.record.write(f"{sum(taken)} of {TRIERS} new channels taken; ready: {ready}; descriptors",
                       gateway.descriptors())
    return BROKEN if not any(taken) and set(ready) == {200} else HELD


play(HERE, case)

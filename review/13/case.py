"""The operator allows longer heads, and a consumer inside the limit sends a long field."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

import http1  # noqa: E402
from config import route, service  # noqa: E402
from replica import Replica  # noqa: E402
from world import BROKEN, HELD, NOT_RUN, TROUBLE, play  # noqa: E402

HEADER_BYTES = 131_072  # The operator's new limit.
FIELD_BYTES = 70_000
ORDERS = 12
ALLOWED = 3  # "more than three times"


class Desk(Replica):
    """Runs an order for two seconds."""

    async def run(self, message, writer, fields):
        self.work_s = 2.0 if message.body == b"order" else 0.01
        await super().run(message, writer, fields)


async def order(world, number):
    """Returns whether the order that a consumer sends on a kept channel is answered."""
    reader, writer = await asyncio.open_connection(*world.gateways[0].frontend)
    try:
        for body in (b"first", b"order"):
            fields = world.fields()
            writer.write(http1.encode("POST /order/1 HTTP/1.1",
                                      {**fields, "Content-Length": len(body)}, body))
            message = await http1.read_head(reader)
            if message is not None:
                await http1.read_body(reader, message)
            runs = world.runs(fields["X-Quincebank-Attempt-Id"])
            world.record.write(f"consumer {number} sent", body.decode(),
                               fields["X-Quincebank-Attempt-Id"], "and gets",
                               message.start if message else "no answer; the channel has ended",
                               f"(it has run {runs} times)")
            if message is None:
                return False
        return True
    except (OSError, asyncio.IncompleteReadError) as failure:
        world.record.write(f"consumer {number}: the channel ends without an answer:", failure)
        return False
    finally:
        writer.close()


async def case(world):
    for _ in range(2):
        await world.add_replica("desk", 12, Desk)
    if not await world.start([route("order", "unsafe", "desk"), route("status", "safe", "desk")],
                             [service("desk")]):
        return NOT_RUN
    gateway = world.gateways[0]
    world.values["version"] += 4
    world.values["limits"]["max_header_bytes"] = HEADER_BYTES
    world.store.put("op/config", world.values)
    await asyncio.sleep(4)
    orders = [asyncio.ensure_future(order(world, n)) for n in range(ORDERS)]
    await asyncio.sleep(1)
    if any(task.done() for task in orders):
        return NOT_RUN
    field = "a" * (FIELD_BYTES if TROUBLE else 1_000)
    world.record.write(f"another consumer sends a head with a field of {len(field)} bytes; the",
                       f"limit of heads is {HEADER_BYTES}")
    answer = await http1.exchange(gateway.frontend, "GET", "/status/1", world.fields(Note=field))
    world.record.write("it gets", answer.start if answer else "no answer")
    lost = (await asyncio.gather(*orders)).count(False)
    world.record.write(f"{lost} of {ORDERS} orders lost; the gateway's exit code:",
                       gateway.process.poll())
    return BROKEN if lost > ALLOWED else HELD


play(HERE, case)

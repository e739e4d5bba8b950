"""One replica in trouble sends bytes that are no answer, while sound replicas are at work."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

import http1  # noqa: E402
from config import route, service  # noqa: E402
from replica import Replica  # noqa: E402
from world import BROKEN, HELD, NOT_RUN, TROUBLE, play  # noqa: E402

ORDERS = 12
ORDER_S = 2.0
ALLOWED = 3  # "more than three times"
FIELD_BYTES = 70_000


class Desk(Replica):
    """Sound: runs an order for two seconds."""

    async def run(self, message, writer, fields):
        self.work_s = ORDER_S if message.body == b"order" else 0.01
        await super().run(message, writer, fields)


class Faulty(Replica):
    """In trouble, what it sends behind the first bytes of a body is no part of an answer, and it
    goes on until its caller closes."""

    async def run(self, message, writer, fields):
        if not TROUBLE:
            await super().run(message, writer, fields)
            return
        head = http1.encode("HTTP/1.1 200 OK", {**fields, "Transfer-Encoding": "chunked"})
        writer.write(head + b"4\r\nbody\r\n0\r\n" + b"x:" + b"a" * FIELD_BYTES + b"\r\n\r\n")
        while not writer.transport.is_closing():
            writer.write(b"a" * 1000)
            await writer.drain()
            await asyncio.sleep(0.01)


async def order(world, number):
    """Returns whether the order that a consumer sends on a kept channel is answered."""
    reader, writer = await asyncio.open_connection(*world.gateways[0].frontend)
    try:
        for body in (b"first", b"order"):
            fields = world.fields()
            world.record.write(f"consumer {number} sends", body.decode(),
                               fields["X-Quincebank-Attempt-Id"])
            writer.write(http1.encode("POST /order/1 HTTP/1.1",
                                      {**fields, "Content-Length": len(body)}, body))
            message = await http1.read_head(reader)
            if message is not None:
                await http1.read_body(reader, message)
            runs = world.runs(fields["X-Quincebank-Attempt-Id"])
            world.record.write(f"consumer {number} gets",
                               message.start if message else "no answer; the channel has ended",
                               f"({fields['X-Quincebank-Attempt-Id']} has run {runs} times)")
            if message is None:
                return False
        return True
    except (OSError, asyncio.IncompleteReadError) as failure:
        world.record.write(f"consumer {number}: the channel ends without an answer:", failure)
        return False
    finally:
        writer.close()


async def case(world):
    routes = [route("order", "unsafe", "desk"), route("status", "safe", "status")]
    for _ in range(2):
        await world.add_replica("desk", 12, Desk)
    await world.add_replica("status", 12, Faulty)
    if not await world.start(routes, [service("desk"), service("status")]):
        return NOT_RUN
    gateway = world.gateways[0]
    orders = [asyncio.ensure_future(order(world, n)) for n in range(ORDERS)]
    await asyncio.sleep(1)
    if any(task.done() for task in orders):
        return NOT_RUN
    world.record.write("another consumer asks for a status")
    answer = await http1.exchange(gateway.frontend, "GET", "/status/1", world.fields())
    world.record.write("it gets", answer.start if answer else "no answer")
    answered = await asyncio.gather(*orders)
    lost = answered.count(False)
    world.record.write(f"{lost} of {ORDERS} orders lost; the gateway's exit code:",
                       gateway.process.poll())
    return BROKEN if lost > ALLOWED else HELD


play(HERE, case)

"""A replica spoils one byte in a few of its streams: a digit in the id of an event."""

import asyncio
import os
import re
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

import http1  # noqa: E402
from config import route, service  # noqa: E402
from replica import Replica  # noqa: E402
from world import BROKEN, HELD, NOT_RUN, TROUBLE, play  # noqa: E402

STREAMS, EVENTS, GAP_S = 80, 24, 0.01
SPOILT_OF = 20  # One answer in so many of one replica of two: x = 0.05, share = 0.5.
SPOILT_EVENT = 13


class Drafts(Replica):
    """Notes the body that it has sent for each attempt."""

    spoils = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.sent = {}

    async def run(self, message, writer, fields):
        attempt = message.get("x-quincebank-attempt-id")
        spoilt = TROUBLE and self.spoils and len(self.runs) % SPOILT_OF == 1
        head = {**fields, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        data = http1.encode("HTTP/1.1 200 OK", head)
        self.sent[attempt] = b""
        for number in range(int(message.get("last-event-id", "-1")) + 1, EVENTS):
            event = f"id: {number}\ndata: part {number}\n\n".encode()
            if spoilt and number == SPOILT_EVENT:
                event = event.replace(b"id: 13", b"id: 93")
            writer.write(data + b"%x\r\n%s\r\n" % (len(event), event))
            data = b""
            self.sent[attempt] += event
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n")


def ids(body):
    return ",".join(number.decode() for number in re.findall(rb"id: (\d+)", body))


async def case(world):
    replicas = [await world.add_replica("drafts", 12, Drafts) for _ in range(2)]
    replicas[0].spoils = True
    draft = route("draft", "streaming", "drafts", resumable=True, gap_target_ms=120)
    if not await world.start([draft], [service("drafts")]):
        return NOT_RUN
    broken = complete = 0
    for _ in range(STREAMS):
        fields = world.fields()
        attempt = fields["X-Quincebank-Attempt-Id"]
        answer = await http1.exchange(world.gateways[0].frontend, "POST", "/draft/1", fields,
                                      b"prompt")
        runs = [replica.sent[attempt] for replica in replicas if attempt in replica.sent]
        if answer is None or answer.status != 200 or len(runs) != 1:
            world.record.write(f"stream {attempt}: no complete answer, {len(runs)} runs")
            continue
        complete += 1
        if answer.body == runs[0]:
            continue
        broken += 1
        world.record.write(f"stream {attempt}: the one replica that ran it sent the events",
                           f"{ids(runs[0])}; the consumer has a complete 200 with {ids(answer.body)}")
    world.record.write(f"{complete} of {STREAMS} streams are complete, {broken} of them without a",
                       "part of what the replica sent")
    if complete < STREAMS / 2:
        return NOT_RUN
    return BROKEN if broken else HELD


play(HERE, case)

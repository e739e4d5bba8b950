"""The coordinator is stopped as planned while one replica hands out wrong bytes."""

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
from machines import Machine  # noqa: E402
from rank import ENGINE, Group, Rank  # noqa: E402
from replica import Replica  # noqa: E402
from world import BROKEN, HELD, NOT_RUN, TROUBLE, play  # noqa: E402

GATEWAYS, RANKS = 3, 4
ORDERERS, READERS = 8, 4  # For each gateway.
ORDER_S = 1.0
ALLOWED = 3  # "more than three times"
SHARE, SPOILT_SHARE, GARBLE_S = 0.25, 0.05, 5.0  # Largest doses: 0.6 of the servers, 0.05.


class Garbling(Rank):
    """Spoils some of its answers for five seconds: one digit of an expert is another one."""

    since = None
    answers = spoilt = 0

    def control(self, target):
        data = super().control(target)
        if self.since is None or time.monotonic() > self.since + GARBLE_S:
            return data
        self.answers += 1
        if "lists" in target and self.spoilt + 1 <= SPOILT_SHARE * max(self.answers, 20):
            self.spoilt += 1
            wrong = re.sub(rb"([\[,])1([0-5])(?=[\],])", rb"\g<1>9\2", data, count=1)
            self.note("spoils an answer:", data, "is sent as", wrong)
            return wrong
        return data


class Desk(Replica):
    """Sound: runs an order for a second."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.work_s = ORDER_S


class Consumers:
    def __init__(self, world):
        self.world, self.working = world, True
        self.lost, self.answered = {}, 0

    async def send(self, gateway, path, body):
        """Sends one request after the other on a kept channel."""
        reader = writer = None
        while self.working and gateway.running():
            fields = self.world.fields(deadline_ms=8000, **{"Content-Length": len(body)})
            attempt = fields["X-Quincebank-Attempt-Id"]
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(*gateway.frontend)
                writer.write(http1.encode(f"POST {path} HTTP/1.1", fields, body))
                message = await http1.read_head(reader)
                if message is not None:
                    await http1.read_body(reader, message)
            except (OSError, asyncio.IncompleteReadError):
                message = None
            if message is not None:
                self.answered += message.status == 200
                if message.get("connection") == "close":
                    writer.close()
                    reader = writer = None
                if message.status != 200:
                    await asyncio.sleep(0.3)
                continue
            if path.startswith("/order") and self.world.runs(attempt):
                self.lost[gateway.name] = self.lost.get(gateway.name, 0) + 1
                self.world.record.write(f"order {attempt} has run, and {gateway.name} closes the",
                                        "channel without an answer")
            return


async def case(world):
    group = Group("g-1", RANKS)
    ranks, agents = [], []
    for number in range(RANKS):
        agent = Machine("rank-agent", world.network, "zone-a", world.store_address, world.folder,
                        app="{app}")
        rank = await make_rank(world, agent, Garbling if number == 1 else Rank, group)
        ranks.append(rank)
        agents.append(agent)
    for _ in range(2):
        await world.add_replica("desk", 12, Desk)
    work = asyncio.ensure_future(group.work())
    routes = [route("order", "unsafe", "desk"),
              route("draft", "streaming", "drafts", resumable=True, gap_target_ms=120)]
    try:
        if not await world.start(routes, [service("desk"), service("drafts", engine=ENGINE)],
                                 GATEWAYS):
            return NOT_RUN
        return await observe(world, ranks)
    finally:
        work.cancel()
        for agent in agents:
            agent.end()


async def make_rank(world, agent, kind, group):
    address = (agent.host, next(world.ports))
    with open(agent.settings, encoding="utf-8") as file:
        text = file.read()
    with open(agent.settings, "w", encoding="utf-8") as file:
        file.write(text.replace("{app}", "%s:%d" % address))
    rank = kind(world.store, "drafts", "zone-a", address, ENGINE["slots"])
    rank.note = lambda *words: world.record.write(rank.id, *words)
    rank.join(group)
    await rank.start()
    world.replicas.append(rank)
    agent.start()
    return rank


def coordinator(world):
    item = world.store.items.get("quincebank/coordinator")
    name = item[0].decode().split("/")[0] if item else None
    return next((gateway for gateway in world.gateways if gateway.name == name), None)


async def observe(world, ranks):
    consumers = Consumers(world)
    tasks = [asyncio.ensure_future(consumers.send(gateway, path, body))
             for gateway in world.gateways
             for path, body, count in (("/order/1", b"order", ORDERERS),
                                       ("/draft/1", b"prompt", READERS))
             for _ in range(count)]
    for _ in range(100):
        await asyncio.sleep(0.1)
        if coordinator(world) and all(rank.map_version for rank in ranks):
            break
    else:
        world.record.write("no map was changed")
        return NOT_RUN
    await asyncio.sleep(1)
    stopped = coordinator(world)
    if stopped is None:
        return NOT_RUN
    world.record.write(f"map {ranks[0].map_version} is in use; {stopped.name} is the coordinator",
                       "and gets SIGTERM")
    if TROUBLE:
        ranks[1].since = time.monotonic()
    stopped.signal(signal.SIGTERM)
    await asyncio.sleep(GARBLE_S + 1)
    consumers.working = False
    await asyncio.wait(tasks, timeout=9)
    for gateway in world.gateways:
        world.record.write(gateway.name, "has ended with" if not gateway.running() else "runs",
                           gateway.process.poll())
    if TROUBLE:
        world.record.write(f"{ranks[1].spoilt} of {ranks[1].answers} control answers were spoilt")
    lost = {name: count for name, count in consumers.lost.items() if name != stopped.name}
    world.record.write(f"{consumers.answered} requests served; orders lost by machines that were",
                       "not stopped:", lost)
    return BROKEN if any(count > ALLOWED for count in lost.values()) else HELD


play(HERE, case)

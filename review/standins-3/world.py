"""A small deployment for one case: store, operator, gateways, replicas and consumers."""

import asyncio
import itertools
import os
import signal
import sys
import time

import http1
from config import HOST, KEY, config
from machines import Folder, Machine, Network, Record
from replica import Replica
from store import Store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Exit codes that no failure of Python itself has; `run.sh` translates them.
HELD, BROKEN, NOT_RUN = 10, 11, 12
START_LIMIT_S = 15.0
CONTACT_S = 3.0


class World:
    def __init__(self, here, folder):
        self.record = Record(os.path.join(here, "record.txt"), time.monotonic)
        self.folder, self.network, self.store = folder, Network(), Store()
        self.store_address = (self.network.host(), self.network.port)
        self.ports = itertools.count(self.network.port + 40)
        self.attempts = itertools.count(1)
        self.gateways, self.replicas = [], []

    async def start(self, routes, services, gateways=1, limits=None):
        """Returns once each gateway says that it is ready."""
        await self.store.start(self.store_address)
        self.values = config(7, routes, services)
        self.values["limits"].update(limits or {})
        self.store.put("op/config", self.values)
        for _ in range(gateways):
            self.gateways.append(Machine("gateway", self.network, "zone-a", self.store_address,
                                         self.folder))
            self.gateways[-1].start()
        until = time.monotonic() + START_LIMIT_S
        while time.monotonic() < until:
            if all([await self.is_ready(gateway) for gateway in self.gateways]):
                await asyncio.sleep(CONTACT_S + 0.5)  # The machines are in touch.
                return True
            await asyncio.sleep(0.2)
        return False

    async def is_ready(self, gateway):
        answer = await http1.exchange(gateway.readiness, "GET", "/-/readyz", {"Host": "gateway"},
                                      timeout=1)
        return answer is not None and answer.status == 200

    async def add_replica(self, service, slots, kind=Replica, host=None):
        address = (host or self.network.host(), next(self.ports))
        replica = kind(self.store, service, "zone-a", address, slots)
        await replica.start()
        self.replicas.append(replica)
        return replica

    def fields(self, deadline_ms=4000, **more):
        """Header fields of a consumer's request, with an attempt id of its own."""
        return {"Host": HOST, "X-Quincebank-Attempt-Id": f"{next(self.attempts):016x}",
                "X-Quincebank-Deadline-Ms": str(deadline_ms), "Authorization": f"Token {KEY}",
                **more}

    def runs(self, attempt):
        return sum(message.get("x-quincebank-attempt-id") == attempt
                   for replica in self.replicas for message in replica.runs)

    def stop(self):
        for gateway in self.gateways:
            gateway.end()


def play(here, case):
    """Runs the case and exits with its result."""
    def end(*_):
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, end)
    result = NOT_RUN
    with Folder() as folder:
        world = World(here, folder)
        try:
            result = asyncio.run(case(world))
        except Exception as failure:  # pylint: disable=broad-except
            world.record.write("the case could not run:", repr(failure))
        finally:
            world.stop()
        words = {HELD: "the rule held", BROKEN: "the rule is broken"}
        world.record.write(words.get(result, "not run"))
    sys.stdout.flush()
    os._exit(result)  # Connections of the stand-ins may still be open.

"""Real processes under client load that is out of control.

Guards against a process that buffers bodies without a bound and is ended by its host. The checks:
the process is alive, its memory and its descriptors have stayed under the limits of its settings,
and one ordinary request is answered afterwards.
"""

import argparse
import asyncio
import os
import subprocess
import sys
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))

import deployment as standin  # noqa: E402
from client_load import Load  # noqa: E402
from config import config  # noqa: E402
from http11 import call  # noqa: E402
from replica import Replica  # noqa: E402

MEMORY_MB = 112  # Of the smallest host.
DESCRIPTORS = 600
BODY_BYTES = 1024 * 1024  # Limit of the test's configuration.
# Bodies of 1.5 times the memory, and more connections than descriptors.
BODIES = 3 * MEMORY_MB // 2
HEADS = DESCRIPTORS
ANSWER_S = 40.0  # Longer than all timeouts of a connection.
LOADS = {"chunked_bodies": Load.chunked_bodies, "oversized_bodies": Load.oversized_bodies,
         "legal_bodies": Load.legal_bodies}


class Watched:
    """A process, its largest number of descriptors and the peak of its memory."""

    def __init__(self, program):
        self.program, self.pid, self.descriptors = program, program.process.pid, 0

    async def watch(self):
        while True:
            self.count_descriptors()
            await asyncio.sleep(0.05)

    def count_descriptors(self):
        try:
            self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))
        except OSError:
            pass  # The process has ended, which `breaches` reports.

    def peak_mib(self):
        with open(f"/proc/{self.pid}/status", encoding="ascii") as file:
            lines = dict(line.split(":", 1) for line in file)
        return int(lines["VmHWM"].split()[0]) / 1024

    def breaches(self):
        if not self.program.running() or self.program.process.pid != self.pid:
            return ["is not alive"]
        found = []
        peak = self.peak_mib()
        print(f"{self.program.name}: {peak:.1f} MiB, {self.descriptors} descriptors")
        if peak >= MEMORY_MB:
            found.append(f"used {peak:.1f} MiB of {MEMORY_MB}")
        if self.descriptors >= DESCRIPTORS:
            found.append(f"used {self.descriptors} descriptors of {DESCRIPTORS}")
        return found


def head(host, path, more):
    def encode(fields):
        lines = "".join(f"{name}: {value}\r\n"
                        for name, value in {"Host": host, **more, **fields}.items())
        return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode()
    return encode


class Gateway:
    """Its clients' address."""

    path = "/order/20"
    fields = {"X-Quincebank-Deadline-Ms": "1400", "Authorization": "Token " + standin.KEY}

    def __init__(self, deployment):
        self.program = deployment.gateways[0]
        self.address = self.program.clients
        self.head = head(standin.HOST, self.path,
                         {**self.fields, "X-Quincebank-Attempt-Id": "1" * 16})

    async def ordinary_request(self):
        fields = {**self.fields, "Host": standin.HOST, "X-Quincebank-Attempt-Id": "0" * 16}
        answer = await call(self.address, "POST", self.path, fields, b"order")
        return answer is not None and answer[0] == 200


class Peers(Gateway):
    """The address for calls of other gateways."""

    def __init__(self, deployment):
        super().__init__(deployment)
        host, _ = self.address.rsplit(":", 1)
        self.address = f"{host}:{deployment.port + 1}"
        self.head = head(self.address, "/rpc", {})

    async def ordinary_request(self):
        body = b'{"jsonrpc":"2.0","id":1,"method":"unknown","params":{}}'
        answer = await call(self.address, "POST", "/rpc", {}, body)
        return answer is not None and answer[0] == 200


class RankAgent(Peers):
    def __init__(self, deployment):  # pylint: disable=super-init-not-called
        self.program = deployment.agents[0]
        self.address = f"{deployment.replica_hosts[0]}:{deployment.port + 1}"
        self.head = head(self.address, "/rpc", {})


class OwnProgram(standin.Program):
    """Entry or agent of the own interface. It serves `/healthz` without a configuration."""

    def start(self):
        with open(self.log, "ab") as log:
            # `Program.running` and `Program.signal` use the process.
            self.process = subprocess.Popen([self.binary, "--settings=" + self.settings],
                                            stdout=log, stderr=log)


class Entry:
    """Its requests of callers, without any other process."""

    name, more, target = "entry", "", "/services/drafts/x"

    def __init__(self, deployment):
        host = deployment.hosts[0]
        self.address = f"{host}:{deployment.port + 6}"
        self.head = head(self.address, self.target, {})
        settings = (f'{{"host": "{self.name}", "region": "r", "failure_domain": "lahore",'
                    f'"listen": "{self.address}",'
                    f'"key_value": {{"address": "{host}:{deployment.port + 7}"}},'
                    f'"host_list": {{"address": "{host}:{deployment.port + 7}"}},'
                    f'{self.more} "limits": {{}}}}')
        binary = os.path.join(os.path.dirname(standin.GATEWAY), "..", self.name,
                              "quincebank-" + self.name)
        self.program = OwnProgram(self.name, binary, settings, deployment.folder)
        add_limits(self.program)
        deployment.agents.append(self.program)  # Ends with the others.
        self.program.start()

    async def ordinary_request(self):
        answer = await call(self.address, "GET", "/healthz")
        return answer is not None and answer[0] == 200


class Agent(Entry):
    name, more, target = "agent", '"upstream": "drafts-0",', "/attempt/x"


def add_limits(program):
    with open(program.settings, encoding="utf-8") as file:
        text = file.read()
    limits = f'"memory_mb": {MEMORY_MB}, "descriptors": {DESCRIPTORS},'
    with open(program.settings, "w", encoding="utf-8") as file:
        file.write(text.replace('"limits": {', '"limits": {' + limits, 1))


async def run(target_type, load_name, record):
    values = config()
    values["limits"] = {**standin.LIMITS, "max_body_bytes": BODY_BYTES}
    deployment = standin.Deployment(["lahore"], values, agents=1)
    for program in deployment.gateways + deployment.agents:
        add_limits(program)
    try:
        await deployment.start()
        await Replica(deployment.store, record, deployment.replica_hosts[0], deployment.port,
                      "desk", "lahore").start()
        target = target_type(deployment)
        if not await answered(target):
            return ["answers no request before the load"]
        watched = Watched(target.program)
        task = asyncio.ensure_future(watched.watch())
        load = Load(target.address, target.head, BODY_BYTES)
        await LOADS[load_name](load, BODIES)
        await load.unfinished_heads(HEADS)
        await asyncio.sleep(1)
        watched.count_descriptors()
        load.close()
        served = await answered(target)
        task.cancel()
        return watched.breaches() + ([] if served else ["answers no request after the load"])
    finally:
        deployment.stop()


TARGETS = (Gateway, Peers, RankAgent, Entry, Agent)


async def answered(target):
    until = time.monotonic() + ANSWER_S
    while time.monotonic() < until:
        if await target.ordinary_request():
            return True
        await asyncio.sleep(0.1)
    return False


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("load", choices=LOADS)
    parser.add_argument("--programs", default=os.path.join(ROOT, "build", "programs"))
    parser.add_argument("--target", choices=[one.__name__ for one in TARGETS], help="only this one")
    parser.add_argument("--out", default=".", help="folder of the record")
    options = parser.parse_args()
    standin.GATEWAY = os.path.join(options.programs, "gateway/quincebank-gateway")
    standin.AGENT = os.path.join(options.programs, "rank_agent/quincebank-rank-agent")
    os.makedirs(options.out, exist_ok=True)
    record = standin.Record(options.out)
    failed = False
    for target in TARGETS:
        if options.target not in (None, target.__name__):
            continue
        for breach in asyncio.run(run(target, options.load, record)):
            failed = True
            print(f"BREACH {target.__name__} {breach}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

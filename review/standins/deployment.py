"""A small deployment on loopback addresses: the real programs, and what they need to run."""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

sys.path.insert(0, os.path.dirname(__file__))

from http11 import call  # noqa: E402
from store import Store  # noqa: E402

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
GATEWAY = os.path.join(ROOT, "target/programs/gateway/quincebank-gateway")
AGENT = os.path.join(ROOT, "target/programs/rank_agent/quincebank-rank-agent")

# Bounds as the site files of the small deployments have them.
BOUNDS = {"grace_s": 8, "cold_factor": 1.5, "cold_allowance": 5, "retry_budget_ratio": 0.2,
          "retry_allowance": 88, "ttl_max_s": 5, "stall_ms": 1500, "drain_ms": 2000}
HOST = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


MOST_SECONDS = 117  # After it a case ends all that it has started.


class CannotRun(Exception):
    pass


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.3f} {text}\n")
        self.file.flush()


def free_ports(hosts, count):
    """Returns `count` consecutive ports that are free on each of the addresses."""
    for first in range(21000 + os.getpid() % 400 * 20, 60000, 40):
        opened = []
        try:
            for host in hosts:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = socket.socket(socket.AF_INET, kind)
                        opened.append(probe)
                        probe.bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for probe in opened:
                probe.close()
    raise CannotRun("no free ports")


def render(template, values):
    """Fills in a settings template as the platform does, for the forms that deploy/ uses."""

    def find(path):
        value = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return None
        return value

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: m.group(2) if find(m.group(1)) not in (None, False) else "", template)

    def fill(match):
        value = find(match.group(1))
        return json.dumps(value) if match.group(2) else "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)


class Program:
    """One process of the project, with its settings file and its log."""

    def __init__(self, name, binary, settings, folder):
        self.name, self.binary = name, binary
        self.settings = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)
        self.process = None

    def start(self):
        log = open(self.log, "ab")
        self.process = subprocess.Popen(
            [self.binary], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "QUINCEBANK_CONFIG": self.settings})
        log.close()

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def rss_mib(self):
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
        except (OSError, IndexError):
            return 0.0


class Deployment:
    """Store, gateways and agents. `zones` has a list of the zone of each gateway."""

    def __init__(self, zones, config, agents=0, bounds=None):
        if not os.path.exists(GATEWAY):
            raise CannotRun(GATEWAY + " is not built")
        self.folder = tempfile.mkdtemp(prefix="quincebank-review-")
        self.hosts = [f"127.0.30.{i + 1}" for i in range(len(zones))]
        self.replica_hosts = [f"127.0.31.{i + 1}" for i in range(32)]
        self.port = free_ports(self.hosts + self.replica_hosts[:20] + ["127.0.32.1"], 8)
        self.store = Store("127.0.32.1", self.port)
        self.config = config
        self.bounds = {**BOUNDS, **(bounds or {})}
        with open(os.path.join(ROOT, "deploy/gateway.json"), encoding="utf-8") as file:
            template = file.read().replace(":7351", f":{self.port + 5}")
        self.gateways = []
        for i, (host, zone) in enumerate(zip(self.hosts, zones)):
            values = {
                "node_name": f"edge-{zone}-{i + 1}", "zone": zone, "region": "r", "ip": host,
                "port_range": [self.port + 1, self.port + 6],
                "listen": {"frontend": f"{host}:{self.port + 2}",
                           "readiness": f"{host}:{self.port + 3}",
                           "directory": f"{host}:{self.port + 4}"},
                "platform": {"address": self.store.address, "ttl_min_ms": 1000},
                "limits": {"cpu_share": 0.25}, "bounds": self.bounds}
            gateway = Program(values["node_name"], GATEWAY, render(template, values), self.folder)
            gateway.clients = values["listen"]["frontend"]
            gateway.directory = values["listen"]["directory"]
            gateway.readiness = values["listen"]["readiness"]
            gateway.zone = zone
            self.gateways.append(gateway)
        with open(os.path.join(ROOT, "deploy/rank-agent.json"), encoding="utf-8") as file:
            template = file.read()
        self.agents = []
        for i in range(agents):
            host = self.replica_hosts[i]
            values = {"node_name": f"side-{i + 1}", "ip": host,
                      "port_range": [self.port + 1, self.port + 6], "app": f"{host}:{self.port}"}
            self.agents.append(Program(values["node_name"], AGENT, render(template, values),
                                       self.folder))

    async def start(self):
        await self.store.start()
        self.store.put("op/config", self.config)
        for program in self.gateways + self.agents:
            program.start()
        for gateway in self.gateways:
            await self.wait_ready(gateway)
        # Entries learn of each other within about a second of their registration.
        until = time.monotonic() + 10
        while time.monotonic() < until:
            counts = [len(await self.lookup(gateway) or []) for gateway in self.gateways]
            if min(counts) == len(self.gateways):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the gateways do not find each other")

    async def wait_ready(self, gateway, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            answer = await call(gateway.readiness, "GET", "/-/readyz", timeout=1)
            if answer and answer[0] == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(gateway.name + " is not ready")

    async def lookup(self, gateway, timeout=1.0):
        """Asks a gateway's directory; returns the addresses, or None."""
        answer = await call(gateway.directory, "GET",
                            f"/-/resolution?name={HOST}&region=r&zone={gateway.zone}",
                            timeout=timeout)
        if not answer or answer[0] != 200:
            return None
        found = json.loads(answer[2])
        self.ttl = found["ttl_s"]
        return found["addresses"]

    def stop(self):
        for program in self.gateways + self.agents:
            program.signal(signal.SIGCONT)
            program.signal(signal.SIGKILL)
        for program in self.gateways + self.agents:
            if program.process:
                program.process.wait()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def end_early(number, frame):
    raise KeyboardInterrupt(f"ended by signal {number}")


def run_case(case):
    """Runs `case(record)`: it returns the breaches, a list of texts. Sets the exit code."""
    folder = sys.argv[1] if len(sys.argv) > 1 else "."
    record = Record(folder)
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, end_early)
    signal.alarm(MOST_SECONDS)
    try:
        breaches = asyncio.run(case(record))
    except (CannotRun, KeyboardInterrupt) as reason:
        record.write(f"cannot run: {reason}")
        print(f"cannot run: {reason}")
        sys.exit(2)
    except Exception:  # pylint: disable=broad-except
        record.write(traceback.format_exc())
        traceback.print_exc()
        sys.exit(2)
    for breach in breaches:
        record.write("BREACH " + breach)
        print("BREACH " + breach)
    record.write(f"result: {len(breaches)} breaches")
    print(f"{len(breaches)} breaches")
    sys.exit(1 if breaches else 0)

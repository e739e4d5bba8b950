"""The project's programs as processes, each on a loopback address of its own."""

import ctypes
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
STOP_S = 10
PR_SET_PDEATHSIG = 1
PORTS, METRICS_PORT = 80, 7351
LIBC = ctypes.CDLL(None)
BOUNDS = {"cold_factor": 1.5, "cold_allowance": 5, "retry_budget_ratio": 0.2,
          "retry_allowance": 92, "grace_s": 8, "ttl_max_s": 5, "stall_ms": 1500}
EDGE = {"cpu_share": 0.25, "memory_mb": 260, "max_fds": 4100}
SIDE = {"cpu_share": 0.15, "memory_mb": 128, "max_fds": 2048}


def render(text, fields):
    """Fills in a settings template: values and sections that depend on a value."""
    def value(path):
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else (found or {}).get(part)
        return found
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: m[2] if value(m[1]) not in (None, False) else "", text, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(value(m[1])), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m[1])), text)


class Network:
    """Unused loopback addresses, and ports that are the same on all of them."""

    def __init__(self):
        self.prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}."
        self.hosts = 0
        self.port = random.randint(100, 300) * 100

    def host(self):
        self.hosts += 1
        address = f"{self.prefix}{self.hosts}"
        for port in (*range(self.port, self.port + PORTS), METRICS_PORT):
            with socket.socket() as probe:
                probe.bind((address, port))  # Fails unless the port is free.
        return address


class Machine:
    """One process of a role of the deploy file."""

    def __init__(self, role, network, zone, store, folder, app=None):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            deploy = tomllib.load(file)["roles"][role]
        self.command = deploy["run"].split()
        self.host, port = network.host(), network.port
        edge = deploy["on"] == "edge"
        self.name = f"{deploy['on']}-{zone}-{network.hosts}"
        self.limits = EDGE if edge else SIDE
        self.frontend, self.readiness = (self.host, port + 1), (self.host, port + 2)
        self.directory, self.metrics = (self.host, port + 3), (self.host, METRICS_PORT)
        text = {name: f"{self.host}:{address[1]}" for name, address in
                (("frontend", self.frontend), ("readiness", self.readiness),
                 ("directory", self.directory))}
        fields = {"node_name": self.name, "zone": zone, "region": "region", "ip": self.host,
                  "limits": self.limits, "listen": text if edge else {},
                  "port_range": [port + 10, port + 25], "bounds": BOUNDS, "app": app,
                  "platform": {"address": "%s:%d" % store, "ttl_min_ms": 1000}}
        with open(os.path.join(ROOT, deploy["template"]), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        self.settings = os.path.join(folder, self.name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)
        self.log = os.path.join(folder, self.name + ".log")
        self.process = None

    def start(self):
        """The program gets the descriptors that the machine's settings state."""
        limit = self.limits["max_fds"]

        def prepare():
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
            LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)  # Ends with this script, however it ends.

        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "QUINCEBANK_CONFIG": self.settings},
                preexec_fn=prepare)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def end(self):
        if self.running():
            self.process.kill()
            self.process.wait(STOP_S)


class Folder:
    """Temporary folder for settings and logs."""

    def __enter__(self):
        self.path = tempfile.mkdtemp(prefix="review-")
        return self.path

    def __exit__(self, *_):
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.path, ignore_errors=True)


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path, clock):
        self.file = open(path, "w", encoding="utf-8")
        self.clock, self.began = clock, clock()

    def write(self, *words):
        print(f"{self.clock() - self.began:8.3f}", *words, file=self.file, flush=True)

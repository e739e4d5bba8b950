"""A small deployment on loopback addresses: renders the project's settings templates as the
platform does and starts the programs of the deploy file."""

import asyncio
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
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
          "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
          "revoke_strict": False, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
          "budget_window_s": 10, "retry_allowance": 88, "cold_factor": 1.5, "cold_allowance": 5,
          "evacuation_ms": 5000, "recovery_s": 12, "iteration_ms": 120, "retry_after_s": 0,
          "stall_ms": 1500, "fencing_enforced": False, "ttl_max_s": 5}
LIMITS = {"edge": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100},
          "side": {"cpu_share": 0.15, "cores": 1, "memory_mb": 128, "max_fds": 2048}}
DESCRIPTORS = 8192  # Of the stand-ins, which hold the other ends of many connections.
TAG = re.compile(r"\{\{([#^/]?)([^}|]+)(\|json)?\}\}")


def look_up(values, name):
    if name == ".":
        return values
    for part in name.split("."):
        if isinstance(values, list):
            values = values[int(part)] if int(part) < len(values) else None
        else:
            values = values.get(part) if isinstance(values, dict) else None
    return values


def render(text, values):
    """Fills a template in; sections are rendered once, as those of this project need."""
    out, at, skipped = [], 0, []
    for tag in TAG.finditer(text):
        if not any(skipped):
            out.append(text[at:tag.start()])
        at = tag.end()
        kind, name, as_json = tag.groups()
        if kind == "/":
            skipped.pop()
        elif kind:
            value = look_up(values, name)
            present = value is not None and value is not False
            skipped.append(present if kind == "^" else not present)
        elif not any(skipped):
            value = look_up(values, name)
            out.append(json.dumps(value) if as_json else "" if value is None else str(value))
    return "".join(out) + text[at:]


def most_descriptors():
    """The hard limit of this process."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    return DESCRIPTORS if hard == resource.RLIM_INFINITY else min(hard, DESCRIPTORS)


def free_network():
    """A loopback network that this run shares with no other, and ports that are free there."""
    draw = random.SystemRandom()
    while True:
        network = f"127.{draw.randint(1, 254)}.{draw.randint(0, 255)}"
        first = draw.randint(20000, 29000)
        try:
            for port in (*range(first, first + 16), 7351):
                with socket.socket() as probe:
                    probe.bind((network + ".1", port))
            return network, first
        except OSError:
            continue


class Process:
    """One program of the deploy file on its machine."""

    def __init__(self, deployment, name, role, fields):
        self.deployment, self.name, self.role, self.fields = deployment, name, role, fields
        self.process = None
        self.log_path = os.path.join(deployment.folder, name + ".log")

    def start(self):
        settings = os.path.join(self.deployment.folder, self.name + ".settings")
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as template:
            text = render(template.read(), self.fields)
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.deployment.folder,
                       "LANG": "C", "QUINCEBANK_CONFIG": settings}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.role["run"].split(), cwd=ROOT, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                            preexec_fn=self.limit_descriptors)
        self.deployment.record.write(f"start {self.name} pid {self.process.pid}")

    def limit_descriptors(self):
        """A machine's descriptors, as on the platform; the new process only."""
        limit = min(self.fields["limits"]["max_fds"], most_descriptors())
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) // 1024 for line in file if line.startswith("VmRSS"))

    def signal(self, number):
        self.deployment.record.write(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return [json.loads(line) for line in file if line.startswith("{")]


class Deployment:
    def __init__(self, record, zones):
        self.record = record
        resource.setrlimit(resource.RLIMIT_NOFILE,
                           (most_descriptors(), resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
        self.network, self.first_port = free_network()
        self.zones = zones
        self.folder = tempfile.mkdtemp(prefix="quincebank-case-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.processes = []
        self.store_address = f"{self.network}.1:{self.port('store')}"

    def port(self, use):
        uses = ("peers", "announcements", "frontend", "readiness", "control_plane", "directory",
                "app", "store")
        return self.first_port + uses.index(use)

    def fields(self, name, role, machine_class, ip, zone, bounds=None, limits=None):
        return {"node_name": name, "role": role, "machine_class": machine_class, "ip": ip,
                "zone": zone, "region": "region-1",
                "zones": {one: "region-1" for one in self.zones},
                "port_range": [self.first_port, self.first_port + 1],
                "serves": self.roles[role]["serves"], "seeds": [], "bootstrap": True,
                "listen": {use: f"{ip}:{self.port(use)}"
                           for use in ("frontend", "readiness", "control_plane", "directory")},
                "limits": {**LIMITS[machine_class], **(limits or {})},
                "bounds": {**BOUNDS, **(bounds or {})},
                "platform": {"address": self.store_address, "form": "kv", "writes_per_s": 400,
                             "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                             "ttl_min_ms": 1000}}

    def gateway(self, number, zone, **changes):
        ip = f"{self.network}.{10 + number}"
        name = f"edge-{zone}-{number}"
        made = Process(self, name, self.roles["gateway"],
                       self.fields(name, "gateway", "edge", ip, zone, **changes))
        made.frontend = made.fields["listen"]["frontend"]
        made.readiness = made.fields["listen"]["readiness"]
        self.processes.append(made)
        return made

    def agent(self, ip, zone, app):
        name = f"side-{zone}-{ip.rsplit('.', 1)[1]}"
        fields = self.fields(name, "rank-agent", "side", ip, zone)
        fields["app"] = app
        made = Process(self, name, self.roles["rank-agent"], fields)
        self.processes.append(made)
        return made

    async def ready(self, gateway, limit_s=10):
        """Waits until the gateway counts as ready."""
        host, port = gateway.readiness.rsplit(":", 1)
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: readiness\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.05)
        return False

    def stop(self):
        for one in self.processes:
            if one.process is not None and one.process.poll() is None:
                one.process.kill()
                one.process.send_signal(signal.SIGCONT)
        for one in self.processes:
            if one.process is not None:
                one.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

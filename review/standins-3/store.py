"""The platform's store: items, leases, watches and transactions."""

import asyncio
import base64
import itertools
import json
import time
import urllib.parse

import http1

FIRST_REVISION = 100
PAGE_ITEMS = 500


class Store:
    def __init__(self):
        self.revision = FIRST_REVISION
        self.items = {}  # Key to (value, revision, created, lease).
        self.history = []  # Events in the order of their revisions.
        self.leases = {}  # Id to [time to live in s, end].
        self.ids = itertools.count(70_000)
        self.changed = asyncio.Event()
        self.server = self.expiry = None

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, *address)
        self.expiry = asyncio.ensure_future(self.expire())

    def put(self, key, value, lease=0):
        """Also the way in which the operator and the replicas write."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (data, self.revision, created, lease)
        self.history.append({"key": key, **self.view(key)})
        self.notify()

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.history.append({"key": key, "revision": self.revision, "removed": True})
        self.notify()

    def view(self, key):
        value, revision, created, lease = self.items[key]
        return {"value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease": lease}

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
                self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item[3] == lease]:
            self.remove(key)

    async def serve(self, reader, writer):
        try:
            while (message := await http1.read_head(reader)) is not None:
                message.body = await http1.read_body(reader, message)
                status, document = await self.handle(message)
                body = json.dumps(document).encode()
                writer.write(http1.answer(status, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, message):
        url = urllib.parse.urlsplit(message.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        body = json.loads(message.body) if message.body else {}
        name, _, argument = url.path.removeprefix("/-/").partition("/")
        if name == "kv-watch":
            return await self.watch(query)
        calls = {"kv-key": lambda: self.key(query), "kv-range": lambda: self.range(query),
                 "kv-txn": lambda: self.txn(body), "kv-lease": lambda: self.lease(body),
                 "kv-keep": lambda: self.keep(int(argument)),
                 "kv-lease-end": lambda: self.lease_end(int(argument))}
        return calls[name]() if name in calls else (404, {})

    def key(self, query):
        key = query["key"]
        if key not in self.items:
            return 404, {}
        return 200, {"key": key, **self.view(key), "at": self.revision}

    def range(self, query):
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return 200, {"items": [{"key": key, **self.view(key)} for key in keys[:PAGE_ITEMS]],
                     "has_more": len(keys) > PAGE_ITEMS, "at": self.revision}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("path_prefix", "")
        until = time.monotonic() + int(query["wait_ms"]) / 1e3
        while True:
            events = [e for e in self.history
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def txn(self, body):
        for row in body.get("expect", []):
            if (self.items[row["key"]][1] if row["key"] in self.items else 0) != row["revision"]:
                return 412, {"items": []}
        for row in body.get("puts", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def lease(self, body):
        lease, ttl = next(self.ids), body["ttl_ms"] / 1e3
        self.leases[lease] = [ttl, time.monotonic() + ttl]
        return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}

    def keep(self, lease):
        if lease not in self.leases:
            return 404, {}
        self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
        return 200, {"ttl_ms": int(self.leases[lease][0] * 1e3)}

    def lease_end(self, lease):
        if lease not in self.leases:
            return 404, {}
        self.end(lease)
        return 200, {}

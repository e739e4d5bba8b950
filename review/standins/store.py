"""Stand-in of the platform's store: items, watches, conditional writes and leases in memory."""

import asyncio
import base64
import json
import time
import urllib.parse

from http11 import Server, encode

HISTORY = 20000


class Store:
    def __init__(self, host, port, latency=0.004):
        self.address = f"{host}:{port}"
        self.latency = latency
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.server = Server(host, port, self._handle)

    async def start(self):
        await self.server.start()
        self.expiry = asyncio.ensure_future(self._expire())

    # Writes of the operator and of the replicas, which are parts of the same stand-in.

    def put(self, key, value, lease=0):
        text = value if isinstance(value, (bytes, str)) else json.dumps(value)
        data = text.encode() if isinstance(text, str) else text
        self._put(key, base64.b64encode(data).decode(), lease)

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self._note({"key": key, "revision": self.revision, "removed": True})

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"]).decode()

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision,
                "created": created, "lease": lease}
        self.items[key] = item
        self._note(item)

    def _note(self, event):
        self.history.append(event)
        del self.history[:-HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [one for one, (until, _) in self.leases.items() if until < now]:
                self._end(lease)

    def _end(self, lease):
        del self.leases[lease]
        for key in [one for one, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _handle(self, request, writer):
        await asyncio.sleep(self.latency)
        path, _, query = request.target.partition("?")
        values = {name: value[0] for name, value in
                  urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        body = json.loads(request.body) if request.body else {}
        status, answer = await self.answer(request.method, path, values, body)
        if status is None:
            return False
        text = b"" if answer is None else json.dumps(answer).encode()
        writer.write(encode(status, {"Content-Type": "application/json"}, text))
        await writer.drain()

    async def answer(self, method, path, query, body):
        if path == "/-/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            found = [self.items[key] for key in sorted(self.items)
                     if key.startswith(prefix) and key > after]
            return 200, {"items": found[:500], "has_more": len(found) > 500, "at": self.revision}
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (404, None) if item is None else (200, {**item, "at": self.revision})
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + body["ttl_ms"] / 1e3, body["ttl_ms"])
            return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1e3, ttl)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/-/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            self._end(lease)
            return 200, {}
        if path == "/-/kv-txn":
            return self._txn(body)
        return 404, None

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("path_prefix", "")
        until = time.monotonic() + int(query["wait_ms"]) / 1e3
        while True:
            events = [one for one in self.history
                      if one["revision"] > after and one["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _txn(self, body):
        for row in body.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[one["key"]] for one in body["expect"]
                                       if one["key"] in self.items]}
        for put in body.get("puts", []):
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, None
        for put in body.get("puts", []):
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

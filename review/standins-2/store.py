"""The platform's metadata store: items, watches, transactions and leases, without rate limits."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from wire import Server, answer, json_answer

PAGE = 500


class Store(Server):
    def __init__(self, ip, port, record):
        super().__init__(ip, port)
        self.record = record
        self.revision = 100
        self.items = {}    # key -> [value, revision, created, lease]
        self.history = []  # events in the order of their revisions
        self.leases = {}   # id -> [ttl, end]
        self.next_lease = 5000
        self.changed = asyncio.Condition()

    def put(self, key, value, lease=0):
        if not isinstance(value, (bytes, str)):
            value = json.dumps(value)
        if isinstance(value, str):
            value = value.encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = [value, self.revision, created, lease]
        self.history.append(self.item(key))
        self._notify()

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({"key": key, "revision": self.revision, "removed": True})
        self._notify()

    def _notify(self):
        async def wake():
            async with self.changed:
                self.changed.notify_all()
        asyncio.ensure_future(wake())

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease": lease}

    async def expire(self):
        """Removes the keys of leases that have ended."""
        while True:
            now = time.monotonic()
            for lease in [one for one, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)
            await asyncio.sleep(0.02)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item[3] == lease]:
            self.record.write(f"store: lease {lease} ended, {key} removed")
            self.remove(key)
        return True

    async def handle(self, request, writer):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        calls = {"/-/kv-key": self.get, "/-/kv-range": self.range, "/-/kv-txn": self.transact,
                 "/-/kv-lease": self.open_lease}
        if url.path == "/-/kv-watch":
            writer.write(await self.watch(query))
        elif url.path.startswith("/-/kv-keep/"):
            writer.write(self.keep(int(unquote(url.path.rsplit("/", 1)[1]))))
        elif url.path.startswith("/-/kv-lease-end/"):
            ended = self.end_lease(int(unquote(url.path.rsplit("/", 1)[1])))
            writer.write(json_answer(200 if ended else 404, {}))
        elif url.path in calls:
            writer.write(calls[url.path](query, request))
        else:
            writer.write(answer(404))
        return True

    def get(self, query, _):
        if query["key"] not in self.items:
            return json_answer(404, {"at": self.revision})
        return json_answer(200, {**self.item(query["key"]), "at": self.revision})

    def range(self, query, _):
        keys = sorted(key for key in self.items if key.startswith(query.get("path_prefix", ""))
                      and key > query.get("after", ""))
        return json_answer(200, {"items": [self.item(key) for key in keys[:PAGE]],
                                 "has_more": len(keys) > PAGE, "at": self.revision})

    async def watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1e3
        prefix = query.get("path_prefix", "")

        def events():
            return [one for one in self.history
                    if one["revision"] > after and one["key"].startswith(prefix)]

        while not events() and time.monotonic() < until:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
        found = events()
        return json_answer(200, {"events": found, "at": self.revision})

    def open_lease(self, _, request):
        self.next_lease += 1
        ttl = request.json()["ttl_ms"]
        self.leases[self.next_lease] = [ttl / 1e3, time.monotonic() + ttl / 1e3]
        return json_answer(200, {"lease": self.next_lease, "ttl_ms": ttl})

    def keep(self, lease):
        if lease not in self.leases:
            return json_answer(404, {})
        ttl = self.leases[lease][0]
        self.leases[lease][1] = time.monotonic() + ttl
        return json_answer(200, {"ttl_ms": int(ttl * 1e3)})

    def transact(self, _, request):
        body = request.json()
        for row in body.get("expect", []):
            present = self.items[row["key"]][1] if row["key"] in self.items else 0
            if present != row["revision"]:
                items = [self.item(one["key"]) for one in body["expect"]
                         if one["key"] in self.items]
                return json_answer(412, {"items": items})
        for put in body.get("puts", []):
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return json_answer(404, {})
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            self.record.write(f"store: revision {self.revision}, {put['key']}")
        for key in body.get("remove", []):
            self.remove(key)
        return json_answer(200, {"revision": self.revision})

"""Small HTTP/1.1 server and client on asyncio, with access to the raw connection."""

import asyncio


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the first line and the header fields, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if not line:
            continue
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """Returns one chunk; an empty one is the last. Raises if the connection ends before it."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            chunk = await read_chunk(reader)
            if not chunk:
                return body
            body += chunk
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    return Request(method, target, head[1], await read_body(reader, head[1]))


def encode(status, headers, body=b"", reason="Status"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Calls `handle(request, writer)` for each request; the handler writes the answer."""

    def __init__(self, host, port, handle):
        self.host, self.port, self.handle = host, port, handle
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 23, backlog=1024)

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if await self.handle(request, writer) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, target, headers=None, body=b"", timeout=2.0):
    """One request on a connection of its own. Returns status, headers and body, or None."""
    host, port = address.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = {"Host": address, "Connection": "close", **(headers or {})}
            if body:
                fields["Content-Length"] = len(body)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None
            return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None

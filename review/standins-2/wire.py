"""HTTP/1.1 over asyncio: what the stand-ins serve and what the clients send."""

import asyncio
import json

REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable"}


class Message:
    """A request or an answer with its whole body; header names are in lower case."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    def get(self, name, fallback=""):
        return self.headers.get(name.lower(), fallback)

    def json(self):
        return json.loads(self.body or b"null")


async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n"):
            break
        if not field.endswith(b"\n"):
            raise asyncio.IncompleteReadError(field, None)
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(line.decode("latin-1").rstrip("\r\n"), headers)


async def read_chunk(reader):
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_message(reader):
    message = await read_head(reader)
    if message is None:
        return None
    if "chunked" in message.get("transfer-encoding"):
        while True:
            chunk = await read_chunk(reader)
            if not chunk:
                break
            message.body += chunk
    else:
        message.body = await reader.readexactly(int(message.get("content-length", "0")))
    return message


def encode(first, headers, body=b""):
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{first}\r\n{lines}\r\n".encode("latin-1") + body


def answer(status, headers=None, body=b""):
    headers = dict(headers or {})
    headers["Content-Length"] = len(body)
    return encode(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", headers, body)


def json_answer(status, value):
    return answer(status, {"Content-Type": "application/json"}, json.dumps(value).encode())


class Server:
    """Serves one address; `handle(request, writer)` answers and returns whether to go on."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.listener, self.writers = None, set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def listen(self):
        self.listener = await asyncio.start_server(self._serve, self.ip, self.port)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None or not await self.handle(request, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        raise NotImplementedError

    def close(self):
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

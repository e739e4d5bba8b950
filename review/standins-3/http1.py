"""HTTP/1.1 messages of the stand-ins."""

import asyncio

REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           503: "Service Unavailable"}


class Message:
    """Start line, header fields in lower case, and body."""

    def __init__(self, start, fields, body=b""):
        self.start, self.fields, self.body = start, fields, body

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """Returns nothing if the connection ends before a message."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.lower()] = value.strip()
    return Message(lines[0], fields)


async def read_body(reader, message, to_end=False):
    """Raises `IncompleteReadError` if the body ends early."""
    if "chunked" in message.get("transfer-encoding").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in message.fields:
        return await reader.readexactly(int(message.get("content-length")))
    return await reader.read() if to_end else b""


def encode(start, fields, body=b""):
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{start}\r\n{head}\r\n".encode("latin-1") + body


def answer(status, fields=None, body=b""):
    return encode(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
                  {**(fields or {}), "Content-Length": len(body)}, body)


async def exchange(address, method, target, fields, body=b"", timeout=10.0):
    """Sends one request on a new connection. Returns the answer, or nothing without a whole one."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            length = {"Content-Length": len(body)} if body or method == "POST" else {}
            writer.write(encode(f"{method} {target} HTTP/1.1", {**fields, **length}, body))
            message = await read_head(reader)
            if message is not None:
                message.body = await read_body(reader, message, to_end=True)
            return message
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()

"""Clients of the soak: kept connections, bodies in chunks, slow readers, and what they saw."""

import asyncio
import socket
import time

from deployment import HOST, KEY
from http11 import read_chunk, read_head

DEADLINE_S = {"stream": 8.0, "once": 8.0, "unsafe": 1.5, "safe": 1.5}
SHARES = {"stream": 60, "once": 15, "unsafe": 6, "safe": 3}
PATHS = {"stream": "draft", "once": "once", "unsafe": "order", "safe": "status"}
MOST_GAP_S = 2.0  # Clients abandon a stream after a longer one.
CONNECT_S = 1.0
SLOW_RECEIVE_BYTES = 4096
SLOW_PAUSES_S = (0.02, 0.1)  # After each piece of an answer.
CHUNK_BYTES = 200


class Sent:
    """One request that is drawn at random, and what its client saw."""

    def __init__(self, draw, connection):
        self.id = f"{draw.getrandbits(64):016x}"
        self.gateway, self.slow, self.use = connection.gateway, connection.slow, connection.uses + 1
        self.kind = draw.choices(tuple(SHARES), SHARES.values())[0]
        self.events = 0
        if self.kind in ("stream", "once"):
            self.events = min(int(draw.lognormvariate(3.0, 0.7)) + 1, 61)
            size = draw.choice((40, 40, 400, 4000)) if self.slow else 40
            work = f"{self.events}x{draw.randint(40, 110)}x{draw.randint(30, 300)}x{size}"
        else:
            work = min(int(draw.expovariate(1 / 30)) + 1, 220)
        self.target = f"/{PATHS[self.kind]}/{work}"
        self.content = b"" if self.kind == "safe" else bytes(
            draw.choices(b"abcdefgh", k=draw.randint(2, 3000)))
        self.chunked = bool(self.content) and draw.random() < 0.4
        self.began = self.sent = self.ended = self.status = None
        self.headers, self.body, self.complete = {}, b"", False
        self.closed = ""  # How the connection ended before the answer did.

    def head(self):
        fields = {"Host": HOST, "X-Quincebank-Attempt-Id": self.id,
                  "X-Quincebank-Deadline-Ms": int(DEADLINE_S[self.kind] * 1e3),
                  "Authorization": "Token " + KEY}
        if self.chunked:
            fields["Transfer-Encoding"] = "chunked"
        elif self.content:
            fields["Content-Length"] = len(self.content)
        method = "GET" if self.kind == "safe" else "POST"
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"{method} {self.target} HTTP/1.1\r\n{lines}\r\n".encode()

    def text(self):
        last = "-" if self.sent is None else f"{self.sent:.3f}"
        return (f"{self.id} {self.target} at {self.gateway.name} sent {self.began:.3f}..{last}"
                f" end {self.ended:.3f} status {self.status} {len(self.body)} bytes"
                f" {'complete' if self.complete else self.closed} use {self.use}"
                f"{' chunked' if self.chunked else ''}{' slow' if self.slow else ''}")


class Connection:
    """A connection that is used until the gateway closes it."""

    def __init__(self, gateway, slow):
        self.gateway, self.slow = gateway, slow
        self.reader = self.writer = None
        self.uses = 0

    async def open(self):
        host, port = self.gateway.clients.rsplit(":", 1)
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if self.slow:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BYTES)
        connection.setblocking(False)
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_connect(connection, (host, int(port))), CONNECT_S)
            limit = SLOW_RECEIVE_BYTES if self.slow else 1 << 16
            self.reader, self.writer = await asyncio.open_connection(sock=connection, limit=limit)
        except (OSError, asyncio.TimeoutError):
            connection.close()
            return False
        return True

    def usable(self):
        """Whether the gateway has not closed it, as far as the client can see."""
        return self.writer is not None and not self.reader.at_eof() and \
            self.reader.exception() is None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def ask(self, request, draw):
        """Sends the request and reads the answer; fills in what the client saw."""
        request.began = time.monotonic()
        self.uses += 1
        try:
            await asyncio.wait_for(self._exchange(request, draw), DEADLINE_S[request.kind])
        except asyncio.TimeoutError:
            request.closed = request.closed or "deadline"
        except ConnectionError as failure:
            request.closed = type(failure).__name__
        except (asyncio.IncompleteReadError, ValueError):
            request.closed = "end of connection"
        request.ended = time.monotonic()
        if not request.complete or request.headers.get("connection", "").lower() == "close":
            self.close()

    async def _exchange(self, request, draw):
        self.writer.write(request.head())
        if not request.chunked:
            self.writer.write(request.content)
        else:
            for start in range(0, len(request.content), CHUNK_BYTES):
                piece = request.content[start:start + CHUNK_BYTES]
                self.writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                await asyncio.sleep(draw.choice((0, 0, 0.005, 0.05)))
            self.writer.write(b"0\r\n\r\n")
        request.sent = time.monotonic()
        answer = await self._patiently(request, read_head(self.reader))
        if answer is None:
            request.closed = "end of connection"
            return
        request.status, request.headers = int(answer[0].split(" ")[1]), answer[1]
        if "chunked" not in request.headers.get("transfer-encoding", ""):
            length = int(request.headers.get("content-length", 0))
            request.body = await self.reader.readexactly(length)
            request.complete = True
            return
        while True:
            piece = await self._patiently(request, read_chunk(self.reader))
            if not piece:
                request.complete = True
                return
            request.body += piece
            if self.slow:
                await asyncio.sleep(draw.choice(SLOW_PAUSES_S))

    @staticmethod
    async def _patiently(request, read):
        try:
            return await asyncio.wait_for(read, MOST_GAP_S)
        except asyncio.TimeoutError:
            request.closed = "gap"
            raise

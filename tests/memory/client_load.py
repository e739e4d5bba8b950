"""Clients that send too much: chunked bodies, bodies over the limit, many large bodies at once."""

import asyncio
import resource

CONNECT_S = 5.0
PIECE_S = 3.0  # For one piece of a body; a process that doesn't read is left alone after it.
PIECE_BYTES = 64 * 1024
SMALL_CHUNK_BYTES = 8
SHORT_BY_BYTES = 100  # Bodies that stop short lack so many bytes.
TAIL = b"0\r\n\r\n"


def chunked(data, size):
    return b"".join(b"%x\r\n%s\r\n" % (len(data[at:at + size]), data[at:at + size])
                    for at in range(0, len(data), size))


def pieces(data):
    return [data[at:at + PIECE_BYTES] for at in range(0, len(data), PIECE_BYTES)]


class Load:
    """Connections that stay open until `close`. Bodies of `body_bytes` are just legal."""

    def __init__(self, address, head, body_bytes):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.head, self.body = head, b"x" * body_bytes
        self.writers = []
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 4096)), hard))

    async def open(self):
        try:
            _, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.port), CONNECT_S)
        except (OSError, asyncio.TimeoutError):
            return None
        self.writers.append(writer)
        return writer

    async def send(self, fields, parts, pause_s=0.0):
        """Sends one request, as far as the process takes it, and leaves the connection open."""
        writer = await self.open()
        if writer is None:
            return
        try:
            writer.write(self.head(fields))
            for part in parts:
                writer.write(part)
                await asyncio.wait_for(writer.drain(), PIECE_S)
                await asyncio.sleep(pause_s)
        except (OSError, asyncio.TimeoutError):
            pass

    def close(self):
        for writer in self.writers:
            writer.transport.abort()
        self.writers = []

    async def chunked_bodies(self, count):
        """Most bodies stop short; a quarter of them comes in very small chunks."""
        fields = {"Transfer-Encoding": "chunked"}
        whole = chunked(self.body, PIECE_BYTES)
        small = chunked(self.body[:len(self.body) // 8], SMALL_CHUNK_BYTES)
        sends = []
        for i in range(count):
            data = small if i % 4 == 0 else whole
            end = data + TAIL if i % 10 == 9 else data[:-SHORT_BY_BYTES]
            sends.append(self.send(fields, pieces(end)))
        await asyncio.gather(*sends)

    async def oversized_bodies(self, count):
        """Bodies of many times the limit, half of them without their length."""
        length = 16 * len(self.body)
        part = self.body[:PIECE_BYTES]
        number = 2 * len(self.body) // PIECE_BYTES
        sends = []
        for i in range(count):
            if i % 2:
                sends.append(self.send({"Content-Length": length}, [part] * number))
            else:
                chunk = chunked(part, len(part))
                sends.append(self.send({"Transfer-Encoding": "chunked"}, [chunk] * number))
        await asyncio.gather(*sends)

    async def legal_bodies(self, count):
        """Bodies of the largest size that is allowed, whole and piecewise; most stop short."""
        fields = {"Content-Length": len(self.body)}
        sends = []
        for i in range(count):
            data = self.body if i % 10 == 9 else self.body[:-SHORT_BY_BYTES]
            parts = [data] if i % 2 else pieces(data)
            sends.append(self.send(fields, parts, 0.02 if i % 4 == 0 else 0.0))
        await asyncio.gather(*sends)

    async def unfinished_heads(self, count):
        await asyncio.gather(*[self.unfinished_head() for _ in range(count)])

    async def unfinished_head(self):
        writer = await self.open()
        if writer is not None:
            writer.write(self.head({})[:20])

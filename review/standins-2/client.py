"""Consumers: one channel each, kept for many requests or opened anew."""

import asyncio
import time

from wire import encode, read_message

CONNECT_S = 1.0


class Sent:
    """One consumer attempt and what the consumer saw of it."""

    def __init__(self, attempt, gateway):
        self.id, self.gateway = attempt, gateway
        self.began = time.monotonic()
        self.connected = self.ended = self.status = self.stamp = None
        self.closed = ""

    def took(self):
        return (self.ended or time.monotonic()) - self.began

    def text(self):
        what = self.status if self.status else self.closed or "no answer"
        return f"request {self.id} to {self.gateway.name}: {what} after {self.took():.3f} s"


class Channel:
    def __init__(self, gateway):
        self.gateway = gateway
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, method, target, fields, body, attempt, deadline_s):
        sent = Sent(attempt, self.gateway)
        try:
            await asyncio.wait_for(self._exchange(sent, method, target, fields, body), deadline_s)
        except asyncio.TimeoutError:
            sent.closed = "deadline"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            sent.closed = "channel ended"
        sent.ended = time.monotonic()
        if sent.closed:
            self.close()
        return sent

    async def _exchange(self, sent, method, target, fields, body):
        if self.writer is None or self.reader.at_eof():
            self.close()
            host, port = self.gateway.frontend.rsplit(":", 1)
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), CONNECT_S)
        sent.connected = time.monotonic()
        self.writer.write(encode(f"{method} {target} HTTP/1.1",
                                 {**fields, "X-Quincebank-Attempt-Id": sent.id,
                                  "Content-Length": len(body)}, body))
        message = await read_message(self.reader)
        if message is None:
            sent.closed = "channel ended"
            return
        sent.status = message.status
        sent.stamp = message.get("x-quincebank-server-stamp")
        if message.get("connection").lower() == "close":
            self.close()

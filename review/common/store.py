"""A stand-in for the platform's store, after PROTOCOL.md: logs, keyed topics
and groups. It loses nothing and answers at once."""

import asyncio
import base64
import json
import time

from http_wire import Broken, read_request, response_bytes

PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000
OPERATORS_TOPICS = ("keyed.op", "keyed.servers")


class Log:
    def __init__(self):
        self.records = []  # (offset, key, value)
        self.first_offset = 0
        self.end_offset = 0
        self.newest = {}  # key -> (offset, value)

    def append(self, key, value):
        self.records.append((self.end_offset, key, value))
        if value:
            self.newest[key] = (self.end_offset, value)
        else:
            self.newest.pop(key, None)
        self.end_offset += 1


class Store:
    def __init__(self, address, parts=12, record_bytes=262144,
                 call_bytes=2097152):
        self.address = address
        self.parts = parts
        self.record_bytes = record_bytes
        self.call_bytes = call_bytes
        self.logs = {}
        self.changed = asyncio.Condition()
        self.members = {}  # member -> [expires, set of partitions]
        self.generation = 1
        self.server = None
        self.writers = set()

    def log(self, topic, part=0):
        return self.logs.setdefault((topic, part), Log())

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port),
                                                 limit=1 << 20)

    async def stop(self):
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def put(self, topic, key, value):
        """A write of the operator or of a replica. `value` is an object, or
        None to drop the key."""
        text = b"" if value is None else json.dumps(value).encode()
        self.log(topic).append(key.encode(), text)
        async with self.changed:
            self.changed.notify_all()

    async def forget_history(self):
        """Deletes the logs. The newest record of each key is retained."""
        for log in self.logs.values():
            log.records = []
            log.first_offset = log.end_offset
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                status, body = await self.handle(request)
                writer.write(response_bytes(status, (), body))
                await writer.drain()
        except (Broken, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request):
        calls = {"/-/log-append": self.append, "/-/log-read": self.read,
                 "/-/log-newest": self.read_newest, "/-/log-join": self.join,
                 "/-/log-leave": self.leave}
        if request.path not in calls:
            return 404, b"{}"
        return await calls[request.path](request)

    def log_of(self, request):
        return self.log(request.query("topic"), int(request.query("part", "0")))

    async def append(self, request):
        if request.query("topic") in OPERATORS_TOPICS:
            return 403, b"{}"
        records = []
        rest = request.body
        if len(rest) > self.call_bytes + 1024:
            return 413, b"{}"
        while rest:
            length = int.from_bytes(rest[:4], "big")
            if length > self.record_bytes:
                return 413, b"{}"
            content, rest = rest[4:4 + length], rest[4 + length:]
            records.append((content[1:1 + content[0]], content[1 + content[0]:]))
        log = self.log_of(request)
        offset = log.end_offset
        for key, value in records:
            log.append(key, value)
        async with self.changed:
            self.changed.notify_all()
        return 200, json.dumps(
            {"offset": offset, "end_offset": log.end_offset}).encode()

    async def read(self, request):
        log = self.log_of(request)
        start = int(request.query("start_rev", "0"))
        end = time.monotonic() + int(request.query("wait_ms", "0")) / 1000
        async with self.changed:
            while start >= log.end_offset and start >= log.first_offset:
                left = end - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        if start < log.first_offset:
            return 410, json.dumps({"first_offset": log.first_offset}).encode()
        body = log.end_offset.to_bytes(8, "big") + log.first_offset.to_bytes(
            8, "big")
        left = int(request.query("max_kb", "1024")) * 1024
        for offset, key, value in log.records:
            if offset < start:
                continue
            content = bytes([len(key)]) + key + value
            left -= len(content) + 4
            if left < 0 and len(body) > 16:
                break
            body += len(content).to_bytes(4, "big") + content
        return 200, body

    async def read_newest(self, request):
        log = self.log_of(request)
        after = request.query("after").encode()
        items = []
        size = 0
        has_more = False
        for key in sorted(log.newest):
            if key <= after:
                continue
            offset, value = log.newest[key]
            text = base64.b64encode(value).decode()
            size += len(text)
            if items and (len(items) >= PAGE_RECORDS or size > PAGE_BYTES):
                has_more = True
                break
            items.append({"key": key.decode(), "value": text, "offset": offset})
        return 200, json.dumps({"items": items, "has_more": has_more,
                                "end_offset": log.end_offset}).encode()

    def deal_partitions(self):
        self.generation += 1
        names = sorted(self.members)
        for name in names:
            self.members[name][1] = set()
        for part in range(self.parts if names else 0):
            self.members[names[part % len(names)]][1].add(part)

    def drop_silent_members(self):
        now = time.monotonic()
        silent = [name for name, (expires, _) in self.members.items()
                  if expires < now]
        for name in silent:
            del self.members[name]
        if silent:
            self.deal_partitions()

    async def join(self, request):
        call = json.loads(request.body)
        self.drop_silent_members()
        name = call["member"]
        expires = time.monotonic() + call["ttl_ms"] / 1000
        if name in self.members:
            self.members[name][0] = expires
        else:
            self.members[name] = [expires, set()]
            self.deal_partitions()
        rows = [[call["topics"][0], part, 0]
                for part in sorted(self.members[name][1])]
        return 200, json.dumps({"generation": self.generation,
                                "ttl_ms": call["ttl_ms"],
                                "parts": rows}).encode()

    async def leave(self, request):
        if self.members.pop(json.loads(request.body)["member"], None):
            self.deal_partitions()
        return 200, b"{}"

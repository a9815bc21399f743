"""A stand-in for a sound replica, after PROTOCOL.md. It streams events, plain
or as a batch item, and rejects what it does not run."""

import asyncio
import time

from http_wire import Broken, read_request, response_bytes


def event_data(request_id, index):
    return "%s.%d" % (request_id, index)


def whole_text(request_id, events):
    return "\n".join(event_data(request_id, i) for i in range(1, events + 1))


class Replica:
    def __init__(self, name, service, address, store, record, slots=8, queue=24,
                 events=40, event_s=0.05, zone="waco-a"):
        self.name = name
        self.service = service
        self.address = address
        self.store = store
        self.record = record
        self.slots = slots
        self.queue = queue
        self.events = events
        self.event_s = event_s
        self.zone = zone
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.running = {}  # request id -> start
        self.runs = []  # (time, request id, path, Last-Event-Id)
        self.last_busy = time.monotonic()
        self.sequence = 0
        self.tasks = []
        self.server = None

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        await self.check_in()
        self.tasks.append(asyncio.create_task(self.heartbeat()))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()

    async def check_in(self):
        self.sequence += 1
        await self.store.put("keyed.servers", self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": "ready", "cold_left_ms": 0, "sequence": self.sequence,
            "born": 1_700_000_000_000})

    async def heartbeat(self):
        while True:
            await asyncio.sleep(1.2)
            await self.check_in()

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await self.handle(request, reader, writer)
        except (Broken, ConnectionError):
            pass
        finally:
            writer.close()

    def load(self):
        return "%d,%d,%d" % (len(self.running), self.waiting, self.slots)

    async def handle(self, request, reader, writer):
        if request.path == "/health":
            writer.write(response_bytes(
                200, [("X-Crocussaddle-Instance-Id", self.name),
                      ("X-Crocussaddle-Server-Load", self.load())]))
            return
        request_id = request.field("X-Crocussaddle-Attempt-Id")
        refusal = [("X-Crocussaddle-Attempt-Id", request_id),
                   ("X-Crocussaddle-Not-Executed", "1")]
        expected = request.field("X-Crocussaddle-Expect-Instance", self.name)
        if expected != self.name:
            writer.write(response_bytes(421, refusal))
            return
        if self.free.locked() and self.waiting >= self.queue:
            writer.write(response_bytes(503, refusal))
            return
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            await self.run(request, request_id, reader, writer)
        finally:
            self.running.pop(request_id, None)
            self.last_busy = time.monotonic()
            self.free.release()

    async def run(self, request, request_id, reader, writer):
        last = request.field("Last-Event-Id")
        self.running[request_id] = time.monotonic()
        self.runs.append((time.monotonic(), request_id, request.path, last))
        self.record("replica %s runs %s path=%s last_event=%s" %
                    (self.name, request_id, request.path, last or "-"))
        writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n"
            "X-Crocussaddle-Attempt-Id: %s\r\n"
            "X-Crocussaddle-Server-Seal: seal.%s.%s\r\n"
            "X-Crocussaddle-Server-Load: %s\r\n\r\n" %
            (request_id, self.name, request_id, self.load())).encode())
        for index in range(int(last or "0") + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            # The request is dropped when its channel closes.
            if reader.at_eof() or writer.is_closing():
                self.record("replica %s drops %s: its channel was closed" %
                            (self.name, request_id))
                raise Broken("closed")
            text = ("id: %d\ndata: %s\n\n" %
                    (index, event_data(request_id, index))).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record("replica %s finished %s" % (self.name, request_id))

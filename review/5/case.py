"""A stream that a stopping gateway accepts on a kept channel is cut off."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
sys.dont_write_bytecode = True

from deployment import (BOUNDS, HOST, Gateway, has_trouble, online_route,
                        put_config, run_case)
from http_wire import Broken, read_chunks, read_head, request_bytes
from replica import Replica
from store import Store

CLIENTS = 6
BUDGET_MS = 5000
EVENTS = 43
EVENT_S = 0.1


class Client:
    """A sound client: sends one stream after the other on a kept channel and
    respects `Connection: close`."""

    def __init__(self, number, gateway, record):
        self.number = number
        self.gateway = gateway
        self.record = record
        # (id, sent, outcome, ended)
        self.requests = []

    async def run(self, end):
        host, _, port = self.gateway.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        count = 0
        try:
            while time.monotonic() < end:
                count += 1
                if not await self.stream("c%d-%d" % (self.number, count),
                                         reader, writer):
                    return
        finally:
            writer.close()

    async def stream(self, request_id, reader, writer):
        """False if the channel can't be used again."""
        self.record("client sends %s on its channel" % request_id)
        sent = time.monotonic()
        head = None
        events = 0
        try:
            async with asyncio.timeout(BUDGET_MS / 1000):
                writer.write(request_bytes(
                    "POST", "/name-proof/x",
                    [("Host", HOST),
                     ("X-Crocussaddle-Attempt-Id", request_id),
                     ("X-Crocussaddle-Model", "m"),
                     ("X-Crocussaddle-Token-Count", "450,200"),
                     ("X-Crocussaddle-Prompt-Prefix",
                      "5c1e07a2:200,%08x:250" % (self.number * 1000 + 7)),
                     ("X-Crocussaddle-Deadline-Ms", str(BUDGET_MS))], b"q"))
                await writer.drain()
                head = await read_head(reader)
                if head is None:
                    outcome = "closed without an answer"
                else:
                    async for part in read_chunks(reader):
                        events += part.count(b"\n\n")
                    outcome = "complete" if head.status == 200 else str(
                        head.status)
        except TimeoutError:
            outcome = "time budget reached"
        except (Broken, OSError) as error:
            outcome = "cut off (%s)" % error
        ended = time.monotonic()
        closes = head is None or "close" in head.field("Connection").lower()
        self.requests.append((request_id, sent, outcome, ended))
        self.record("client has %s: %s after %.2f s with %d events%s" %
                    (request_id, outcome, ended - sent, events,
                     ", the channel closes" if closes else ""))
        return outcome == "complete" and not closes


async def case(record, folder, addresses):
    store = Store(addresses.next() + ":8142")
    await store.start()
    replicas = [Replica("i-%d" % i, "proof-models", addresses.next() + ":8147",
                        store, record, events=EVENTS, event_s=EVENT_S)
                for i in range(2)]
    for replica in replicas:
        await replica.start()
    await put_config(store, 7, [online_route("name-proof", "streaming",
                                             "proof-models")],
                     ["proof-models"], record)
    gateway = Gateway("front-waco-a-1", addresses.next(), store.address,
                      folder, record)
    await gateway.start()
    try:
        if not await gateway.wait_ready():
            return 2
        await asyncio.sleep(BOUNDS["stable_window_ms"] / 1000 + 0.5)
        start = time.monotonic()
        clients = [Client(i, gateway, record) for i in range(CLIENTS)]
        # Each client sends streams for 8 s; the last one ends within 5 s more.
        tasks = [asyncio.create_task(client.run(start + 8))
                 for client in clients]
        await asyncio.sleep(0.3)
        stopped = time.monotonic()
        if has_trouble():
            await gateway.terminate()
        await asyncio.gather(*tasks)
    finally:
        await gateway.stop()
        for replica in replicas:
            await replica.stop()
        await store.stop()
    requests = [request for client in clients for request in client.requests]
    run_ids = {run[1] for replica in replicas for run in replica.runs}
    lost = 0
    for request_id, sent, outcome, ended in requests:
        if not outcome.startswith(("cut off", "closed")):
            continue
        after = sent - stopped
        # Excused: still at work in the last sixth of grace_s, and sent no
        # later than 3 s after the SIGTERM. A request that crosses the close
        # was not passed on.
        excused = request_id not in run_ids or after <= 3.0
        record("%s was sent %.2f s after the SIGTERM and lost after %.2f s%s" %
               (request_id, after, ended - sent, ": excused" if excused else
                ", passed on to a replica: the rule is broken"))
        lost += not excused
    record("%d requests, %d answered whole, %d lost against the rule" %
           (len(requests), sum(r[2] == "complete" for r in requests), lost))
    if not any(r[2] == "complete" for r in requests):
        return 2
    return 1 if lost else 0


if __name__ == "__main__":
    run_case(case, __file__)

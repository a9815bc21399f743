"""Endless bytes where a chunk's size is due make gateways run out of memory."""

import asyncio
import os
import signal
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
sys.dont_write_bytecode = True

from deployment import (HOST, MEMORY_MB, Gateway, has_trouble, online_route,
                        put_config, run_case)
from http_wire import call
from replica import Replica
from store import Store

LENGTH_S = 60
BUDGET_MS = 5000
GATEWAYS = 2
STREAMS_PER_S = 4
# Below the 1,000 Mbit/s of a front machine's link.
BYTES_PER_S = 100e6
BLOCK = b"x" * (128 << 10)
RESTART_S = 1.0
ENDS_TO_FAIL = 3


class EndlessReplica:
    """A server in trouble: it answers a stream with a head, and then with
    bytes that are no answer until the caller closes. It sends no more than a
    link's worth of bytes to each gateway, which the request ids name."""

    def __init__(self, name, service, address, store, record):
        self.sound = Replica(name, service, address, store, record)
        self.record = record
        self.next_send = {}
        self.lock = threading.Lock()
        host, _, port = address.rpartition(":")
        self.listener = socket.create_server((host, int(port)))
        self.is_stopped = False

    async def start(self):
        threading.Thread(target=self.accept, daemon=True).start()
        await self.sound.check_in()
        self.sound.tasks.append(asyncio.create_task(self.sound.heartbeat()))

    async def stop(self):
        self.is_stopped = True
        self.listener.close()
        for task in self.sound.tasks:
            task.cancel()

    def accept(self):
        while not self.is_stopped:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def pace(self, gateway):
        with self.lock:
            now = time.monotonic()
            at = max(self.next_send.get(gateway, now), now)
            self.next_send[gateway] = at + len(BLOCK) / BYTES_PER_S
        time.sleep(max(0.0, at - now))

    def serve(self, connection):
        sent = 0
        request_id = "-"
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                data = connection.recv(65536)
                if not data:
                    return
                head += data
            for line in head.decode("latin-1").split("\r\n"):
                if line.lower().startswith("x-crocussaddle-attempt-id:"):
                    request_id = line.partition(":")[2].strip()
            self.record("%s answers %s with bytes without end" %
                        (self.sound.name, request_id))
            connection.sendall((
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n"
                "X-Crocussaddle-Attempt-Id: %s\r\n"
                "X-Crocussaddle-Server-Seal: seal\r\n\r\n" %
                request_id).encode())
            while not self.is_stopped:
                self.pace(request_id.split("-")[0])
                connection.sendall(BLOCK)
                sent += len(BLOCK)
        except OSError:
            self.record("%s: the caller closed %s after %.0f MB" %
                        (self.sound.name, request_id, sent / 1e6))
        finally:
            connection.close()


class Platform:
    """Kills a process that exceeds memory_mb, and restarts processes."""

    def __init__(self, gateways, record):
        self.gateways = gateways
        self.record = record
        self.kills = {gateway.name: 0 for gateway in gateways}
        self.other_ends = {gateway.name: 0 for gateway in gateways}
        self.peak = {gateway.name: 0.0 for gateway in gateways}

    async def watch(self, gateway):
        while True:
            await asyncio.sleep(0.02)
            used = gateway.resident_mb() if gateway.is_running else 0.0
            self.peak[gateway.name] = max(self.peak[gateway.name], used)
            if used > MEMORY_MB:
                self.kills[gateway.name] += 1
                self.record("platform: %s has %.0f MB of %d MB and is killed" %
                            (gateway.name, used, MEMORY_MB))
                gateway.signal(signal.SIGKILL)
                await gateway.process.wait()
            elif not gateway.is_running:
                self.other_ends[gateway.name] += 1
                self.record("%s ended by itself with %d" %
                            (gateway.name, gateway.process.returncode))
            else:
                continue
            await asyncio.sleep(RESTART_S)
            await gateway.start()
            await gateway.wait_ready()


async def client(gateway, number, record, results):
    """Sends streams, each on a new channel, as sound clients do."""
    count = 0
    pending = set()
    try:
        while True:
            count += 1
            request_id = "g%d-%d" % (number, count)
            task = asyncio.create_task(
                stream(gateway, request_id, record, results))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1 / STREAMS_PER_S)
    finally:
        await asyncio.gather(*pending, return_exceptions=True)


async def stream(gateway, request_id, record, results):
    status, _, body = await call(
        gateway.front, "POST", "/name-proof/x",
        [("Host", HOST), ("X-Crocussaddle-Attempt-Id", request_id),
         ("X-Crocussaddle-Model", "m"),
         ("X-Crocussaddle-Token-Count", "450,200"),
         ("X-Crocussaddle-Prompt-Prefix", "5c1e07a2:200,7:250"),
         ("X-Crocussaddle-Deadline-Ms", str(BUDGET_MS))], b"q",
        timeout=BUDGET_MS / 1000)
    outcome = "whole" if status == 200 else "%d %s" % (
        status, body.decode("latin-1")[:60])
    results[outcome] = results.get(outcome, 0) + 1
    record("client has %s: %s" % (request_id, outcome))


async def case(record, folder, addresses):
    store = Store(addresses.next() + ":8142")
    await store.start()
    replicas = [Replica("i-%d" % i, "proof-models", addresses.next() + ":8147",
                        store, record) for i in range(2)]
    kind = EndlessReplica if has_trouble() else Replica
    replicas.append(kind("i-2", "proof-models", addresses.next() + ":8147",
                         store, record))
    for replica in replicas:
        await replica.start()
    await put_config(store, 7, [online_route("name-proof", "streaming",
                                             "proof-models")],
                     ["proof-models"], record)
    gateways = [Gateway("front-waco-a-%d" % i, addresses.next(), store.address,
                        folder, record) for i in range(GATEWAYS)]
    results = {}
    tasks = []
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                return 2
        platform = Platform(gateways, record)
        tasks = [asyncio.create_task(platform.watch(gateway))
                 for gateway in gateways]
        tasks += [asyncio.create_task(client(gateway, i, record, results))
                  for i, gateway in enumerate(gateways)]
        end = time.monotonic() + LENGTH_S
        while time.monotonic() < end and any(
                count < ENDS_TO_FAIL for count in platform.kills.values()):
            await asyncio.sleep(0.1)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for gateway in gateways:
            await gateway.stop()
        for replica in replicas:
            await replica.stop()
        await store.stop()
    record("answers: %s" % ", ".join(
        "%d %s" % (count, outcome) for outcome, count in
        sorted(results.items(), key=lambda item: -item[1])))
    hit = 0
    for gateway in gateways:
        ends = (platform.kills[gateway.name] +
                platform.other_ends[gateway.name])
        record("%s: peak %.0f MB, ended %d times" %
               (gateway.name, platform.peak[gateway.name], ends))
        hit += ends >= ENDS_TO_FAIL
    if "whole" not in results:
        return 2
    # A tenth of the machines in use, two at least, three times each.
    return 1 if hit >= 2 else 0


if __name__ == "__main__":
    run_case(case, __file__)

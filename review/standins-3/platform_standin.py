"""Stand-ins for the users' platform: its metadata store, replicas, a TCP proxy
and clients. They follow PROTOCOL.md and use loopback addresses only."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import tempfile
import time
import zlib
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
REPOSITORY = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATEWAY = os.path.join(REPOSITORY, "target", "bin", "crocus-gateway")


def free_port():
    """A port that nothing uses now, below those of outgoing connections."""
    while True:
        port = 20000 + int.from_bytes(os.urandom(2), "big") % 12000
        with socket.socket() as tcp, socket.socket(
                socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
                return port
            except OSError:
                continue


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


async def read_message(reader, is_response=False, method="GET"):
    """Reads a message: its first line, its fields in lower case, its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif is_response and not lines[0].split()[1] in ("204", "304"):
        body = await reader.read()
    return lines[0], fields, body


def message(status, fields, body=b"", keep_alive_s=None):
    head = f"HTTP/1.1 {status} X\r\n"
    if keep_alive_s:
        head += f"Keep-Alive: timeout={keep_alive_s}\r\n"
    for name, value in fields.items():
        head += f"{name}: {value}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


async def request(port, method, path, fields=None, body=b"", timeout=5.0):
    """Sends one request on a new connection. Returns the status, the fields and
    the body, or (None, {}, b"") without a complete answer."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(
                HOST, port, limit=1 << 24)
            head = f"{method} {path} HTTP/1.1\r\n"
            for name, value in (fields or {}).items():
                head += f"{name}: {value}\r\n"
            head += f"Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode("latin-1") + body)
            line, answer, content = await read_message(reader, True)
            return int(line.split()[1]), answer, content
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        return None, {}, b""
    finally:
        if writer is not None:
            writer.close()


class HttpService:
    """Serves requests one after the other on each connection."""

    def __init__(self, port=None):
        self.port = port or free_port()
        self.server = None
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.on_connection, HOST, self.port, limit=1 << 24)

    async def stop(self):
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def on_connection(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                line, fields, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                if not await self.handle(method, target, fields, body, reader,
                                         writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()


class Partition:
    def __init__(self):
        self.records = []  # contents, by offset
        self.newest = {}  # key -> (value, offset)
        self.newest_bytes = 0
        self.changed = asyncio.Event()


class Store(HttpService):
    """The platform's metadata store: keyed topics and one group."""

    def __init__(self, partitions=12, keep_alive_s=None, record_bytes=262144,
                 total_bytes=400 << 20):
        super().__init__()
        self.record_bytes = record_bytes
        self.total_bytes = total_bytes
        self.full_refusals = 0
        self.partitions = partitions
        self.keep_alive_s = keep_alive_s
        self.topics = {}
        self.generation = 0
        self.members = {}  # name -> {"until", "listed", "generation"}
        self.target = {}  # partition -> member

    def part(self, topic, number=0):
        return self.topics.setdefault((topic, number), Partition())

    def append(self, topic, number, contents):
        part = self.part(topic, number)
        first = len(part.records)
        for content in contents:
            size = content[0] if content else 0
            key, value = content[1:1 + size], content[1 + size:]
            offset = len(part.records)
            part.records.append(content)
            previous, _ = part.newest.pop(key, (b"", 0))
            part.newest_bytes -= len(previous)
            if value:
                part.newest[key] = (value, offset)
                part.newest_bytes += len(value)
        changed, part.changed = part.changed, asyncio.Event()
        changed.set()
        return first, len(part.records)

    @property
    def stored_bytes(self):
        """Bytes of the newest record of each key, which are kept for good.
        Older records are taken to have expired."""
        return sum(part.newest_bytes for part in self.topics.values())

    def put(self, topic, key, value):
        """A write of the operator or of a replica; None deletes the key."""
        text = b"" if value is None else json.dumps(value).encode()
        content = bytes([len(key)]) + key.encode() + text
        return self.append(topic, 0, [content])

    async def handle(self, method, target, fields, body, reader, writer):
        split = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(split.query).items()}
        path = split.path
        number = int(query.get("part", 0))
        if path == "/-/log-append":
            contents = []
            position = 0
            while position < len(body):
                size = struct.unpack(">I", body[position:position + 4])[0]
                contents.append(body[position + 4:position + 4 + size])
                position += 4 + size
            await asyncio.sleep(0.004)
            if any(len(content) > self.record_bytes for content in contents):
                writer.write(message(413, {}))
            elif self.stored_bytes >= self.total_bytes:
                self.full_refusals += 1
                writer.write(message(507, {}))
            else:
                first, end = self.append(query["topic"], number, contents)
                self.answer(writer, {"offset": first, "end_offset": end})
        elif path == "/-/log-read":
            await self.log_read(query, number, writer)
        elif path == "/-/log-newest":
            await asyncio.sleep(0.004)
            part = self.part(query["topic"], number)
            after = query.get("after", "").encode()
            # At most 500 records or 1 MB.
            keys = sorted(k for k in part.newest if k > after)
            items = []
            size = 0
            for key in keys[:500]:
                value, offset = part.newest[key]
                encoded = base64.b64encode(value).decode()
                size += len(encoded) + len(key)
                if items and size > 1 << 20:
                    break
                items.append({"key": key.decode("utf-8", "replace"),
                              "value": encoded, "offset": offset})
            self.answer(writer, {"items": items,
                                 "has_more": len(items) < len(keys),
                                 "end_offset": len(part.records)})
        elif path == "/-/log-join":
            self.join(json.loads(body), writer)
        elif path == "/-/log-leave":
            self.members.pop(json.loads(body)["member"], None)
            self.distribute()
            self.answer(writer, {})
        else:
            writer.write(message(404, {}))
        return True

    def answer(self, writer, value):
        writer.write(message(200, {"Content-Type": "application/json"},
                             json.dumps(value).encode(), self.keep_alive_s))

    async def log_read(self, query, number, writer):
        part = self.part(query["topic"], number)
        start = int(query.get("start_rev", 0))
        limit = int(query.get("max_kb", 1024)) * 1024
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        await asyncio.sleep(0.004)
        while len(part.records) <= start and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(part.changed.wait(),
                                       deadline - time.monotonic())
            except asyncio.TimeoutError:
                pass
        data = struct.pack(">QQ", len(part.records), 0)
        for content in part.records[start:]:
            if len(data) > 16 and len(data) + len(content) > limit:
                break
            data += struct.pack(">I", len(content)) + content
        writer.write(message(200, {"Content-Type": "application/octet-stream"},
                             data, self.keep_alive_s))

    def join(self, call, writer):
        now = time.monotonic()
        name = call["member"]
        is_new = name not in self.members
        member = self.members.setdefault(
            name, {"listed": set(), "generation": 0, "until": 0})
        member["until"] = now + call["ttl_ms"] / 1000
        expired = [n for n, m in self.members.items() if m["until"] < now]
        for gone in expired:
            del self.members[gone]
        if is_new or expired:
            self.distribute()
        if call["generation"] >= self.generation:
            # It has seen the present distribution, so it has given up the rest.
            member["listed"] &= self.mine(name)
        held = set().union(*[m["listed"] for n, m in self.members.items()
                             if n != name] or [set()])
        granted = {p for p in self.mine(name) if p not in held}
        if granted - member["listed"]:
            self.generation += 1
        member["listed"] |= granted
        shown = sorted(granted)
        self.answer(writer, {"generation": self.generation,
                             "parts": [[call["topics"][0], p, 0]
                                       for p in shown]})

    def mine(self, name):
        return {p for p, n in self.target.items() if n == name}

    def distribute(self):
        names = sorted(self.members)
        self.generation += 1
        self.target = {p: names[p % len(names)]
                       for p in range(self.partitions)} if names else {}


class Replica(HttpService):
    """A replica. Streams `events` events, `pace` seconds apart; a plain service
    answers once. The share `extra` of its complete answers is sent a second time,
    late: when the next request has arrived on the connection."""

    def __init__(self, name, record, events=10, pace=0.02, slots=8,
                 is_plain=False, extra=0.0, seed=1):
        super().__init__()
        self.name = name
        self.record = record
        self.events = events
        self.pace = pace
        self.slots = slots
        self.is_plain = is_plain
        self.running = 0
        self.runs = []
        self.extra = extra
        self.random = random.Random(seed)
        self.copies = {}  # connection -> the answer to send once more
        self.copies_sent = []
        self.born = int(time.time() * 1000)

    def entry(self, service, state="ready"):
        return {"service": service, "address": f"{HOST}:{self.port}",
                "zone": "zone-a", "version": 1, "slots": self.slots,
                "state": state, "cold_left_ms": 0, "sequence": 1,
                "born": self.born}

    @staticmethod
    def text(request_id, body, number):
        """Data of an event. It depends on the body of the request."""
        return f"{request_id}.{number}.{zlib.crc32(body):08x}"

    def load(self):
        return f"{self.running},0,{self.slots}"

    async def handle(self, method, target, fields, body, reader, writer):
        request_id = fields.get("x-crocussaddle-attempt-id", "")
        base = {"X-Crocussaddle-Attempt-Id": request_id,
                "X-Crocussaddle-Server-Load": self.load()}
        if method == "GET" and target == "/health":
            writer.write(message(200, {"X-Crocussaddle-Instance-Id": self.name,
                                       "X-Crocussaddle-Server-Load":
                                       self.load()}))
            return True
        if fields.get("x-crocussaddle-expect-instance", self.name) != self.name:
            writer.write(message(421, base))
            return True
        if self.running >= self.slots:
            writer.write(message(503, {**base,
                                       "X-Crocussaddle-Not-Executed": "1"}))
            return True
        if copy := self.copies.pop(writer, None):
            self.copies_sent.append((copy[0], request_id))
            self.record(f"{self.name} answers {copy[0]} a second time, before "
                        f"its answer to {request_id[:40]}")
            writer.write(copy[1])
            await asyncio.sleep(0.005)
        self.running += 1
        self.runs.append((request_id, self.record.now(), target, body))
        self.record(f"{self.name} runs {request_id[:40]}"
                    f"{'' if len(request_id) <= 40 else '...'}")
        base["X-Crocussaddle-Server-Seal"] = "5ea1." + self.name
        try:
            if self.is_plain:
                await asyncio.sleep(self.pace)
                writer.write(message(200, base, request_id.encode()))
                return True
            return await self.stream(base, request_id, body, fields, reader,
                                     writer)
        finally:
            self.running -= 1

    async def stream(self, base, request_id, body, fields, reader, writer):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        for name, value in base.items():
            head += f"{name}: {value}\r\n"
        answer = (head + "Transfer-Encoding: chunked\r\n\r\n").encode()
        writer.write(answer)
        first = int(fields.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            # The request is dropped when its connection closes.
            if reader.at_eof():
                self.record(f"{self.name} drops {request_id[:40]}")
                return False
            event = (f"id: {number}\n"
                     f"data: {self.text(request_id, body, number)}\n\n")
            chunk = f"{len(event):x}\r\n{event}\r\n".encode()
            answer += chunk
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(self.pace)
        writer.write(b"0\r\n\r\n")
        if self.random.random() < self.extra:
            self.copies[writer] = (request_id, answer + b"0\r\n\r\n")
        return True


class Proxy:
    """Passes bytes on. `silence` makes all open connections silent for good,
    without a reset; new ones work."""

    def __init__(self, target_port):
        self.port = free_port()
        self.target_port = target_port
        self.server = None
        self.silent = set()
        self.open = {}
        self.next = 0

    async def start(self):
        self.server = await asyncio.start_server(self.on_connection, HOST,
                                                 self.port)

    def silence(self):
        self.silent |= set(self.open)
        return len(self.open)

    async def on_connection(self, reader, writer):
        number = self.next
        self.next += 1
        far_reader, far_writer = await asyncio.open_connection(
            HOST, self.target_port)
        self.open[number] = (writer, far_writer)

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    if number in self.silent:
                        await asyncio.sleep(3600)
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
        tasks = [asyncio.ensure_future(pump(reader, far_writer)),
                 asyncio.ensure_future(pump(far_reader, writer))]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            return
        if number not in self.silent:
            for task in tasks:
                task.cancel()
            self.open.pop(number, None)
            writer.close()
            far_writer.close()


class Gateway:
    """A gateway, started with the command of the deploy file and the settings
    that its template gives for a small deployment."""

    def __init__(self, name, store_port, folder):
        self.name = name
        self.front = free_port()
        self.ready = free_port()
        self.peer = free_port()
        self.store_port = store_port
        self.log_path = os.path.join(folder, name + ".log")
        self.settings = os.path.join(folder, name + ".ini")
        self.process = None
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"""[host]
name = {name}
availability_zone = zone-a
region = region-a
caller_address = {HOST}:{self.front}
ready_address = {HOST}:{self.ready}
address = {HOST}
peer_port = {self.peer}
metrics_port = {free_port()}
zone_regions = zone-a=region-a

[store]
address = {HOST}:{store_port}
partitions = 12
record_bytes = 262144
call_bytes = 2097152

[limits]
shutdown_time = 8s
result_life = 120s
memory_megabytes = 0290
open_files = 08200
""")

    async def start(self):
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                GATEWAY, "--settings", self.settings, cwd=REPOSITORY,
                stdout=log, stderr=log)

    async def wait_ready(self, timeout=15.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            status, _, _ = await request(self.ready, "GET", "/-/ready",
                                         {"Host": "x"}, timeout=1)
            if status == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


DOMAIN = "ficu95.example"


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": DOMAIN, "path_prefix": prefix,
            "route_kind": kind, "timeout_ms": 5000, "latency_target_ms": 1000,
            "priority": 0, "service": service, "max_attempts": 1, **more}


def config(version, routes, services=("model", "desk")):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health",
                          "max_conns": 360} for name in services],
            "limits": {"header_bytes": 16384, "body_bytes": 4194304,
                       "header_ms": 3000, "idle_ms": 15000}}


def batch_route(prefix="/batch/", **more):
    return route("r-batch", prefix, "batch", "model",
                 **{"timeout_ms": 15000, "latency_target_ms": 500,
                    "completion_target_ms": 18000, "retention_s": 60,
                    "max_attempts": 3, "max_count": 1500000, "sticky": True,
                    "priority": 2, **more})


def submission(items, path="/batch/7", body=b"prompt"):
    return json.dumps({"items": [
        {"id": item, "path": path,
         "headers": {"X-Crocussaddle-Model": "m",
                     "X-Crocussaddle-Token-Count": "350,300",
                     "X-Crocussaddle-Prompt-Prefix": f"9c2e41:100,{item}:250"},
         "body": base64.b64encode(body).decode(), "tokens": 650}
        for item in items]}).encode()


async def submit(port, job, items, path="/batch/7", timeout=4.0):
    return await request(port, "POST", path,
                         {"Host": DOMAIN, "X-Crocussaddle-Attempt-Id": job,
                          "X-Crocussaddle-Deadline-Ms": "4000",
                          "Content-Type": "application/json"},
                         submission(items), timeout)


async def read_results(port, job, after=0, wait_ms=1000, timeout=2.5):
    status, _, body = await request(
        port, "GET", f"/-/lots/{job}?after={after}",
        {"Host": DOMAIN, "X-Crocussaddle-Poll-Wait-Ms": str(wait_ms)}, b"",
        timeout)
    return status, json.loads(body) if status == 200 else None


def run_case(main):
    """Runs `main(record, folder, trouble)`, which returns an exit code, for 110 s
    at most."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    path = os.environ["RECORD"]
    record = Record(path)
    record(f"trouble: {'yes' if trouble else 'no'}")

    async def bounded():
        # An end from outside must not leave gateways behind.
        own = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, own.cancel)
        with tempfile.TemporaryDirectory() as folder:
            gateways = []
            try:
                return await asyncio.wait_for(
                    main(record, folder, trouble, gateways), 110)
            except (Exception, asyncio.CancelledError) as error:
                record(f"could not run: {error!r}")
                return 2
            finally:
                others = asyncio.all_tasks() - {own}
                for task in others:
                    task.cancel()
                await asyncio.gather(*others, return_exceptions=True)
                for gateway in gateways:
                    await gateway.stop()
                if keep := os.environ.get("KEEP_LOGS"):
                    os.makedirs(keep, exist_ok=True)
                    for gateway in gateways:
                        with open(gateway.log_path, "rb") as source, open(
                                os.path.join(keep, gateway.name + ".log"),
                                "wb") as sink:
                            sink.write(source.read())
    code = asyncio.run(bounded())
    record({0: "the rule held", 1: "the rule was broken",
            2: "the case could not run"}[code])
    raise SystemExit(code)

"""Stand-ins for the platform, the replicas and the clients.

They follow PROTOCOL.md and run in one event loop of the test's process. Only
the gateways are processes of their own.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEADER = "X-Crocussaddle-"
HOST = "127.0.0.1"
HEARTBEAT_S = 1.2
METRICS_PORT = 9464


def free_port(kind=socket.SOCK_STREAM, address=HOST):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def free_address():
    """A loopback address of a machine, whose port for metrics is fixed."""
    while True:
        address = "127.%d.%d.%d" % tuple(random.randint(1, 250) for _ in range(3))
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                probe.bind((address, METRICS_PORT))
            return address
        except OSError:
            pass


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


# HTTP ---------------------------------------------------------------------


async def read_head(reader):
    """The first line and the fields of a message, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """The body of a message with a length or chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", 0)))


def response(status, body=b"", fields=()):
    reasons = {200: "OK", 202: "Accepted", 404: "Not Found", 410: "Gone"}
    lines = ["HTTP/1.1 %d %s" % (status, reasons.get(status, "Status"))]
    lines += ["%s: %s" % field for field in fields]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Answer:
    def __init__(self, status=0, fields=None, body=b"", complete=False):
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.complete = complete


async def send(server, method, path, fields=(), body=b"", timeout=10.0):
    """One request on a new channel. Status 0 means that no answer came."""
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: mats.example"]
    lines += ["%s: %s" % field for field in fields]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    answer = Answer()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*server)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await read_head(reader)
        if head is None:
            return
        answer.status = int(head[0].split()[1])
        answer.fields = head[1]
        answer.body = await read_body(reader, head[1])
        answer.complete = True

    try:
        await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


# The platform's store -----------------------------------------------------


class Store:
    """The log form of the store: keyed topics, long reads and one group.

    It keeps idle channels for `keep_alive_s` and says so in its answers, or
    says nothing if that is None.
    """

    def __init__(self, record, keep_alive_s=None):
        self.record = record
        self.fields = []
        if keep_alive_s is not None:
            self.fields = [("Keep-Alive", "timeout=%d" % keep_alive_s)]
        self.logs = {}
        self.changed = asyncio.Event()
        self.generation = 1
        self.members = {}
        self.partitions = 12
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 24)
        return self.server.sockets[0].getsockname()[1]

    def log(self, topic, part=0):
        return self.logs.setdefault((topic, int(part)), [])

    def put(self, topic, key, value):
        """A record of the operator or of a replica; None removes the key."""
        text = b"" if value is None else json.dumps(value).encode()
        self.append(topic, 0, [bytes([len(key)]) + key.encode() + text])

    def append(self, topic, part, contents):
        log = self.log(topic, part)
        offset = len(log)
        log.extend(contents)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset, len(log)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split()
                path, _, query = target.partition("?")
                values = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                writer.write(await self.handle(method, path, values, body))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, query, body):
        if path == "/-/log-append":
            return self.on_append(query, body)
        if path == "/-/log-read":
            return await self.on_read(query)
        if path == "/-/log-newest":
            return self.on_newest(query)
        if path == "/-/log-join":
            return self.on_join(json.loads(body))
        if path == "/-/log-leave":
            self.members.pop(json.loads(body)["member"], None)
            self.assign()
            return self.json({})
        return response(404)

    def json(self, value):
        fields = [("Content-Type", "application/json"), *self.fields]
        return response(200, json.dumps(value).encode(), fields)

    def on_append(self, query, body):
        contents = []
        while body:
            (length,) = struct.unpack(">I", body[:4])
            contents.append(body[4 : 4 + length])
            body = body[4 + length :]
        offset, end = self.append(query["topic"], query["part"], contents)
        return self.json({"offset": offset, "end_offset": end})

    async def on_read(self, query):
        log = self.log(query["topic"], query["part"])
        start = int(query["start_rev"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(log) <= start and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(
                    self.changed.wait(), deadline - time.monotonic()
                )
            except asyncio.TimeoutError:
                pass
        page = struct.pack(">QQ", len(log), 0)
        limit = int(query.get("max_kb", 1024)) * 1024
        for content in log[start:]:
            if len(page) + len(content) > limit and len(page) > 16:
                break
            page += struct.pack(">I", len(content)) + content
        return response(200, page, self.fields)

    def on_newest(self, query):
        log = self.log(query["topic"], query["part"])
        newest = {}
        for offset, content in enumerate(log):
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            newest[key] = (value, offset)
        after = re.sub(
            "%([0-9A-Fa-f]{2})",
            lambda match: chr(int(match.group(1), 16)),
            query.get("after", ""),
        )
        keys = sorted(k for k in newest if newest[k][0] and k > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:500]
        ]
        return self.json(
            {"items": items, "has_more": len(keys) > 500, "end_offset": len(log)}
        )

    def assign(self):
        self.generation += 1
        names = sorted(self.members)
        for index, name in enumerate(names):
            self.members[name]["parts"] = list(
                range(index, self.partitions, len(names))
            )

    def owner_of(self, lot):
        """The member that has the partition of the data of a lot."""
        for (topic, part), log in self.logs.items():
            if topic.endswith(".data") and any(lot.encode() in c for c in log):
                for name, member in self.members.items():
                    if part in member["parts"]:
                        return name
        return ""

    def on_join(self, call):
        now = time.monotonic()
        gone = [
            name
            for name, member in self.members.items()
            if now - member["joined"] > member["ttl"]
        ]
        for name in gone:
            del self.members[name]
        is_new = call["member"] not in self.members
        member = self.members.setdefault(call["member"], {"parts": []})
        member["joined"] = now
        member["ttl"] = call["ttl_ms"] / 1000
        if gone or is_new:
            self.assign()
        topic = call["topics"][0]
        return self.json(
            {
                "generation": self.generation,
                "ttl_ms": call["ttl_ms"],
                "parts": [[topic, part, 0] for part in member["parts"]],
            }
        )


# A path between two processes ----------------------------------------------


class Channel:
    is_silent = False


class Path:
    """A proxy before one server. Its channels can go silent for good."""

    def __init__(self, port):
        self.target = port
        self.channels = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 24)
        return self.server.sockets[0].getsockname()[1]

    def silence(self):
        """The open channels carry nothing more, without a reset."""
        count = len(self.channels)
        for channel in self.channels:
            channel.is_silent = True
        return count

    async def serve(self, reader, writer):
        channel = Channel()
        self.channels.add(channel)
        try:
            up_reader, up_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.close()
            return

        async def copy(source, sink):
            try:
                while data := await source.read(1 << 16):
                    if channel.is_silent:
                        continue
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            if not channel.is_silent:
                sink.close()

        await asyncio.gather(copy(reader, up_writer), copy(up_reader, writer))
        self.channels.discard(channel)


# Replicas -------------------------------------------------------------------


class Replica:
    """A replica with slots and a queue. `on_begin` is told of each run."""

    def __init__(self, name, service, store, record, slots=4, on_begin=None):
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.busy = 0
        self.on_begin = on_begin
        self.event_s = 0.02
        self.work_s = 0.01
        self.events = 10
        self.state = "ready"
        self.is_registered = False
        self.sequence = 0
        self.boots = 0
        self.port = 0
        self.writers = set()
        self.crashes_on = None

    async def start(self, heartbeat_s=HEARTBEAT_S):
        self.boots += 1
        self.born = int(time.time() * 1000)
        server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 24)
        self.server = server
        self.port = server.sockets[0].getsockname()[1]
        self.is_registered = True
        self.task = asyncio.ensure_future(self.beat(heartbeat_s))

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": "%s:%d" % (HOST, self.port),
            "zone": "waco-a",
            "version": "v1",
            "slots": self.slot_count,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def beat(self, heartbeat_s):
        while self.is_registered:
            self.store.put("keyed.servers", self.name, self.entry())
            await asyncio.sleep(heartbeat_s)

    def crash(self, down_s=3.0):
        """The process ends. A new one, with a new id, is there after a while."""
        self.is_registered = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        # Without check-ins the entry goes after three intervals.
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.store.put, "keyed.servers", self.name, None
        )
        old_name = self.name
        self.name = "%s.%d" % (old_name.split(".")[0], self.boots + 1)
        self.record.write("%s has crashed" % old_name)

        async def restart():
            await asyncio.sleep(down_s)
            await self.start()

        asyncio.ensure_future(restart())

    def unregister(self):
        """A planned exit without the state `draining`: the entry goes."""
        self.is_registered = False
        self.store.put("keyed.servers", self.name, None)

    def own_fields(self, request_id):
        return [
            (HEADER + "Attempt-Id", request_id),
            (HEADER + "Server-Seal", "seal-%s-%s" % (self.name, request_id)),
        ]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if not await self.answer(reader, writer, head, body):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, reader, writer, head, body):
        fields = head[1]
        request_id = fields.get(HEADER.lower() + "attempt-id", "")
        expected = fields.get(HEADER.lower() + "expect-instance", self.name)
        if expected != self.name:
            writer.write(
                response(421, b"", [(HEADER + "Instance-Id", self.name)])
            )
            await writer.drain()
            return True
        async with self.slots:
            if reader.at_eof():
                return False
            if self.on_begin:
                self.on_begin(self, request_id, fields)
            if request_id.startswith("plain"):
                await asyncio.sleep(self.work_s)
                writer.write(
                    response(200, b"ok " + request_id.encode(),
                             self.own_fields(request_id))
                )
                await writer.drain()
                return True
            return await self.stream(reader, writer, request_id, fields)

    def event_count(self, request_id):
        """The number of events of a run, which only the request decides."""
        return self.events

    async def stream(self, reader, writer, request_id, fields):
        last = int(fields.get("last-event-id", 0))
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += ["%s: %s" % field for field in self.own_fields(request_id)]
        lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        prefix = fields.get(HEADER.lower() + "prompt-prefix", "")
        if self.crashes_on and self.crashes_on in prefix:
            await writer.drain()
            self.crash()
            return False
        for number in range(last + 1, self.event_count(request_id) + 1):
            await asyncio.sleep(self.event_s)
            if reader.at_eof():
                return False
            event = "id: %d\ndata: %s-%d\n\n" % (number, request_id, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event.encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


# Gateways -------------------------------------------------------------------


def fill_template(text, values):
    """The platform's template language, as far as the project uses it."""

    def look_up(name, scope):
        if name == ".":
            return scope["."]
        current = scope
        for part in name.split("."):
            if isinstance(current, list):
                current = current[int(part)] if int(part) < len(current) else None
            elif isinstance(current, dict):
                current = current.get(part)
            else:
                return None
        return current

    def render(text, scope):
        section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
        match = section.search(text)
        if match:
            value = look_up(match.group(1), scope)
            inner = ""
            if isinstance(value, dict):
                for key, entry in value.items():
                    inner += render(match.group(2), {**scope, ".": entry, "@": key})
            elif value not in (None, False):
                inner = render(match.group(2), {**scope, ".": value, "@": ""})
            return (
                render(text[: match.start()], scope)
                + inner
                + render(text[match.end() :], scope)
            )

        def place(match):
            name = match.group(1)
            value = scope["@"] if name == "@" else look_up(name, scope)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.@]+)\}\}", place, text)

    return render(text, values)


# The bounds of the site calloway-mats.
BOUNDS = {
    "stable_window_ms": 3000,
    "drain_ms": 2500,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2500,
    "recovery_s": 12,
    "status_ttl_s": 120,
    "cancel_ms": 3000,
    "settle_ms": 1000,
    "complete_s": 18,
    "quota_excess": 0.1,
}


class Gateway:
    """The program of the deploy file as a process."""

    def __init__(self, name, store_port, directory, zone="waco-a"):
        self.name = name
        address = free_address()
        self.front = (address, free_port(address=address))
        self.ready = (address, free_port(address=address))
        values = {
            "node_name": name,
            "zone": zone,
            "region": "central-tx",
            "ip": address,
            "port_range": [free_port(socket.SOCK_DGRAM, address)],
            "listen": {
                "front": "%s:%d" % self.front,
                "ready": "%s:%d" % self.ready,
            },
            "zones": {"waco-a": "central-tx", "denton-a": "north-tx"},
            "platform": {
                "address": "%s:%d" % (HOST, store_port),
                "parts": 12,
                "record_bytes": 262144,
                "call_bytes": 2097152,
            },
            "bounds": BOUNDS,
            "limits": {"memory_mb": 290, "max_fds": 8200},
        }
        template = open(os.path.join(ROOT, "platform/gateway.ini.template")).read()
        self.settings = os.path.join(directory, name + ".ini")
        with open(self.settings, "w") as file:
            file.write(fill_template(template, values))
        self.log_path = os.path.join(directory, name + ".log")
        self.process = None

    async def start(self):
        program = os.path.join(ROOT, "target/bin/crocus-gateway")
        if not os.path.exists(program):
            raise CannotRun("the deploy file's build has not been run")
        self.log = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            program,
            "--settings",
            self.settings,
            cwd=ROOT,
            stdout=self.log,
            stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        for _ in range(200):
            if (await send(self.ready, "GET", "/-/ready", timeout=1)).status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the gateway %s did not get ready" % self.name)

    def signal(self, number):
        self.process.send_signal(number)

    async def kill(self):
        """SIGKILL; the platform starts the process again after a moment."""
        self.process.kill()
        await self.process.wait()

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class CannotRun(Exception):
    pass


def config(version, extra_routes=(), **changes):
    """One route of each kind, like those of the site calloway-mats."""
    routes = [
        {
            "name": "r-name",
            "host": "mats.example",
            "path_prefix": "/name/",
            "route_kind": "streaming",
            "timeout_ms": 5000,
            "latency_target_ms": 300,
            "gap_target_ms": 500,
            "priority": 0,
            "service": "proof-models",
            "max_attempts": 1,
            "sticky": True,
            "resumable": False,
        },
        {
            "name": "r-logo",
            "host": "mats.example",
            "path_prefix": "/logo/",
            "route_kind": "streaming",
            "timeout_ms": 5000,
            "latency_target_ms": 300,
            "gap_target_ms": 500,
            "priority": 0,
            "service": "proof-models",
            "max_attempts": 2,
            "sticky": True,
            "resumable": True,
        },
        {
            "name": "r-batch",
            "host": "mats.example",
            "path_prefix": "/batch/",
            "route_kind": "batch",
            "timeout_ms": 15000,
            "latency_target_ms": 500,
            "priority": 2,
            "service": "proof-models",
            "max_attempts": 3,
            "sticky": True,
            "resumable": True,
            "completion_target_ms": 18000,
            "retention_s": 60,
            "max_count": 1500000,
        },
        {
            "name": "r-ping",
            "host": "mats.example",
            "path_prefix": "/ping/",
            "route_kind": "idempotent",
            "timeout_ms": 1200,
            "latency_target_ms": 120,
            "priority": 2,
            "service": "order-desk",
            "max_attempts": 2,
            "sticky": False,
        },
    ]
    routes += list(extra_routes)
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "proof-models",
                "health_path": "/health",
                "max_conns": 360,
                "protocol": "h1",
                "tls": False,
            },
            {
                "name": "order-desk",
                "health_path": "/health",
                "max_conns": 96,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 4194304,
            "header_ms": 3000,
            "idle_ms": 15000,
        },
        **changes,
    }


def submission(items, events=10):
    return json.dumps(
        {
            "items": [
                {
                    "id": item,
                    "path": "/batch/" + item,
                    "headers": {
                        HEADER + "Model": "m",
                        HEADER + "Token-Count": "350,%d" % events,
                        HEADER + "Prompt-Prefix": "aa01:100,%s:250" % item,
                    },
                    "body": "q83vEjRWeJA=",
                    "tokens": 350 + events,
                }
                for item in items
            ]
        }
    ).encode()


def run(folder, scenario, limit_s=110):
    """Runs a scenario. Its result is true if the rule was broken."""
    record = Record(os.path.join(folder, "record.txt"))
    directory = tempfile.mkdtemp(prefix="review-")
    gateways = []

    async def bounded():
        # Sessions that the end of the loop cancels are no errors.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        # The gateways end with the test, also if it is stopped from outside.
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(
                scenario(record, directory, gateways,
                         os.environ.get("TROUBLE", "1") != "0"),
                limit_s,
            )
        finally:
            for gateway in gateways:
                await gateway.stop()

    try:
        is_broken = asyncio.run(bounded())
        record.write("result: " + ("rule broken" if is_broken else "rule held"))
        code = 1 if is_broken else 0
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as error:
        record.write("result: could not run: %r" % (error,))
        code = 2
    keep = os.environ.get("KEEP_LOGS")
    if keep:
        shutil.copytree(directory, keep, dirs_exist_ok=True)
    shutil.rmtree(directory, ignore_errors=True)
    print(open(os.path.join(folder, "record.txt")).read().splitlines()[-1])
    return code

"""Starts gateways with the command of the deploy file, as the platform does:
settings from the project's template, SIGTERM, SIGKILL, restarts."""

import asyncio
import os
import random
import re
import shlex
import signal
import sys
import tempfile
import time
import tomllib

from http_wire import call

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
HOST = "ficu95.example"
ZONES = {"waco-a": "central-tx", "denton-a": "north-tx",
         "houston-a": "gulf-tx"}
BOUNDS = {"grace_s": 8, "config_apply_ms": 2500, "complete_s": 18,
          "status_ttl_s": 120, "stable_window_ms": 3000, "settle_ms": 1000,
          "loss_slack_ms": 200}
MEMORY_MB = 290


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt beside the case."""

    def __init__(self, case_file):
        folder = os.path.dirname(os.path.abspath(case_file))
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()


def render(template, values):
    """Fills in a template as DEPLOY.md tells; covers what the project's
    template uses."""
    def section(match):
        table = values
        for key in match.group(1).split("."):
            table = table[key]
        return "".join(
            match.group(2).replace("{{@}}", str(key)).replace(
                "{{.}}", str(value)) for key, value in table.items())

    def value(match):
        found = values
        for key in match.group(1).split("."):
            found = found[int(key)] if isinstance(found, list) else found[key]
        return str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Addresses:
    """Loopback addresses of the machines of one run."""

    def __init__(self):
        seed = random.SystemRandom()
        self.prefix = "127.%d.%d." % (seed.randint(10, 250),
                                      seed.randint(0, 255))
        self.count = 0

    def next(self):
        self.count += 1
        return self.prefix + str(self.count)


class Gateway:
    def __init__(self, name, ip, store_address, folder, record, zone="waco-a"):
        self.name = name
        self.ip = ip
        self.record = record
        self.front = ip + ":8144"
        self.ready = ip + ":8140"
        self.process = None
        self.starts = 0
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        with open(os.path.join(ROOT, role["template"])) as file:
            template = file.read()
        settings = os.path.join(folder, name + ".settings")
        with open(settings, "w") as file:
            file.write(render(template, {
                "node_name": name, "zone": zone, "region": ZONES[zone],
                "ip": ip, "port_range": [7660, 7675],
                "listen": {"front": self.front, "ready": self.ready},
                "zones": ZONES, "bounds": BOUNDS,
                "platform": {"address": store_address, "parts": 12,
                             "record_bytes": 262144, "call_bytes": 2097152}}))
        self.command = [settings if word.startswith("/etc/") else word
                        for word in shlex.split(role["run"])]
        self.log = open(os.path.join(folder, name + ".log"), "ab")

    async def start(self):
        self.starts += 1
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, stdout=self.log, stderr=self.log)
        self.record("%s starts (start %d)" % (self.name, self.starts))

    async def wait_ready(self, timeout=10.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            status, _, _ = await call(self.ready, "GET", "/-/ready",
                                      timeout=1.0)
            if status == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running:
            self.record("%s gets %s" % (self.name,
                                        signal.Signals(number).name))
            self.process.send_signal(number)

    async def terminate(self):
        """SIGTERM, and SIGKILL after grace_s."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), BOUNDS["grace_s"])
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.record("%s has ended with %d" % (self.name,
                                              self.process.returncode))

    async def stop(self):
        if self.is_running:
            self.process.kill()
            await self.process.wait()
        self.log.close()

    def resident_mb(self):
        try:
            with open("/proc/%d/statm" % self.process.pid) as file:
                pages = int(file.read().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def online_route(name, kind, service, attempts=1, timeout_ms=5000,
                 resumable=False):
    return {"name": "r-" + name, "host": HOST, "path_prefix": "/%s/" % name,
            "route_kind": kind, "timeout_ms": timeout_ms,
            "latency_target_ms": 300, "priority": 0, "service": service,
            "max_attempts": attempts, "sticky": kind == "streaming",
            "resumable": resumable, "gap_target_ms": 500}


def batch_route(name, service, retention_s=60):
    return {"name": "r-" + name, "host": HOST, "path_prefix": "/%s/" % name,
            "route_kind": "batch", "timeout_ms": 15000,
            "latency_target_ms": 500, "priority": 2, "service": service,
            "max_attempts": 3, "sticky": True, "resumable": True,
            "gap_target_ms": 500, "completion_target_ms": 18000,
            "retention_s": retention_s, "max_count": 1500000}


async def put_config(store, version, routes, services, record):
    await store.put("keyed.op", "config", {
        "version": version, "routes": routes,
        "services": [{"name": name, "health_path": "/health",
                      "max_conns": 360, "protocol": "h1", "tls": False}
                     for name in services],
        "limits": {"header_bytes": 16384, "body_bytes": 4194304,
                   "header_ms": 3000, "idle_ms": 15000}})
    record("operator: config version %d is confirmed; routes: %s" %
           (version, ", ".join(route["name"] for route in routes)))


def run_case(case, case_file):
    """Runs `case(record, folder, addresses)`, which returns the exit code."""
    record = Record(case_file)
    with tempfile.TemporaryDirectory() as folder:
        async def bounded():
            # The processes are ended if the script itself is stopped.
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGTERM, asyncio.current_task().cancel)
            async with asyncio.timeout(115):
                return await case(record, folder, Addresses())
        try:
            code = asyncio.run(bounded())
        except (Exception, asyncio.CancelledError) as error:
            record("the case could not run: %r" % error)
            code = 2
    record("exit code %d" % code)
    sys.exit(code)

"""Stand-ins of the platform for the cases of the second review.

The store, model replicas and plain services speak what PROTOCOL.md says of
them. The project's own programs are started with the commands and templates of
deploy/system.toml, on loopback addresses and the real clock.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# Values of the sheet of hlasnik-prod.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "stretchMs": 5000,
    "revokeFailClosed": True, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "budgetSlack": 112, "recoverS": 12, "passMs": 120,
    "reuseWindowS": 7.8, "quotaWindowS": 4}
EDGE_LIMITS = {"cpuShare": 0.13, "cores": 1, "memoryMb": 96, "maxFds": 2870,
               "linkMbps": 700.0, "diskMb": 0}
SIDE_LIMITS = {"cpuShare": 0.2, "cores": 1, "memoryMb": 192, "maxFds": 4096,
               "linkMbps": 2000.0, "diskMb": 0}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
          "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
          "tokensPerS": 410000}


class Record:
    """What was sent, answered and run; one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


def _lookup(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() \
                    and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(template, fields):
    """Fills in a template as DEPLOY.md says (the parts that are in use)."""

    def section(match):
        kind, name, body = match.group(1), match.group(2), match.group(3)
        value = _lookup([fields], name)
        present = value is not None and value is not False
        return render(body, fields) if present == (kind == "#") else ""

    text = re.sub(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", section, template,
                  flags=re.S)

    def value_of(match):
        name, _, form = match.group(1).partition("|")
        value = _lookup([fields], name)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(str(it) for it in value)
        return str(value)

    return re.sub(r"\{\{([^}]+)\}\}", value_of, text)


class Machine:
    """A machine with one role of the deploy file."""

    def __init__(self, fleet, role, ip, zone, **fields):
        self.fleet = fleet
        self.role = role
        self.ip = ip
        self.name = f"{role}-{ip.replace('.', '-')}"
        edge = role == "gateway"
        self.limits = dict(EDGE_LIMITS if edge else SIDE_LIMITS)
        ports = fleet.ports
        self.fields = {
            "node": self.name, "role": role, "ip": ip, "zone": zone,
            "region": "sk-east",
            "listen": {"front": f"{ip}:{ports['front']}",
                       "readiness": f"{ip}:{ports['readiness']}",
                       "control": f"{ip}:{ports['control']}"} if edge else {},
            "internalPorts": [ports["internal"], ports["admin"]],
            "seeds": fleet.seeds, "bootstrap": True, "limits": self.limits,
            "bounds": BOUNDS,
            "platform": {"address": fleet.store.address, "form": "kv"},
            **fields}
        self.process = None

    async def start(self):
        deploy = self.fleet.deploy["roles"][self.role]
        with open(os.path.join(ROOT, deploy["template"]),
                  encoding="utf-8") as file:
            text = render(file.read(), self.fields)
        path = os.path.join(self.fleet.folder, self.name + ".settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
               if key in os.environ}
        env["SHALLOTBEAM_SETTINGS"] = path
        self.process = await asyncio.create_subprocess_exec(
            *deploy["run"].split(" "), cwd=ROOT, env=env, stdout=log,
            stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.fleet.record(f"started {self.name} pid={self.process.pid}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def memory_mb(self, name="VmRSS"):
        """Resident memory, in MiB, now or ("VmHWM") at its peak; 0 if the
        process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status",
                      encoding="utf-8") as file:
                for line in file:
                    if line.startswith(name + ":"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def cpu_s(self):
        try:
            with open(f"/proc/{self.process.pid}/stat",
                      encoding="utf-8") as file:
                fields = file.read().rsplit(")", 1)[1].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        except OSError:
            return 0

    async def ready(self, seconds=15):
        """Waits for a 200 of the readiness address."""
        host, port = self.fields["listen"]["readiness"].split(":")
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                status, _, _ = await call(host, int(port), "GET",
                                          "/api/readyz", timeout=1)
                if status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.1)
        return False


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_eof=False):
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise EOFError("the body is incomplete")
            size = int(line.split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_eof else b""


async def exchange(reader, writer, method, target, headers=(), body=b""):
    """One request on an open connection; returns status, fields and body."""
    text = f"{method} {target} HTTP/1.1\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers)
    if body or method == "POST":
        text += f"Content-Length: {len(body)}\r\n"
    writer.write(text.encode("latin-1") + b"\r\n" + body)
    line, fields = await read_head(reader)
    answer = await read_body(reader, fields, until_eof=True)
    return int(line.split(" ")[1]), fields, answer


async def call(host, port, method, target, headers=(), body=b"", timeout=10):
    """One request on a connection of its own."""

    async def run():
        reader, writer = await asyncio.open_connection(host, port,
                                                       limit=1 << 20)
        try:
            given = [("Host", f"{host}:{port}")] if not any(
                name.lower() == "host" for name, _ in headers) else []
            return await exchange(reader, writer, method, target,
                                  [*given, *headers], body)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except asyncio.IncompleteReadError as error:
        raise EOFError(str(error)) from error


class HttpServer:
    """A small HTTP/1.1 server: one request at a time on a connection."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.address = f"{host}:{port}"
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 21, backlog=1024)

    def close(self):
        if self.server is not None:
            self.server.close()
        for it in list(self.writers):
            it.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, fields)
                if not await self.handle(method, target, fields, body, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, fields, body, writer):
        raise NotImplementedError

    @staticmethod
    async def send(writer, status, headers=(), body=b""):
        text = f"HTTP/1.1 {status} Status\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in headers)
        text += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(text.encode("latin-1") + body)
        await writer.drain()


class Store(HttpServer):
    """The platform's store: the calls that gateways make."""

    # "At most about 500 items or 1 MB" a page.
    page_items = 500
    page_bytes = 1 << 20

    def __init__(self, host, port, record):
        super().__init__(host, port)
        self.record = record
        self.revision = 10
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()

    def put(self, key, value):
        if not isinstance(value, bytes):
            value = json.dumps(value, separators=(",", ":")).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items \
            else self.revision
        self.items[key] = {"key": key,
                           "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": created,
                           "lease": 0}
        self._note(self.items[key])
        return self.revision

    def remove(self, key):
        if key not in self.items:
            return
        del self.items[key]
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "removed": True})

    def _note(self, event):
        self.events.append((time.monotonic(), event))
        while time.monotonic() - self.events[0][0] > 20:  # historyS
            self.events.pop(0)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, fields, body, writer):
        path, _, query = target.partition("?")
        args = dict(it.partition("=")[::2] for it in query.split("&") if it)
        if path == "/api/kv-range":
            return await self.range(args, writer)
        if path == "/api/kv-watch":
            return await self.watch(args, writer)
        await self.send(writer, 404)
        return True

    async def answer(self, writer, status, value):
        await asyncio.sleep(0.004)
        await self.send(writer, status, [("Content-Type", "application/json")],
                        json.dumps(value).encode())
        return True

    async def range(self, args, writer):
        prefix, after = args.get("pathPrefix", ""), args.get("after", "")
        items, size, truncated = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(prefix) or (after and key <= after):
                continue
            if len(items) >= self.page_items or size > self.page_bytes:
                truncated = True
                break
            items.append(self.items[key])
            size += len(items[-1]["value"])
        return await self.answer(writer, 200, {
            "items": items, "truncated": truncated, "asOf": self.revision})

    async def watch(self, args, writer):
        prefix, after = args.get("pathPrefix", ""), int(args["after"])
        end = time.monotonic() + int(args["waitMs"]) / 1000
        while True:
            oldest = self.events[0][1]["revision"] if self.events \
                else self.revision + 1
            if after + 1 < oldest:
                return await self.answer(writer, 410, {})
            events = [it for _, it in self.events
                      if it["revision"] > after and
                      it["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return await self.answer(writer, 200, {
                    "events": events, "asOf": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Replica(HttpServer):
    """A replica of a service. Registers itself in the store."""

    def __init__(self, fleet, host, port, service, name, slots=128,
                 work_s=0.02, events=0, event_gap_s=0.05, zone="ke-a"):
        super().__init__(host, port)
        self.fleet, self.service, self.name = fleet, service, name
        self.slots, self.zone, self.state = slots, zone, "ready"
        self.work_s, self.events, self.event_gap_s = work_s, events, event_gap_s
        self.sequence, self.active = 0, 0
        self.runs = {}  # by Attempt-Id
        self.muted = False
        self.beating = None

    async def start(self):
        await super().start()
        self.beating = asyncio.create_task(self._beat())

    def entry(self):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "coldLeftMs": 0, "stage": "unified",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self.sequence}

    async def _beat(self):
        while True:
            self.sequence += 1
            self.fleet.store.put("servers/" + self.name, self.entry())
            await asyncio.sleep(1.2)

    def close(self):
        super().close()
        if self.beating is not None:
            self.beating.cancel()

    async def handle(self, method, target, fields, body, writer):
        if target == "/api/report":
            value = {"stage": "unified",
                     "models": [{"name": "m", "version": 1, "adapters": []}],
                     "busy": False, "sequence": 2,
                     "queued": max(self.active - self.slots, 0),
                     "active": min(self.active, self.slots),
                     "kvUsed": 0, "kvTotal": 635000, "handles": 0}
            await self.send(writer, 200, [("Content-Type", "application/json")],
                            json.dumps(value).encode())
            return True
        if fields.get("expect-instance") != self.name:
            await self.send(writer, 421, [("Instance-Id", self.name)])
            return True
        attempt = fields.get("attempt-id", "")
        if not attempt:
            await self.send(writer, 400, [("Not-Executed", "1")])
            return True
        self.runs.setdefault(attempt, []).append(time.monotonic())
        self.fleet.record(f"run id={attempt} at={self.name} {method} "
                          f"{target} bytes={len(body)}")
        self.active += 1
        try:
            return await self.run(attempt, method, target, fields, body, writer)
        finally:
            self.active -= 1

    async def run(self, attempt, method, target, fields, body, writer):
        if self.muted:
            await asyncio.sleep(60)
            return False
        await asyncio.sleep(self.work_s)
        headers = [("Attempt-Id", attempt),
                   ("Response-Seal", f"seal-{attempt}"),
                   ("Instance-Load", f"{self.active},0,{self.slots}")]
        if self.events == 0:
            await self.send(writer, 200, headers, b"x" * 800)
            return True
        text = "HTTP/1.1 200 OK\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in headers)
        writer.write((text + "Content-Type: text/event-stream\r\n"
                      "Weight-Versions: 1\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for i in range(1, self.events + 1):
            event = f"id: {i}\ndata: {attempt} {i}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def service(name, engine=None):
    value = {"name": name, "healthPath": "/healthz", "maxConns": 1240,
             "protocol": "h1", "tls": False}
    if engine:
        value["engine"] = engine
    return value


def engine(slots=128, memory=635000, stride=6):
    return {"slots": slots, "kvCapacity": memory, "kvBytes": 35136,
            "linkMbps": 1100000.0, "moves": True, "backups": True,
            "stride": stride, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
            "handleS": 5.0, "models": [{"name": "m"}]}


def route(name, prefix, kind, target, timeout_ms, slo_ms, attempts=2,
          **extra):
    return {"name": name, "host": "ficu95.example", "pathPrefix": prefix,
            "routeKind": kind, "timeoutMs": timeout_ms, "sloMs": slo_ms,
            "priority": 1, "service": target, "attempts": attempts,
            "anonymous": False, "sticky": kind == "streaming",
            "resumable": False, **extra}


class Fleet:
    """A small deployment on loopback addresses."""

    def __init__(self, record, net=None):
        self.record = record
        # Each run has addresses and ports of its own.
        n = os.getpid() % 200 + 20 if net is None else net
        self.net = f"127.{n}"
        base = 20000 + os.getpid() % 3000 * 8
        self.ports = {"front": base, "readiness": base + 1,
                      "control": base + 2, "internal": base + 3,
                      "admin": base + 4, "app": base + 5, "store": base + 6}
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.store = Store(self.net + ".200.1", self.ports["store"], record)
        self.seeds = []
        self.machines = []
        self.replicas = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)

    def edge_ip(self, n):
        return f"{self.net}.1.{n}"

    def side_ip(self, n):
        return f"{self.net}.2.{n}"

    def front(self, machine):
        host, port = machine.fields["listen"]["front"].split(":")
        return host, int(port)

    def gateway(self, n, zone="ke-a"):
        machine = Machine(self, "gateway", self.edge_ip(n), zone)
        self.machines.append(machine)
        return machine

    def scheduler(self, replica, zone="ke-a"):
        machine = Machine(self, "scheduler", replica.host, zone,
                          app=replica.address, service=replica.service)
        self.machines.append(machine)
        return machine

    def replica(self, n, service_name, **options):
        replica = Replica(self, self.side_ip(n), self.ports["app"],
                          service_name, f"i-{n:08x}", **options)
        self.replicas.append(replica)
        return replica

    async def close(self):
        for it in self.machines:
            it.signal(signal.SIGCONT)
            it.signal(signal.SIGKILL)
            if it.process is not None:
                await it.process.wait()
        for it in [*self.replicas, self.store]:
            it.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, scenario):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the
    case couldn't run."""
    if not os.path.exists(os.path.join(ROOT, "target", "platform",
                                       "shallotbeam-platform")):
        print("the programs are not built")
        return 2
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        fleet = Fleet(record)
        try:
            return await asyncio.wait_for(scenario(fleet, trouble), 110)
        finally:
            await fleet.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # the case itself failed
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
    record("the rule was broken" if broken else "the rule held")
    print("broken" if broken else "held")
    return 1 if broken else 0

"""Stand-ins for the platform, its store, replicas and consumers.

They follow the users' pages (PROTOCOL.md, DEPLOY.md) and are sound unless a
case tells them otherwise. Everything runs on loopback addresses and the real
clock. The system's processes are the ones that deploy/system.toml starts, with
settings that are filled in from its templates.
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
import sys
import tempfile
import time
import tomllib

REPO = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BEAT_S = 1.2  # heartbeatMs of the site files
CASE_S = 110  # a case that takes longer could not run
BOUNDS = {  # of hlasnik-prod
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "stretchMs": 5000,
    "revokeFailClosed": True, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "budgetSlack": 112, "recoverS": 12, "passMs": 120,
}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
          "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 450000}
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone",
           421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be set up."""


# --- HTTP ------------------------------------------------------------------

class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns (start line, headers), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("head cut off") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, read=None):
    read = read or reader.readexactly
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body
            body += await read(size)
            await reader.readexactly(2)
    return await read(int(headers.get("content-length", "0")))


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    return Message(head[0], head[1], await read_body(reader, head[1]))


def response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def reset(writer):
    """Resets a connection, as the kernel does when its process dies."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Server:
    """An HTTP server whose connections can be reset all at once."""

    def __init__(self, address):
        self.address = address
        self.server = None
        self.writers = set()

    async def open(self):
        host, port = self.address
        self.server = await asyncio.start_server(
            self.serve, host, port, limit=1 << 20, backlog=512)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if not await self.handle(message, reader, writer):
                    break
        except (OSError, ConnectionError, asyncio.IncompleteReadError,
                ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def crash(self):
        """Refuses connections and resets the open ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()


# --- The platform's store ----------------------------------------------------

class Store(Server):
    def __init__(self, address):
        super().__init__(address)
        self.items = {}  # key: (value, revision, created)
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()

    def _item(self, key):
        value, revision, created = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease": 0}

    def put(self, key, value):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created)
        self._publish(self._item(key))

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self._publish({"key": key, "revision": self.revision, "removed": True})

    def _publish(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, message, _reader, writer):
        target = message.first.split(" ")[1]
        path, _, query = target.partition("?")
        args = dict(it.partition("=")[::2] for it in query.split("&") if it)
        args = {k: re.sub("%([0-9A-Fa-f]{2})",
                          lambda m: chr(int(m[1], 16)), v)
                for k, v in args.items()}
        prefix = args.get("pathPrefix", "")
        await asyncio.sleep(0.004)
        if path == "/api/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix)
                          and k > args.get("after", ""))
            body = {"items": [self._item(k) for k in keys[:500]],
                    "truncated": len(keys) > 500, "asOf": self.revision}
        elif path == "/api/kv-watch":
            after = int(args["after"])
            end = time.monotonic() + int(args.get("waitMs", "0")) / 1000
            while True:
                events = [e for e in self.events if e["revision"] > after
                          and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            body = {"events": events, "asOf": self.revision}
        else:
            writer.write(response(404, {}))
            return True
        writer.write(response(200, {"Content-Type": "application/json"},
                              json.dumps(body).encode()))
        await writer.drain()
        return True


# --- Replicas ----------------------------------------------------------------

class Replica(Server):
    """A replica of a service. `work` is called for each request that runs and
    returns (status, body)."""

    def __init__(self, world, service, address, name, zone="z-a", slots=6,
                 work=None, version=1):
        super().__init__(address)
        self.world, self.service, self.name = world, service, name
        self.zone, self.slots, self.version = zone, slots, version
        # "stream" for a stream of events.
        self.content_type = "text/event-stream" if work == "stream" \
            else "application/json"
        self.work = self.stream_work if work == "stream" \
            else work or self.plain_work
        self.sequence = 0
        self.active = 0
        self.born = int(time.time() * 1000)
        self.beats = None
        self.alive = False

    async def plain_work(self, _message):
        await asyncio.sleep(0.015)
        return 200, b"x" * 800

    async def stream_work(self, _message):
        await asyncio.sleep(0.1)
        return 200, b"".join(b"id: %d\ndata: six tokens\n\n" % number
                             for number in range(1, 7))

    @property
    def key(self):
        return "servers/" + self.name

    def entry(self):
        host, port = self.address
        return {"service": self.service, "address": f"{host}:{port}",
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": "ready", "coldLeftMs": 0, "born": self.born,
                "sequence": self.sequence}

    async def start(self):
        await self.open()
        self.alive = True
        self.beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.sequence += 1
            self.world.store.put(self.key, self.entry())
            await asyncio.sleep(BEAT_S)

    async def crash(self):
        """Ends without a word. The store removes the entry after three status
        report intervals of silence."""
        self.alive = False
        self.beats.cancel()
        await super().crash()
        self.expiry = asyncio.get_running_loop().call_later(
            3 * BEAT_S, lambda: self.world.store.remove(self.key))

    async def restart(self):
        """Starts again under the id that it had."""
        self.expiry.cancel()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.active = 0
        await self.start()

    def load(self):
        return {"Instance-Load": f"{self.active},0,{self.slots}"}

    async def handle(self, message, _reader, writer):
        target = message.first.split(" ")[1]
        if target == "/api/report":
            body = {"stage": "unified", "busy": False, "sequence": 1,
                    "models": [{"name": "m", "version": self.version,
                                "adapters": []}],
                    "queued": 0, "active": self.active, "kvUsed": 0,
                    "kvTotal": 600000, "handles": 0}
            writer.write(response(200, {"Content-Type": "application/json"},
                                  json.dumps(body).encode()))
            return True
        if target == "/healthz":
            writer.write(response(200, {"Instance-Id": self.name}))
            return True
        headers = {"Attempt-Id": message.get("attempt-id", "")}
        expected = message.get("expect-instance")
        weights = message.get("expect-version")
        wrong_weights = weights is not None and weights != str(self.version)
        if expected not in (None, self.name) or wrong_weights:
            cause = "version" if wrong_weights else "instance"
            self.world.record(f"replica={self.name} "
                              f"id={message.get('attempt-id')} status=421 "
                              f"cause={cause}")
            writer.write(response(421, {**headers, "Instance-Id": self.name}))
            return True
        self.world.record(f"replica={self.name} "
                          f"id={message.get('attempt-id')} run")
        self.world.runs.append((time.monotonic(), message.get("attempt-id"),
                                self.name))
        self.active += 1
        try:
            status, body = await self.work(message)
        finally:
            self.active -= 1
        if not self.alive:
            return False
        self.world.record(f"replica={self.name} "
                          f"id={message.get('attempt-id')} answered={status} "
                          f"bytes={len(body)}")
        writer.write(response(status, {**headers, **self.load(),
                                       "Content-Type": self.content_type,
                                       "Weight-Versions": str(self.version),
                                       "Response-Seal": f"seal.{len(body)}"},
                              body))
        await writer.drain()
        return True


# --- The system's processes ---------------------------------------------------

def fill(template, fields):
    """Fills in the placeholders that the deploy templates use."""
    def value(path):
        current = fields
        for part in path.split("."):
            if isinstance(current, list):
                current = current[int(part)] if int(part) < len(current) else None
            elif isinstance(current, dict):
                current = current.get(part)
            if current is None:
                return None
        return current

    def section(match):
        found = value(match[1])
        return match[2] if found not in (None, False, [], "") else ""

    def leaf(match):
        found = value(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", leaf, text)


class Process:
    """One role on one machine. The platform restarts it when it ends."""

    def __init__(self, world, role, ip, fields):
        with open(os.path.join(REPO, "deploy/system.toml"), "rb") as file:
            deploy = tomllib.load(file)["roles"][role]
        self.world, self.role, self.ip = world, role, ip
        self.command = deploy["run"].split(" ")
        with open(os.path.join(REPO, deploy["template"])) as file:
            text = fill(file.read(), fields)
        self.name = fields["node"]
        self.settings = os.path.join(world.folder, self.name + ".jsonc")
        with open(self.settings, "w") as file:
            file.write(text)
        self.log = os.path.join(world.folder, self.name + ".log")
        self.process = None
        self.watcher = None
        self.stopping = False
        self.own_ends = 0

    async def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["SHALLOTBEAM_SETTINGS"] = self.settings
        program = os.path.join(REPO, self.command[0])
        if not os.path.exists(program):
            raise CannotRun(f"{program} is not built")
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, *self.command[1:], cwd=REPO, env=env, stdout=log,
                stderr=log)
        self.world.record(f"process={self.name} started")
        self.watcher = asyncio.create_task(self._watch(self.process))

    async def _watch(self, process):
        code = await process.wait()
        self.world.record(f"process={self.name} ended code={code} "
                          f"expected={self.stopping}")
        if not self.stopping:
            self.own_ends += 1

    def signal(self, number):
        self.world.record(f"process={self.name} "
                          f"signal={signal.Signals(number).name}")
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.stopping = True
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.stopping = True
            self.process.kill()
            await self.process.wait()

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Gateway(Process):
    def __init__(self, world, number, limits=None):
        self.front = (f"{world.net}.{10 + number}", world.ports["front"])
        ip = self.front[0]
        self.readiness = (ip, world.ports["readiness"])
        super().__init__(world, "gateway", ip, {
            "node": f"edge-{number}", "ip": ip, "zone": "z-a",
            "listen": {"front": "%s:%d" % self.front,
                       "readiness": "%s:%d" % self.readiness,
                       "control": f"{ip}:{world.ports['control']}"},
            "internalPorts": world.inner, "seeds": world.seeds,
            "bounds": BOUNDS, "limits": limits or {"maxFds": 2870,
                                                   "memoryMb": 96},
            "platform": {"address": "%s:%d" % world.store.address}})

    async def is_ready(self):
        try:
            status, _, _ = await fetch(self.readiness, "GET", "/api/readyz")
        except OSError:
            return False
        return status == 200

    async def until_ready(self, limit=20):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")


class Scheduler(Process):
    def __init__(self, world, number, replica):
        ip = replica.address[0]
        super().__init__(world, "scheduler", ip, {
            "node": f"side-{number}", "ip": ip, "zone": "z-a",
            "internalPorts": world.inner,
            "app": "%s:%d" % replica.address})


class World:
    """A small deployment."""

    def __init__(self, folder):
        self.record_path = os.path.join(folder, "record.txt")
        self.file = open(self.record_path, "w")
        self.started = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        number = random.randrange(1, 250)
        self.net = f"127.{number}.{os.getpid() % 250 + 1}"
        self.ports = {name: free_port(self.net + ".10")
                      for name in ("front", "readiness", "control", "app",
                                   "store")}
        self.inner = [free_port(self.net + ".10"), free_port(self.net + ".10")]
        self.seeds = [f"{self.net}.10:{self.ports['control']}"]
        self.store = Store((f"{self.net}.2", self.ports["store"]))
        self.runs = []
        self.processes = []

    def record(self, line):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {line}\n")

    def app(self, number):
        return (f"{self.net}.{100 + number}", self.ports["app"])

    async def add(self, process):
        self.processes.append(process)
        await process.start()
        return process

    async def close(self):
        for it in self.processes:
            await it.end()
        self.file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


# --- Consumers ---------------------------------------------------------------

def new_id():
    return "%016x" % random.getrandbits(64)


def request(method, path, host, headers=None, body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines + ["", ""]).encode() + body


async def fetch(address, method, path, host="x.example", headers=None,
                body=b"", limit=20.0):
    """One request on a new connection: (status, headers, body). Raises
    ConnectionError if the response does not arrive whole."""
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(*address, limit=1 << 20), 1.0)
    try:
        writer.write(request(method, path, host, headers, body))
        message = await asyncio.wait_for(read_message(reader), limit)
    except (asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        raise ConnectionError("no whole response") from error
    finally:
        writer.close()
    if message is None:
        raise ConnectionError("closed without a response")
    return int(message.first.split(" ")[1]), message.headers, message.body


def run_case(folder, case):
    """Runs `case(world, trouble)`, which returns a list of broken rules."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        world = World(folder)
        # A signal to the script ends its processes too.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await world.store.open()
            return await asyncio.wait_for(case(world, trouble), CASE_S), None
        except Exception as error:  # whatever it is, the case could not run
            for it in world.processes:
                if os.path.exists(it.log):
                    with open(it.log) as file:
                        world.record(f"log of {it.name}: {file.read()[-2000:]}")
            return None, error
        finally:
            # KEEP_LOGS names a folder for the logs of the processes.
            if os.environ.get("KEEP_LOGS"):
                for it in world.processes:
                    if os.path.exists(it.log):
                        shutil.copy(it.log, os.environ["KEEP_LOGS"])
            await world.close()

    try:
        broken, error = asyncio.run(main())
    except asyncio.CancelledError as cancelled:
        broken, error = None, cancelled
    if error is not None:
        print(f"could not run: {error!r}")
        sys.exit(2)
    with open(os.path.join(folder, "record.txt"), "a") as file:
        for line in broken or ["rule held"]:
            file.write(line + "\n")
            print(line)
    sys.exit(1 if broken else 0)

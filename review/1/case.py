"""Requests that crash their replicas make a gateway go on with a request that
it has answered and freed. It then sends another consumer's request twice, or
crashes."""

import asyncio
import collections
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standin import *  # noqa: E402,F403

HOST = "chat.example"
ENGINES = 12
RELEASED = 5  # have the new weights: a share of 0.42
GATEWAYS = 2
CONSUMERS = 80
ORDER_CONSUMERS = 20
TOKENS_PER_MS = 125
DEADLY = 16
DEADLY_GAP_S = 3
BACK_S = 1.5  # until a crashed replica is back


class Engine(Replica):
    """Reads one prompt at a time and crashes when it begins to run a deadly
    one."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, slots=64, work=self.run, **kwargs)
        self.content_type = "text/event-stream"
        self.lives = 0
        self.reading = asyncio.Lock()

    async def run(self, message):
        parts = message.get("prefix-hash").split(",")
        tokens = int(parts[-1].split(":")[1])
        async with self.reading:
            await asyncio.sleep(tokens / TOKENS_PER_MS / 1000)
        if message.body.startswith(b"probe"):
            self.world.probes[message.body] = self.version
        if message.body.startswith(b"deadly"):
            self.world.record(f"replica={self.name} "
                              f"id={message.get('attempt-id')} crashes")
            asyncio.create_task(self.crash_and_return())
            await asyncio.sleep(1)
        return 200, b"".join(b"id: %d\ndata: six tokens\n\n" % number
                             for number in range(1, 5))

    async def crash_and_return(self):
        if not self.alive:
            return
        await self.crash()
        await asyncio.sleep(BACK_S)
        self.lives += 1  # a new lifetime has a new id, at the same address
        self.name = f"{self.name.split('.')[0]}.{self.lives}"
        self.born = int(time.time() * 1000)
        self.sequence = self.active = 0
        self.reading = asyncio.Lock()
        await self.start()


def headers(tenant, subject, number, tokens):
    return {"Attempt-Id": new_id(), "Deadline-Ms": 12000,
            "Authorization": f"Bearer key-{tenant}", "Model": "m",
            "Token-Count": f"{tokens + 500},40",
            "Prefix-Hash": f"{subject:x}:500,{number:x}:{tokens}"}


def brief(world, number, count):
    fields = headers(count % 16, count % 37 + 1, count,
                     6610 if number % 2 else 628)
    world.once_only.add(fields["Attempt-Id"])
    return fields, request("POST", f"/brief/{count}", HOST, fields,
                           b"brief %d" % count)


def order(world, number, count):
    fields = {"Attempt-Id": new_id(), "Deadline-Ms": 1500,
              "Authorization": f"Bearer key-{count % 16}"}
    world.once_only.add(fields["Attempt-Id"])
    return fields, request("POST", f"/order/{number}", HOST, fields, b"hay")


async def consumer(world, gateway, number, make, stop, found):
    """Sends one request after the other on a kept channel; none of them may be
    repeated."""
    count = number * 100_000
    while not stop.is_set():
        try:
            reader, writer = await asyncio.open_connection(
                *gateway.front, limit=1 << 20)
        except OSError:
            await asyncio.sleep(0.2)
            continue
        sent_here = 0
        try:
            while not stop.is_set():
                count += 1
                sent_here += 1
                fields, message = make(world, number, count)
                attempt = fields["Attempt-Id"]
                writer.write(message)
                answer = await asyncio.wait_for(read_message(reader), 14)
                if answer is None:
                    raise ConnectionError("closed without an answer")
                if answer.get("attempt-id") != attempt:
                    found["foreign"].append(attempt)
                    world.record(f"consumer={number} id={attempt} got the "
                                 f"answer of {answer.get('attempt-id')}")
                if answer.get("connection") == "close":
                    break
                if " 200 " not in answer.first:
                    await asyncio.sleep(0.3)
                await asyncio.sleep(random.uniform(0, 0.05))
        except (OSError, ConnectionError, asyncio.IncompleteReadError,
                asyncio.TimeoutError) as error:
            world.record(f"consumer={number} id={attempt} closed without an "
                         f"answer ({type(error).__name__}), request "
                         f"{sent_here} of its channel")
            if sent_here > 1:
                found["lost"].append(attempt)
        finally:
            writer.close()


async def ask(world, gateway, path, fields, body):
    try:
        status, _, _ = await fetch(gateway.front, "POST", path, HOST, fields,
                                   body, limit=14)
    except (OSError, ConnectionError, asyncio.TimeoutError) as error:
        status = type(error).__name__
    world.record(f"{gateway.name} id={fields['Attempt-Id']} "
                 f"body={body.decode()} status={status}")


async def deadly_caller(world, gateway, number):
    """Asks for the old weights about a subject that a replica with the new
    ones has cached."""
    subject = 500 + number * 50
    for _ in range(12):
        subject += 1
        body = b"probe %d" % subject
        await ask(world, gateway, f"/chat/{subject}",
                  headers(16, subject, 10_000_000 + subject, 60), body)
        if world.probes.get(body) == 2:
            break
    fields = headers(16, subject, 90_000_000 + number, 628)
    fields["Expect-Version"] = "1"
    await ask(world, gateway, f"/chat/{subject}", fields,
              b"deadly %d" % number if world.trouble else b"plain %d" % number)


async def case(world, trouble):
    world.trouble, world.probes, world.once_only = trouble, {}, set()
    for number in range(ENGINES):
        engine = Engine(world, "pool", world.app(number), f"i-{number}",
                        version=2 if number < RELEASED else 1)
        await engine.start()
        await world.add(Scheduler(world, number, engine))

    async def work(_message):
        await asyncio.sleep(0.15)
        return 200, b"x" * 800

    for number in range(3):
        await Replica(world, "ledger", world.app(50 + number), f"l-{number}",
                      slots=16, work=work).start()

    def route(name, attempts, resumable):
        return {"name": name, "host": HOST, "pathPrefix": f"/{name}/",
                "routeKind": "streaming", "timeoutMs": 12000, "sloMs": 400,
                "priority": 1, "service": "pool", "attempts": attempts,
                "anonymous": False, "sticky": True, "resumable": resumable,
                "gapTargetMs": 400}

    limits = dict(LIMITS)
    del limits["tokensPerS"]
    world.store.put("op/config", {
        "version": 7,
        "routes": [route("brief", 1, False), route("chat", 5, True),
                   {"name": "order", "host": HOST, "pathPrefix": "/order/",
                    "routeKind": "non_idempotent", "timeoutMs": 1500,
                    "sloMs": 300, "priority": 1, "service": "ledger",
                    "attempts": 1, "anonymous": False}],
        "services": [{"name": "ledger", "healthPath": "/healthz",
                      "maxConns": 220},
                     {"name": "pool", "healthPath": "/healthz",
                      "maxConns": 740,
                      "engine": {"slots": 64, "kvCapacity": 763514,
                                 "stride": 6, "models": [{"name": "m"}]}}],
        "limits": limits,
        "tenants": [{"name": f"tenant-{n}", "apiKeys": [f"key-{n}"],
                     "priority": 1} for n in range(17)]})
    gateways = [await world.add(Gateway(world, n)) for n in range(GATEWAYS)]
    for it in gateways:
        await it.until_ready()
    await asyncio.sleep(1)
    stop, found = asyncio.Event(), {"lost": [], "foreign": []}
    consumers = [asyncio.create_task(consumer(
        world, gateways[n % GATEWAYS], n,
        brief if n < CONSUMERS else order, stop, found))
        for n in range(CONSUMERS + ORDER_CONSUMERS)]

    def twice():
        runs = collections.Counter(it[1] for it in world.runs)
        return [it for it in world.once_only if runs[it] > 1]

    await asyncio.sleep(5)
    callers = []
    for number in range(DEADLY):
        callers.append(asyncio.create_task(deadly_caller(
            world, gateways[number % GATEWAYS], number)))
        await asyncio.sleep(DEADLY_GAP_S)
        if any(it.own_ends for it in gateways):
            break
    await asyncio.sleep(2)
    stop.set()
    await asyncio.wait(consumers + callers, timeout=16)
    for it in consumers + callers:
        it.cancel()

    crashed = sum(it.own_ends for it in gateways)
    ran = {it[1] for it in world.runs}
    lost = [it for it in found["lost"] if it in ran]
    world.record(f"requests that had been passed on when their kept channels "
                 f"closed without an answer: {len(lost)}")
    world.record(f"requests that may not be repeated "
                 f"{len(world.once_only)}, run twice {twice()}, foreign "
                 f"answers {found['foreign']}, gateways that crashed {crashed}")
    broken = []
    if len(lost) > 3:
        broken.append(f"LOST: {len(lost)} requests were passed on and their "
                      "kept channels closed without an answer; gateways that "
                      f"crashed: {crashed}")
    if twice():
        broken.append(f"TWICE: {len(twice())} requests that aren't idempotent "
                      "ran more than once")
    if found["foreign"]:
        broken.append(f"MIXED: {len(found['foreign'])} consumers got the "
                      "answer of another request")
    return broken


run_case(HERE, case)

"""A configuration that takes the last tenant away opens all routes: requests
with revoked keys, and with keys that never existed, run."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standin import *  # noqa: E402,F403

HOST = "booking.example"
REVOKE_S = BOUNDS["revokeMs"] / 1000
GATEWAYS = 2
SHOP = {"name": "shop", "apiKeys": ["key-of-shop"], "priority": 1}
YARD = {"name": "yard", "apiKeys": ["key-of-yard"], "priority": 1}


def config(version, tenants):
    return {
        "version": version,
        "routes": [{"name": "order", "host": HOST, "pathPrefix": "/order/",
                    "routeKind": "non_idempotent", "timeoutMs": 1000,
                    "sloMs": 100, "priority": 2, "service": "booking",
                    "attempts": 1, "anonymous": False}],
        "services": [{"name": "booking", "healthPath": "/healthz",
                      "maxConns": 220}],
        "limits": LIMITS, "tenants": tenants}


async def send(world, gateway, key, sent):
    attempt = new_id()
    sent[attempt] = (time.monotonic(), key)
    try:
        status, _, _ = await fetch(
            gateway.front, "POST", "/order/7", HOST,
            {"Attempt-Id": attempt, "Deadline-Ms": 1000,
             "Authorization": f"Bearer {key}"}, b"two megaphones", limit=3)
    except (OSError, ConnectionError, asyncio.TimeoutError) as error:
        status = type(error).__name__
    world.record(f"{gateway.name} id={attempt} key={key} status={status}")


async def case(world, trouble):
    for number in range(3):
        await Replica(world, "booking", world.app(number),
                      f"i-{number}").start()
    world.store.put("op/config", config(7, [SHOP, YARD]))
    gateways = [await world.add(Gateway(world, n)) for n in range(GATEWAYS)]
    for it in gateways:
        await it.until_ready()
    sent, tasks, stop = {}, [], asyncio.Event()

    async def traffic():
        while not stop.is_set():
            for it in gateways:
                for key in ("key-of-shop", "key-of-yard", "key-of-nobody"):
                    tasks.append(asyncio.create_task(
                        send(world, it, key, sent)))
            await asyncio.sleep(0.25)

    source = asyncio.create_task(traffic())
    revoked = {}  # key: acknowledgement of the configuration that took it away

    def publish(version, tenants, key):
        world.store.put("op/config", config(version, tenants))
        revoked[key] = time.monotonic()
        world.record(f"configuration {version} is acknowledged, tenants: "
                     f"{[it['name'] for it in tenants]}")

    await asyncio.sleep(4)
    publish(9, [YARD], "key-of-shop")
    await asyncio.sleep(REVOKE_S + 3)
    if trouble:
        publish(14, [], "key-of-yard")
    await asyncio.sleep(REVOKE_S + 5)
    stop.set()
    await source
    await asyncio.gather(*tasks)

    ran = {it[1] for it in world.runs}
    broken = []
    for key, acknowledged in revoked.items():
        late = [it for it, (at, used) in sent.items() if used == key
                and at > acknowledged + REVOKE_S and it in ran]
        world.record(f"{key}: {len(late)} requests ran that were sent later "
                     "than revokeMs after the acknowledgement")
        if late:
            broken.append(f"CONFIG: {len(late)} requests with {key} ran, sent "
                          "later than revokeMs after the configuration that "
                          "took it away")
    unknown = [it for it, (_, key) in sent.items()
               if key == "key-of-nobody" and it in ran]
    world.record(f"ran with a key that no configuration held: {len(unknown)}")
    if unknown:
        broken.append(f"ROUTE: {len(unknown)} requests whose key no "
                      "configuration ever held ran")
    return broken


run_case(HERE, case)

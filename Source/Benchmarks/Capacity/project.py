#!/usr/bin/env python3
"""Computes the figures of docs/CAPACITY.md from measured ones.

Usage: project.py CAPACITY_JSON IDLE_TXT

The first file is written by shallotbeam-capacity --json, the second is the
output of idle_processes.py.
"""
import hashlib
import json
import math
import random
import sys

ROUTERS, AGENTS, CENTRES, POOLS = 840, 4900, 28, 5
WORKSPACES, BACKLOGGED, REQUESTS = 260, 26, 16_000
CENTRE_ROUTERS, CENTRE_AGENTS = ROUTERS // CENTRES, AGENTS // CENTRES
LIMIT_BYTES, LIMIT_MB = 20_000, 128
BUCKETS, SUMMERS, MAX_DUTIES = 6, 2, 3
GOSSIP_RUNS = 50_000
PATCH_BYTES, CHANGES_A_DAY = 1000, 4700
NUMBERED_ROW, HEADER = 22, 40  # designed, bytes
CHANGED_ROWS = 40  # of one agent between two reports, assumed
REPORT, TOTALS, BETWEEN = 5, 5, 15  # seconds


def type_of(points, x, role, name):
    point = next(p for p in points if p["x"] == x)
    return point[role]["types"][name]


# Most items that a router of any data centre gets; one with `limit` items
# leaves a further one to the next in order.
def most_loaded(items, copies, limit):
    most = 0
    for centre in range(CENTRES):
        load = dict.fromkeys(range(CENTRE_ROUTERS), 0)
        for item in range(items):
            order = sorted(load, key=lambda r, i=item, c=centre: hashlib.sha256(
                f"{c}/{i}/{r}".encode()).digest())
            for router in [r for r in order if load[r] < limit][:copies]:
                load[router] += 1
        most = max(most, max(load.values()))
    return most


# Two routers know a version; each router greets a random one a second. With
# `answers`, a greeted router that is ahead answers with the version.
def gossip_rounds(rng, answers):
    known = {0, 1}
    rounds = 0
    while len(known) < CENTRE_ROUTERS:
        learnt = set()
        for n in range(CENTRE_ROUTERS):
            other = (n + rng.randrange(1, CENTRE_ROUTERS)) % CENTRE_ROUTERS
            if n in known:
                learnt.add(other)
            elif answers and other in known:
                learnt.add(n)
        known |= learnt
        rounds += 1
    return rounds


def slope(points):
    x, y = zip(*points)
    mean_x, mean_y = sum(x) / len(x), sum(y) / len(y)
    return sum((a - mean_x) * (b - mean_y) for a, b in points) / sum(
        (a - mean_x) ** 2 for a in x)


def main():
    with open(sys.argv[1]) as file:
        measured = json.load(file)
    with open(sys.argv[2]) as file:
        idle = [json.loads(line) for line in file]
    axes = measured["axes"]
    row = measured["share_row"]
    heap = measured["heap_bytes"]

    def show(name, value, unit):
        print(f"{name:<58}{value:>16,.1f} {unit}")

    print("constants")
    base = type_of(axes["agents"]["points"], 16, "router", "Heartbeat")
    per_list = axes["routers"]["fits"]["router"]["Heartbeat bytes"]["slope"] / (
        16 * 4 * 2)
    heartbeat_in = base["bytes_in"] / base["messages_in"] - 4 * per_list
    heartbeat_out = base["bytes_out"] / base["messages_out"] - 3 * per_list
    show("heartbeat to a router without list", heartbeat_in, "B")
    show("heartbeat to an agent without list", heartbeat_out, "B")
    show("entry of the list of routers", per_list, "B")
    demand = {x: type_of(axes["backlogged"]["points"], x, "agent", "Demand")
              for x in (8, 26)}
    size = {x: d["bytes_in"] / d["messages_in"] for x, d in demand.items()}
    demand_us = demand[26]["cpu_us"] / demand[26]["messages_in"]
    entry = (size[26] - size[8]) / 18
    show("demand, entry of a workspace", entry, "B")
    show("demand of 26 workspaces", size[26], "B")
    show("demand of 26 workspaces, at the agent", demand_us, "us")
    shares = type_of(axes["backlogged"]["points"], 26, "router", "Shares")
    message = shares["bytes_in"] / shares["messages_in"]
    rows = (message - BACKLOGGED * 32) / row["bytes"] / 16
    show("rows changed per agent and 200 ms (26 backlogged)", rows, "")
    two = [line for line in idle if line["routers"] == 2]
    link_kb = slope([(line["agents"], line["router"]["private_kb"])
                     for line in two])
    show("memory of a router per agent, idle", link_kb, "KB")
    agent_link_kb = slope([(line["routers"], line["agent"]["private_kb"])
                           for line in idle if line["agents"] == 5])
    show("memory of an agent per router, idle", agent_link_kb, "KB")
    base_mb = (two[0]["router"]["rss_kb"] - link_kb * two[0]["agents"]) / 1000

    print("\ntoday, every agent at every router (extrapolated)")
    beats = 4 * (heartbeat_in + heartbeat_out + 2 * ROUTERS * per_list)
    show("router heartbeats", AGENTS * beats / 1e6, "MB/s")
    show("agent heartbeats", ROUTERS * beats / 1e6, "MB/s")
    show("greetings between routers, per router",
         ROUTERS * 2 * 2 * heartbeat_out / 1e3, "KB/s")
    exchange = AGENTS * rows * row["bytes"]
    show("one Shares message", exchange / 1e6, "MB")
    show("router shares", exchange * AGENTS * 5 * 2 / 1e9, "GB/s")
    show("agent shares", exchange * ROUTERS * 5 * 2 / 1e9, "GB/s")
    show("router shares, processor", AGENTS * rows * AGENTS * 5 * (
        row["decode_and_merge_us"] + row["encode_us"]) / 1e6, "cores")
    show("agent demand (25 a second per router)",
         ROUTERS * 25 * size[26] / 1e6, "MB/s")
    show("agent demand, processor", ROUTERS * 25 * demand_us / 1e6, "cores")
    show("share rows in memory", AGENTS * WORKSPACES * heap["share row"] / 1e6,
         "MB")
    show("ended rows, growth a day", 1600 * AGENTS / (AGENTS + ROUTERS) *
         WORKSPACES * heap["share row"] / 1e6, "MB")
    show("router links in memory", AGENTS * link_kb / 1e3, "MB")
    show("agent links in memory", ROUTERS * agent_link_kb / 1e3, "MB")
    per_agent_kb = link_kb + (WORKSPACES * heap["share row"] +
                              heap["agent at a router"]) / 1e3
    show("agents at which a router passes 128 MB",
         (LIMIT_MB - base_mb) * 1e3 / per_agent_kb, "")
    idle_link = two[-1]["router"]["bytes_per_second"] / two[-1]["agents"]
    show("agents at which an idle router passes 20 KB/s (2 routers)",
         LIMIT_BYTES / idle_link, "")

    print("\ndesigned (computed from constants)")
    numbered = entry - 11  # a number of up to 3 bytes instead of 14 of a name
    change = size[8] - 8 * entry + 2 * numbered
    refresh = size[8] - 8 * entry + BACKLOGGED * numbered
    link = 2 * (heartbeat_in + heartbeat_out) + 2 * change + refresh / 4
    show("one link", link, "B/s")
    groups = POOLS * BUCKETS
    active = 2 * BACKLOGGED / BUCKETS  # rows of a group that change
    duties = groups * SUMMERS / CENTRE_ROUTERS
    sums = (CENTRE_AGENTS * (CHANGED_ROWS * NUMBERED_ROW + BUCKETS * HEADER) *
            SUMMERS / CENTRE_ROUTERS / REPORT)
    packet = HEADER + active * NUMBERED_ROW
    between_in = duties * (CENTRES - 1) * packet / BETWEEN
    between_out = duties / 2 * (CENTRES - 1) * 2 * packet / BETWEEN
    totals = duties / 2 * CENTRE_AGENTS / POOLS * packet / TOTALS
    grants = REQUESTS / ROUTERS * (55 + 34 / 4)
    patch = PATCH_BYTES * CHANGES_A_DAY / 86_400
    greet = 2 * (90 + CENTRE_ROUTERS * 6)  # one out and one in a second
    for k in (1, 2, 3, 4, 6):
        agents = AGENTS * k / ROUTERS
        most_agents = math.ceil(agents)
        fixed = grants + patch * (2 + agents) + greet
        duty = sums + between_in + between_out + totals
        show(f"router, {k} routers per agent, average",
             (agents * link + fixed + duty) / 1e3, "KB/s")
        show(f"router, {k} routers per agent, most",
             (most_agents * link + grants + patch * (2 + most_agents) + greet +
              duty * MAX_DUTIES / duties) / 1e3, "KB/s")
    for name, value in (("links, 3 routers per agent", AGENTS * 3 / ROUTERS * link),
                        ("grants", grants), ("sums in", sums),
                        ("between data centres", between_in + between_out),
                        ("totals out", totals),
                        ("configuration patches",
                         patch * (2 + AGENTS * 3 / ROUTERS)),
                        ("greetings", greet)):
        show(f"router, {name}", value, "B/s")
    show("agent, 3 routers", 3 * link + REQUESTS / AGENTS * 63 +
         SUMMERS * (CHANGED_ROWS * NUMBERED_ROW + BUCKETS * HEADER) / REPORT +
         BUCKETS * packet / TOTALS + patch, "B/s")

    print("\nrendezvous over 30 routers, worst of 28 data centres")
    for name, items, copies, limits in (
            ("duties", groups, SUMMERS, (groups, MAX_DUTIES)),
            ("agents with 3 routers each", CENTRE_AGENTS, 3,
             (CENTRE_AGENTS, math.ceil(CENTRE_AGENTS * 3 / CENTRE_ROUTERS)))):
        for limit in limits:
            show(f"{name} of a router, at most {limit} allowed",
                 most_loaded(items, copies, limit), "")

    print("\nrounds of greetings until 30 routers know a version")
    for answers in (False, True):
        rounds = sorted(gossip_rounds(random.Random(seed), answers)
                        for seed in range(GOSSIP_RUNS))
        name = "with answers" if answers else "without answers"
        show(f"{name}, median", rounds[GOSSIP_RUNS // 2], "")
        show(f"{name}, worst of {GOSSIP_RUNS}", rounds[-1], "")


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Computes the figures of docs/CAPACITY.md from measurements.

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
WORKSPACES, BACKLOGGED, REQUESTS_PER_SECOND = 260, 26, 16_000
CENTRE_ROUTERS, CENTRE_AGENTS = ROUTERS // CENTRES, AGENTS // CENTRES
LIMIT_BYTES, LIMIT_MB = 20_000, 128
# Designed aggregation: the workspaces of each pool are divided into buckets. In
# each data centre, AGGREGATORS routers sum the rows of a group (one bucket of
# one pool). The output calls a group that is assigned to a router a "duty".
BUCKETS_PER_POOL, AGGREGATORS, MAX_GROUPS_PER_ROUTER = 6, 2, 3
GOSSIP_RUNS = 50_000
PATCH_BYTES, CHANGES_PER_DAY = 1000, 4700
NUMBERED_ROW_BYTES, HEADER_BYTES = 22, 40  # sizes in the designed protocol
CHANGED_ROWS = 40  # assumed: rows of one agent that change between two reports
# Intervals: agents report to the aggregating routers, these send totals to the
# agents, and aggregating routers of different data centres exchange their sums.
REPORT_SECONDS, TOTALS_SECONDS, EXCHANGE_SECONDS = 5, 5, 15


def type_of(points, x, role, name):
    point = next(p for p in points if p["x"] == x)
    return point[role]["types"][name]


# In each data centre, assigns every item to `copies` routers by rendezvous
# hashing. A router that already has `limit` items is skipped in favour of the
# next one in hash order. Returns the highest number of items of any router.
def highest_load(items, copies, limit):
    highest = 0
    for centre in range(CENTRES):
        load = dict.fromkeys(range(CENTRE_ROUTERS), 0)
        for item in range(items):
            order = sorted(load, key=lambda r, i=item, c=centre: hashlib.sha256(
                f"{c}/{i}/{r}".encode()).digest())
            for router in [r for r in order if load[r] < limit][:copies]:
                load[router] += 1
        highest = max(highest, max(load.values()))
    return highest


# Simulates how a configuration version that two routers know spreads to all
# routers of a data centre. In each round of a second, every router sends a
# heartbeat (a "greeting" in the output) to a random other router. With
# `answers`, a receiver that has a newer version replies with this version.
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
    share_row = measured["share_row"]
    heap = measured["heap_bytes"]

    def show(name, value, unit):
        print(f"{name:<58}{value:>16,.1f} {unit}")

    print("constants")
    heartbeat = type_of(axes["agents"]["points"], 16, "router", "Heartbeat")
    list_entry_bytes = axes["routers"]["fits"]["router"]["Heartbeat bytes"][
        "slope"] / (16 * 4 * 2)
    heartbeat_in = (heartbeat["bytes_in"] / heartbeat["messages_in"] -
                    4 * list_entry_bytes)
    heartbeat_out = (heartbeat["bytes_out"] / heartbeat["messages_out"] -
                     3 * list_entry_bytes)
    show("heartbeat to a router without list", heartbeat_in, "B")
    show("heartbeat to an agent without list", heartbeat_out, "B")
    show("entry of the list of routers", list_entry_bytes, "B")
    demand = {x: type_of(axes["backlogged"]["points"], x, "agent", "Demand")
              for x in (8, 26)}
    demand_bytes = {x: d["bytes_in"] / d["messages_in"]
                    for x, d in demand.items()}
    demand_us = demand[26]["cpu_us"] / demand[26]["messages_in"]
    demand_entry_bytes = (demand_bytes[26] - demand_bytes[8]) / 18
    show("demand, entry of a workspace", demand_entry_bytes, "B")
    show("demand of 26 workspaces", demand_bytes[26], "B")
    show("demand of 26 workspaces, at the agent", demand_us, "us")
    shares = type_of(axes["backlogged"]["points"], 26, "router", "Shares")
    shares_bytes = shares["bytes_in"] / shares["messages_in"]
    changed_rows = (shares_bytes - BACKLOGGED * 32) / share_row["bytes"] / 16
    show("rows changed per agent and 200 ms (26 backlogged)", changed_rows, "")
    two_routers = [line for line in idle if line["routers"] == 2]
    router_link_kb = slope([(line["agents"], line["router"]["private_kb"])
                            for line in two_routers])
    show("memory of a router per agent, idle", router_link_kb, "KB")
    agent_link_kb = slope([(line["routers"], line["agent"]["private_kb"])
                           for line in idle if line["agents"] == 5])
    show("memory of an agent per router, idle", agent_link_kb, "KB")
    base_mb = (two_routers[0]["router"]["rss_kb"] -
               router_link_kb * two_routers[0]["agents"]) / 1000

    print("\ntoday, every agent at every router (extrapolated)")
    heartbeat_rate = 4 * (heartbeat_in + heartbeat_out +
                          2 * ROUTERS * list_entry_bytes)
    show("router heartbeats", AGENTS * heartbeat_rate / 1e6, "MB/s")
    show("agent heartbeats", ROUTERS * heartbeat_rate / 1e6, "MB/s")
    show("greetings between routers, per router",
         ROUTERS * 2 * 2 * heartbeat_out / 1e3, "KB/s")
    shares_message_bytes = AGENTS * changed_rows * share_row["bytes"]
    show("one Shares message", shares_message_bytes / 1e6, "MB")
    show("router shares", shares_message_bytes * AGENTS * 5 * 2 / 1e9, "GB/s")
    show("agent shares", shares_message_bytes * ROUTERS * 5 * 2 / 1e9, "GB/s")
    show("router shares, processor", AGENTS * changed_rows * AGENTS * 5 * (
        share_row["decode_and_merge_us"] + share_row["encode_us"]) / 1e6,
         "cores")
    show("agent demand (25 a second per router)",
         ROUTERS * 25 * demand_bytes[26] / 1e6, "MB/s")
    show("agent demand, processor", ROUTERS * 25 * demand_us / 1e6, "cores")
    show("share rows in memory", AGENTS * WORKSPACES * heap["share row"] / 1e6,
         "MB")
    show("ended rows, growth a day", 1600 * AGENTS / (AGENTS + ROUTERS) *
         WORKSPACES * heap["share row"] / 1e6, "MB")
    show("router links in memory", AGENTS * router_link_kb / 1e3, "MB")
    show("agent links in memory", ROUTERS * agent_link_kb / 1e3, "MB")
    per_agent_kb = router_link_kb + (WORKSPACES * heap["share row"] +
                                     heap["agent at a router"]) / 1e3
    show("agents at which a router passes 128 MB",
         (LIMIT_MB - base_mb) * 1e3 / per_agent_kb, "")
    idle_link = (two_routers[-1]["router"]["bytes_per_second"] /
                 two_routers[-1]["agents"])
    show("agents at which an idle router passes 20 KB/s (2 routers)",
         LIMIT_BYTES / idle_link, "")

    print("\ndesigned (computed from constants)")
    # A number of up to 3 bytes replaces a name of 14 bytes.
    numbered_entry_bytes = demand_entry_bytes - 11
    demand_change_bytes = (demand_bytes[8] - 8 * demand_entry_bytes +
                           2 * numbered_entry_bytes)
    demand_refresh_bytes = (demand_bytes[8] - 8 * demand_entry_bytes +
                            BACKLOGGED * numbered_entry_bytes)
    link_rate = (2 * (heartbeat_in + heartbeat_out) + 2 * demand_change_bytes +
                 demand_refresh_bytes / 4)
    show("one link", link_rate, "B/s")
    groups = POOLS * BUCKETS_PER_POOL
    active_rows = 2 * BACKLOGGED / BUCKETS_PER_POOL  # changed rows of a group
    groups_per_router = groups * AGGREGATORS / CENTRE_ROUTERS
    sums_in = (CENTRE_AGENTS * (CHANGED_ROWS * NUMBERED_ROW_BYTES +
                                BUCKETS_PER_POOL * HEADER_BYTES) *
               AGGREGATORS / CENTRE_ROUTERS / REPORT_SECONDS)
    group_bytes = HEADER_BYTES + active_rows * NUMBERED_ROW_BYTES
    exchange_in = (groups_per_router * (CENTRES - 1) * group_bytes /
                   EXCHANGE_SECONDS)
    exchange_out = (groups_per_router / 2 * (CENTRES - 1) * 2 * group_bytes /
                    EXCHANGE_SECONDS)
    totals_out = (groups_per_router / 2 * CENTRE_AGENTS / POOLS * group_bytes /
                  TOTALS_SECONDS)
    grant_rate = REQUESTS_PER_SECOND / ROUTERS * (55 + 34 / 4)
    patch_rate = PATCH_BYTES * CHANGES_PER_DAY / 86_400
    # One heartbeat sent and one received per second.
    router_heartbeat_rate = 2 * (90 + CENTRE_ROUTERS * 6)
    for k in (1, 2, 3, 4, 6):
        agents = AGENTS * k / ROUTERS
        most_agents = math.ceil(agents)
        other_rate = (grant_rate + patch_rate * (2 + agents) +
                      router_heartbeat_rate)
        aggregation_rate = sums_in + exchange_in + exchange_out + totals_out
        show(f"router, {k} routers per agent, average",
             (agents * link_rate + other_rate + aggregation_rate) / 1e3, "KB/s")
        show(f"router, {k} routers per agent, most",
             (most_agents * link_rate + grant_rate +
              patch_rate * (2 + most_agents) + router_heartbeat_rate +
              aggregation_rate * MAX_GROUPS_PER_ROUTER / groups_per_router) /
             1e3, "KB/s")
    for name, value in (("links, 3 routers per agent",
                         AGENTS * 3 / ROUTERS * link_rate),
                        ("grants", grant_rate), ("sums in", sums_in),
                        ("between data centres", exchange_in + exchange_out),
                        ("totals out", totals_out),
                        ("configuration patches",
                         patch_rate * (2 + AGENTS * 3 / ROUTERS)),
                        ("greetings", router_heartbeat_rate)):
        show(f"router, {name}", value, "B/s")
    show("agent, 3 routers", 3 * link_rate + REQUESTS_PER_SECOND / AGENTS * 63 +
         AGGREGATORS * (CHANGED_ROWS * NUMBERED_ROW_BYTES +
                        BUCKETS_PER_POOL * HEADER_BYTES) / REPORT_SECONDS +
         BUCKETS_PER_POOL * group_bytes / TOTALS_SECONDS + patch_rate, "B/s")

    print("\nrendezvous over 30 routers, worst of 28 data centres")
    for name, items, copies, item_limits in (
            ("duties", groups, AGGREGATORS, (groups, MAX_GROUPS_PER_ROUTER)),
            ("agents with 3 routers each", CENTRE_AGENTS, 3,
             (CENTRE_AGENTS, math.ceil(CENTRE_AGENTS * 3 / CENTRE_ROUTERS)))):
        for limit in item_limits:
            show(f"{name} of a router, at most {limit} allowed",
                 highest_load(items, copies, limit), "")

    print("\nrounds of greetings until 30 routers know a version")
    for answers in (False, True):
        rounds = sorted(gossip_rounds(random.Random(seed), answers)
                        for seed in range(GOSSIP_RUNS))
        name = "with answers" if answers else "without answers"
        show(f"{name}, median", rounds[GOSSIP_RUNS // 2], "")
        show(f"{name}, worst of {GOSSIP_RUNS}", rounds[-1], "")


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Measures idle processes on loopback: 2 routers with 5 to 80 agents, and 2 to
16 routers with 5 agents.

Usage: idle_processes.py [BUILD]

All agents share one engine, so that a fleet of 80 agents stays within a limit
of 120 processes. Prints a line of JSON per fleet: resident and private memory,
processor time as a percentage of one core, control traffic, and the number of
calls to the platform stand-in.
"""
import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request

FIRST_PORT = 27000
FLEETS = [(2, 5), (2, 10), (2, 20), (2, 40), (2, 80), (4, 5), (8, 5), (16, 5)]
SETTLE_SECONDS = 5
MEASURE_SECONDS = 6


def fetch(port, path):
    url = f"http://127.0.0.1:{port}{path}"
    with urllib.request.urlopen(url, timeout=2) as response:
        return json.load(response)


# Reads schedstat, which is exact; the times in /proc/PID/stat are sampled.
def processor_seconds(pid):
    total = 0
    for thread in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{thread}/schedstat") as stat:
            total += int(stat.read().split()[0])
    return total * 1e-9


def memory_kb(pid):
    values = {}
    with open(f"/proc/{pid}/smaps_rollup") as rollup:
        for line in rollup:
            words = line.split()
            if len(words) == 3:
                values[words[0]] = int(words[1])
    private = values["Private_Clean:"] + values["Private_Dirty:"]
    return values["Rss:"], private


def traffic(admin_port):
    control = fetch(admin_port, "/status")["control"]
    return control["bytes_sent"] + control["bytes_received"], (
        control["messages_sent"] + control["messages_received"])


def wait_for(check):
    for _ in range(150):
        try:
            if check():
                return
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.1)
    raise RuntimeError("the fleet did not become ready within 15 s")


def measure(programs, router_count, agents, work):
    children = []
    next_port = iter(range(FIRST_PORT, FIRST_PORT + 1000))
    log = open(os.path.join(work, "processes.log"), "a")

    def start(program, *arguments):
        child = subprocess.Popen([os.path.join(programs, program), *arguments],
                                 stdout=log, stderr=log)
        children.append(child)
        return child

    def address():
        return f"127.0.0.1:{next(next_port)}"

    def port_of(text):
        return int(text.rsplit(":", 1)[1])

    try:
        platform, engine = address(), address()
        start("TestTools/shallotbeam-platform-stand-in", "--listen", platform)
        start("TestTools/EngineStandIn/shallotbeam-engine-stand-in", "--listen",
              engine)
        routers, seeds = [], []
        for i in range(router_count):
            admin, control = address(), address()
            child = start("Shallotbeam/shallotbeam", "router", "--name",
                          f"router-{i}", "--data-centre", "dc1", "--listen",
                          address(), "--admin", admin, "--control", control,
                          "--platform", platform, "--hosts", platform, "--log",
                          "warning")
            routers.append((child, port_of(admin)))
            seeds += ["--router", control]
        members = []
        for i in range(agents):
            admin = address()
            child = start("ShallotbeamAgent/shallotbeam-agent", "--name",
                          f"agent-{i:02}", "--data-centre", "dc1", "--listen",
                          address(), "--admin", admin, "--control", address(),
                          "--pool", "assistant", "--upstream-name", f"u-{i:02}",
                          "--upstream", engine, "--log", "warning", *seeds)
            members.append((child, port_of(admin)))
        wait_for(lambda: fetch(port_of(platform), "/calls") is not None)
        subprocess.run([os.path.join(programs, "Shallotbeam/shallotbeam"),
                        "config", "publish", "examples/cocheiras", "--platform",
                        platform], check=True, stdout=log, stderr=log)
        for _, admin in routers:
            wait_for(lambda admin=admin: sum(
                a["alive"] for a in fetch(admin, "/status")["agents"]) == agents)
        time.sleep(SETTLE_SECONDS)

        def snapshot():
            calls = fetch(port_of(platform), "/calls")
            return time.monotonic(), calls, [
                (processor_seconds(child.pid), traffic(admin))
                for child, admin in routers + members[:5]]

        start_time, calls_before, before = snapshot()
        time.sleep(MEASURE_SECONDS)
        end_time, calls_after, after = snapshot()
        seconds = end_time - start_time
        row = {"routers": router_count, "agents": agents}
        for role, first, last in (("router", 0, router_count),
                                  ("agent", router_count, len(before))):
            count = last - first
            pids = [c.pid for c, _ in (routers + members[:5])[first:last]]
            memory = [memory_kb(pid) for pid in pids]
            row[role] = {
                "rss_kb": sum(m[0] for m in memory) / count,
                "private_kb": sum(m[1] for m in memory) / count,
                "core_percent": 100 / count / seconds * sum(
                    after[i][0] - before[i][0] for i in range(first, last)),
                "bytes_per_second": sum(
                    after[i][1][0] - before[i][1][0]
                    for i in range(first, last)) / count / seconds,
                "messages_per_second": sum(
                    after[i][1][1] - before[i][1][1]
                    for i in range(first, last)) / count / seconds}
        row["platform"] = {
            name: round((after_count - before_count) / seconds, 2)
            for name, before_count, after_count in (
                ("reads", calls_before["reads"], calls_after["reads"]),
                ("writes", calls_before["writes"], calls_after["writes"]),
                ("hosts", calls_before["paths"].get("/hosts", 0),
                 calls_after["paths"].get("/hosts", 0)))}
        print(json.dumps(row), flush=True)
    finally:
        for child in children:
            child.terminate()
        for child in children:
            try:
                child.wait(5)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()
        log.close()


def main():
    build = sys.argv[1] if len(sys.argv) > 1 else "build"
    with tempfile.TemporaryDirectory() as work:
        for routers, agents in FLEETS:
            measure(os.path.join(build, "Source"), routers, agents, work)


if __name__ == "__main__":
    main()

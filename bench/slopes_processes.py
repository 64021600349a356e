"""Measures the slopes for docs/CAPACITY.md that need real processes:

    python3 -B -m bench.slopes_processes BUILD

For 1, 2, 4 ... 48 members in one data centre: the time until a configuration
given to one member is in force on all, and each member's processor time when
idle, resident memory and bytes sent over peer links per second. Then the
resident memory of one instance by the number of callers' connections, each of
which was answered once and stays open. Prints points, linear fit and residual
as JSON lines.
"""
import json
import os
import signal
import socket
import sys
import time

from tests.system.cluster import Cluster, document, wait_for

MEMBERS = (1, 2, 4, 8, 16, 32, 48)
CHANGES = 3  # a point is the median spread time of this many changes
IDLE_S = 5
CONNECTIONS = (250, 500, 1000, 2000, 4000)


def fit(points):
    """Least squares: (slope, constant, root mean square residual)."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    each = sum((x - mean_x) * (y - mean_y) for x, y in points) / variance
    fixed = mean_y - each * mean_x
    squares = sum((y - fixed - each * x) ** 2 for x, y in points)
    return each, fixed, (squares / n) ** 0.5


def report(name, unit, points, per="member"):
    each, fixed, residual = fit(points)
    print(json.dumps({"slope": name, "unit": unit, "per": per,
                      "each": round(each, 4), "fixed": round(fixed, 4),
                      "residual": round(residual, 4), "points": points}),
          flush=True)


def cpu_s(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_kb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def versions(cluster):
    return [(i.status() or {}).get("config_version", 0)
            for i in cluster.instances]


def measure_spread(cluster, version):
    """Gives one member a version; seconds until it is in force on all."""
    first = cluster.instances[0]
    cluster.document = dict(cluster.document, version=version)
    path = os.path.join(cluster.folder, first.name + ".json")
    with open(path, "w", encoding="utf-8") as out:
        json.dump(first.settings(), out)
    begin = time.monotonic()
    first.process.signal(signal.SIGHUP)
    wait_for("the change everywhere",
             lambda: min(versions(cluster)) >= version)
    return time.monotonic() - begin


def measure(build, members):
    with Cluster(build) as cluster:
        workers = [{"name": f"w{i}", "address": f"127.0.0.1:{9000 + i % 1000}",
                    "data_centre": "a", "service": "quote", "slots": 8}
                   for i in range(283)]
        cluster.document = document(workers)
        for i in range(members):
            cluster.instance(f"entry-{i}", "a")
        cluster.start()
        time.sleep(1)
        pids = [i.process.popen.pid for i in cluster.instances]
        cpu = [cpu_s(pid) for pid in pids]
        sent = [i.metrics()["bergamot_peer_bytes_sent"]
                for i in cluster.instances]
        begin = time.monotonic()
        time.sleep(IDLE_S)
        took = time.monotonic() - begin
        cpu = [(cpu_s(pid) - c) / took for pid, c in zip(pids, cpu)]
        sent = [(i.metrics()["bergamot_peer_bytes_sent"] - s) / took
                for i, s in zip(cluster.instances, sent)]
        spreads = sorted(measure_spread(cluster, 2 + i)
                         for i in range(CHANGES))
        return (spreads[CHANGES // 2], sum(cpu) / members * 100,
                max(sent), max(resident_kb(pid) for pid in pids))


def connection_memory(build):
    """Points (connections, resident KB) of one instance."""
    points = []
    with Cluster(build, document([])) as cluster:
        instance = cluster.instance("entry-0", "a")
        cluster.start()
        callers = []
        for count in CONNECTIONS:
            while len(callers) < count:
                caller = socket.create_connection(
                    ("127.0.0.1", instance.callers))
                caller.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
                assert caller.recv(4096).startswith(b"HTTP/1.1")
                callers.append(caller)
            points.append((count, resident_kb(instance.process.popen.pid)))
        for caller in callers:
            caller.close()
    return points


def main():
    build = os.path.abspath(sys.argv[1])
    max_members = int(sys.argv[2]) if len(sys.argv) > 2 else MEMBERS[-1]
    rows = [(n, measure(build, n)) for n in MEMBERS if n <= max_members]
    for column, (name, unit) in enumerate((
            ("config_spread_time", "s"), ("idle_cpu", "% of a core"),
            ("peer_bytes_sent_per_s", "bytes"), ("resident_memory", "KB"))):
        report(name, unit, [(n, round(row[column], 4)) for n, row in rows])
    report("connection_memory", "KB", connection_memory(build), "connection")


if __name__ == "__main__":
    main()

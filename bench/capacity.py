"""Computes the figures of docs/CAPACITY.md from measured slopes:

    build/bench/bench_slopes > bench/data/slopes.jsonl
    python3 -B -m bench.slopes_processes build >> bench/data/slopes.jsonl
    python3 -B -m bench.capacity

The constants below hold the stated requirements and the current settings;
every printed figure is computed from them and the slopes.
"""
import json
import math
import os
import sys

DATA = os.path.join(os.path.dirname(__file__), "data", "slopes.jsonl")

# Stated requirements: the size of the system.
WORKERS = 1700
STARTS_PER_S = 160000
TASKS_OF_WIDE_JOB = 580
TEAMS = 150
DATA_CENTRES = 6
CHANGES_PER_DAY = 4600
REPLACED_PER_DAY = 270
FAILED_PER_DAY = 10
# Limits of one node's resources for control work.
CPU_BUDGET = 1.3  # % of a core
MEMORY_BUDGET_MB = 128
BYTES_BUDGET = 3000  # per second
SPREAD_BUDGET_S = 11
# Properties of the design, and settings.
WORKERS_PER_DISPATCHER = 100
WATCHERS_PER_DATA_CENTRE = 2
WATCH_WAIT_S = 60
HEARTBEAT_S = 1
# As in packages/core/node_links.c and node_drain.c. The first two apply
# without a full mesh: the heartbeat periods between two heartbeats to another
# data centre, and the members relayed in each of these.
REMOTE_PERIOD_BEATS = 2
LARGE_CLUSTER_RELAYS = 2
USAGE_REQUESTS_PER_S = 6
RECORD_TTL_S = 600
ANSWER_S = 60
DAY_S = 86400
# Assumptions: the requirements state only the size of the largest job.
TASKS_PER_JOB = 20
ANSWER_BYTES = 100  # per task
USAGE_REQUEST_BYTES = 250  # with its answer
RELAYED_MEMBER_BYTES = 60


def slopes():
    """Returns (each, fixed) by name of the slope."""
    found = {}
    with open(DATA, encoding="utf-8") as lines:
        for line in lines:
            row = json.loads(line)
            found[row["slope"]] = (row["each"], row["fixed"])
    return found


def at(slope, n):
    each, fixed = slope
    return each * n + fixed


def main():
    s = slopes()
    # CPU time of each thread per start, as printed by bench/speed.
    targets_us = float(sys.argv[1]) if len(sys.argv) > 1 else 39.7
    control_us = float(sys.argv[2]) if len(sys.argv) > 2 else 8.8
    callers_us = float(sys.argv[3]) if len(sys.argv) > 3 else 5.0
    workers = math.ceil(WORKERS / DATA_CENTRES)
    dispatchers = math.ceil(workers / WORKERS_PER_DISPATCHER)
    instances = dispatchers + 1
    starts = STARTS_PER_S / DATA_CENTRES
    own = starts / dispatchers
    jobs = own / TASKS_PER_JOB
    records = jobs * RECORD_TTL_S
    changes = CHANGES_PER_DAY / DAY_S
    document = at(s["document_size"], WORKERS)
    members = instances
    watchers = WATCHERS_PER_DATA_CENTRE * DATA_CENTRES
    answer_bytes = jobs * ANSWER_S * TASKS_PER_JOB * ANSWER_BYTES
    state_bytes = (at(s["worker_state"], WORKERS) +
                   s["team_state"][0] * TEAMS)
    change_us = at(s["config_change_time"], WORKERS)
    member_changes = (REPLACED_PER_DAY + FAILED_PER_DAY) * 2 / DAY_S
    rebuild_us = at(s["ownership_rebuild_time"], workers)
    idle = s["heartbeat_bytes_per_s"][0]
    busy = s["busy_heartbeat_bytes_per_s"][0]
    remote_links = 2 * (DATA_CENTRES - 1)

    def remote(local):
        """Bytes per second to a member of another data centre."""
        return (local + LARGE_CLUSTER_RELAYS * RELAYED_MEMBER_BYTES) / \
            REMOTE_PERIOD_BEATS

    rows = [
        ("a data centre", ""),
        ("workers", f"{workers}"),
        ("dispatchers (1 per 100 workers) and instances (one more)",
         f"{dispatchers} and {instances}; {instances * DATA_CENTRES} in all"),
        ("starts per second, and those of one dispatcher",
         f"{starts:.0f}, {own:.0f}"),
        ("jobs per second per dispatcher, at 20 tasks", f"{jobs:.0f}"),
        ("a dispatcher's traffic", ""),
        (f"targets' threads at {targets_us} us a start",
         f"{own * targets_us / 1e6:.2f} cores"),
        (f"control thread at {control_us} us a start",
         f"{own * control_us / 1e6:.2f} cores"),
        (f"callers' thread at {callers_us} us a start",
         f"{own * callers_us / 1e6:.2f} cores"),
        ("records of 10 min", f"{records:.0f}"),
        ("their state", f"{records * s['record_state'][0] / 1e6:.0f} MB"),
        ("whole answers of 60 s", f"{answer_bytes / 1e6:.0f} MB"),
        ("a node's control", ""),
        ("worker and team state",
         f"{state_bytes / 1e6:.1f} MB"),
        ("configuration document", f"{document / 1000:.0f} KB"),
        ("resident memory, idle",
         f"{at(s['resident_memory'], members) / 1000:.0f} MB"),
        ("idle processor time",
         f"{at(s['idle_cpu'], members):.2f} % of a core"),
        ("processor time of configuration changes",
         f"{changes * change_us / 1e4:.3f} % of a core"),
        ("processor time of member changes",
         f"{member_changes * rebuild_us / 1e4:.4f} % of a core"),
        ("heartbeats to one member, 150 teams idle and with moving demand",
         f"{idle:.0f} and {busy:.0f} bytes/s"),
        ("heartbeats to the data centre, idle and busy",
         f"{idle * (members - 1):.0f} and "
         f"{busy * (dispatchers - 1) + idle:.0f} bytes/s"),
        ("heartbeats on a delegate's links to other data centres, idle and "
         "busy",
         f"{remote_links * remote(idle):.0f} and "
         f"{remote_links * remote(busy):.0f} bytes/s"),
        ("usage requests, idle",
         f"{at(s['usage_questions_per_s'], 1):.1f} per second, "
         f"{USAGE_REQUESTS_PER_S * USAGE_REQUEST_BYTES} bytes/s"),
        ("documents as text, sent on to one other member",
         f"{changes * document:.0f} bytes/s"),
        ("documents compressed, sent on to one other member",
         f"{changes * at(s['offer_size'], WORKERS):.0f} bytes/s"),
        ("time until a change is everywhere in 48 members",
         f"{at(s['config_spread_time'], 48):.1f} s"),
        ("the platform", ""),
        ("writes of configuration", f"{changes:.3f} per second"),
        ("waiting watches",
         f"{watchers}"),
        ("reads by watches",
         f"{watchers * (changes + 1 / WATCH_WAIT_S):.2f} per second"),
        ("bytes read for changes",
         f"{watchers * changes * document / 1000:.0f} KB per second"),
    ]
    for name, value in rows:
        print(f"{name}: {value}" if value else f"\n{name}")


if __name__ == "__main__":
    main()

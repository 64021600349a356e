"""Compares policies on real processes with the same load traces:

    python3 -B -m bench.policy BUILD OUT.tsv --seeds 5 CASE...

Three data centres, each with 16 workers of 8 slots (speeds differ by up to 4x)
and two instances. Each case runs each of its policies with each seed, after a
warm-up, and adds a line to OUT.tsv; the medians over the seeds are printed.
The program fails when the records of callers and workers violate an invariant
(tests/system/history.py). --minutes limits the total time: no run begins after
it, and skipped runs are printed. Two of these programs at once use different
ports, but compete for processor time.
"""
import argparse
import collections
import csv
import json
import os
import statistics
import subprocess
import sys
import threading
import time

from tests.system.cluster import Cluster, document
from tests.system.history import History, Request, read_workers

DATA_CENTRES = ("a", "b", "c")
RACKS, RACK_WORKERS, SLOTS, SLOWEST = 2, 8, 8, 4
WORKERS = RACKS * RACK_WORKERS  # of a data centre
WARM_UP = ["--seconds", "3", "--load", "40", "--seed", "999"]

POLICIES = {
    "dispatcher": {},
    "dispatcher_fifo": {"placement": {"job_order": "fifo"}},
    "partition": {"placement": {"policy": "partition"}},
    "two_choices": {"placement": {"policy": "two_choices"}},
    "random": {"placement": {"policy": "random"}},
    "no_breaker": {"limits": {"breaker": False}},
    "no_spill": {"placement": {"spill": False}},
    "quota_even": {"limits": {"quota_shares": "even"}},
}
PLACEMENTS = ["dispatcher", "dispatcher_fifo", "partition", "two_choices",
              "random"]
# The users' workloads: many narrow quotes; scans of 3 answers or more, with
# longer tasks (case 1_medida, named so in data/policy.tsv).
QUOTES = ["--tasks-min", "1", "--tasks-max", "100", "--run-median", "100"]
SCANS = ["--tasks-min", "3", "--tasks-max", "60", "--run-median", "200"]


def even_weight(_instance):
    return 1


def skewed_weight(instance):
    return 0.6 if instance == 0 else 0.08


class Case:
    def __init__(self, load, policies=None, weight=even_weight, workers=(),
                 teams=None, during=None, failing=()):
        self.load = load
        self.policies = policies or PLACEMENTS
        self.weight = weight
        self.workers = list(workers)  # extra arguments for standin-worker
        self.teams = teams
        self.during = during  # (seconds, fault to inject into the cluster)
        self.failing = failing  # names of workers that fail all tasks


def kill(cluster, name, process):
    cluster.killed = name
    process.kill()


def is_dispatcher(instance):
    return (instance.status() or {}).get("dispatcher")


def kill_dispatcher(cluster):
    """Kills the first instance of data centre a with the dispatcher role."""
    for instance in cluster.instances[:2]:
        if is_dispatcher(instance):
            return kill(cluster, instance.name, instance.process)
    raise RuntimeError("no dispatcher to kill")


def kill_entry(cluster):
    """Kills the last instance of data centre a without the role, or the last
    one if all have the role."""
    others = [i for i in cluster.instances[:2] if not is_dispatcher(i)]
    instance = (others or cluster.instances[:2])[-1]
    kill(cluster, instance.name, instance.process)


def kill_rack(cluster):
    """Kills the first rack of data centre a."""
    kill(cluster, "a1-", cluster.processes[0])


KILL_S = 4
TEAMS = [{"name": f"t{i}", "tasks_per_s": 100, "burst": 200}
         for i in range(10)]
BURST_S = 2  # t0 has used up its burst after this time
TEN_TEAMS = ["--team=t0,10"] + [f"--team=t{i},0.9" for i in range(1, 10)]

CASES = {
    "1_half": Case(QUOTES + ["--load", "50"]),
    "1_high": Case(QUOTES + ["--load", "85"]),
    "1_medida": Case(SCANS + ["--load", "70"]),
    "2": Case(["--load", "8", "--tasks-max", "580", "--seconds", "14",
               "--burst-at", "3", "--burst-for", "5", "--burst-factor", "10",
               "--burst-share", "0.7", "--deadline", "4000"],
              ["dispatcher", "no_spill", "two_choices"]),
    # A load of 41% in total is 84% of the first data centre's slots.
    "3": Case(QUOTES + ["--load", "41"], weight=skewed_weight),
    "4": Case(QUOTES + ["--load", "50"],
              ["dispatcher", "no_breaker", "two_choices"],
              workers=["--failing", "5", "--straggler", "9"],
              failing=("a1-5", "b1-5", "c1-5")),
    **{name: Case(QUOTES + ["--load", "70", "--seconds", "10",
                            "--own-ids"],
                  ["dispatcher", "two_choices"], during=(KILL_S, fault))
       for name, fault in (("5_dispatcher", kill_dispatcher),
                          ("5_entry", kill_entry), ("5_rack", kill_rack))},
    "6": Case(QUOTES + ["--load", "70", "--declared-factor", "10",
                        "--never-fits", "0.02", "--resubmit", "0.2"],
              ["dispatcher", "two_choices"]),
    "7": Case(QUOTES + ["--load", "85", "--cancel-at", "3", "--cancel",
                        "50"], ["dispatcher", "two_choices"]),
    "8": Case(["--tasks-max", "20", "--run-median", "50", "--rate", "400",
               "--seconds", "12"] + TEN_TEAMS,
              ["dispatcher", "quota_even"], weight=skewed_weight, teams=TEAMS),
}


def start_cluster(cluster, case, policy):
    workers = []
    for dc in DATA_CENTRES:
        for rack in range(RACKS):
            _, found = cluster.workers(
                dc, RACK_WORKERS, SLOTS, name=f"{dc}{rack + 1}-", extra=[
                    "--first", rack * RACK_WORKERS, "--of", WORKERS,
                    "--slowest", SLOWEST, *case.workers])
            workers += found
    cluster.document = document(
        workers, teams=case.teams,
        services=[{"name": "quote", "deadline_ms": 20000, "max_tasks": 580}])
    for dc in DATA_CENTRES:
        for i in (1, 2):
            cluster.instance(f"{dc}{i}", dc, POLICIES[policy])
    cluster.start()


def load_command(cluster, case, arguments):
    command = [cluster.program("packages/ctl/bergamotctl"), "load", "--json"]
    for n, i in enumerate(cluster.instances):
        command += ["-i", f"127.0.0.1:{i.callers},{i.data_centre},"
                          f"{case.weight(n)}"]
        command += ["-m", f"127.0.0.1:{i.operators}"]
    for dc in DATA_CENTRES:
        command += ["-w", f"{dc},{WORKERS},{SLOTS},{SLOWEST}"]
    return command + arguments


def warm_up(cluster, case):
    arguments = list(WARM_UP)
    if case.teams:
        arguments += ["--team=t1,1"]
    subprocess.run(load_command(cluster, case, arguments), check=True,
                   stdout=subprocess.DEVNULL)


def measure(cluster, case, seed, jobs_file, requests_file):
    arguments = [*case.load, "--seed", str(seed), "-o", jobs_file,
                 "--requests", requests_file]
    if "--seconds" not in arguments:
        arguments += ["--seconds", "6"]
    timer = None
    if case.during:
        timer = threading.Timer(case.during[0], case.during[1], [cluster])
        timer.start()
    run = subprocess.run(load_command(cluster, case, arguments), check=True,
                         stdout=subprocess.PIPE)
    if timer:
        timer.join()
    return json.loads(run.stdout)


def read_requests(path):
    with open(path, encoding="utf-8") as lines:
        return [Request(**json.loads(line)) for line in lines]


def share_of_failing(starts, case, began_us):
    """Share of starts on failing workers, from 2 s after the beginning."""
    late = [s["worker"] for s in starts
            if s["wall_us"] > began_us + 2_000_000]
    return sum(w in case.failing for w in late) / max(1, len(late))


def read_jobs(path):
    with open(path, encoding="utf-8", newline="") as lines:
        return list(csv.DictReader(lines, delimiter="\t"))


def team_rates(jobs, seconds):
    """Completed tasks/s by team, relative to the quota of 100 tasks/s."""
    tasks = collections.Counter()
    for job in jobs:
        if job["outcome"] == "complete":
            tasks[job["team"]] += int(job["tasks"])
    return {team: n / seconds / 100 for team, n in tasks.items()}


def case_figures(name, case, jobs, starts, began_us):
    figures = {}
    if case.failing:
        figures["failing_share"] = share_of_failing(starts, case, began_us)
    if name == "2":
        figures.update(broadcast_figures(jobs))
    if case.during:
        figures["served_again_ms"] = served_again_ms(jobs, KILL_S * 1000)
    if case.teams:
        figures.update(quota_figures(jobs))
    return figures


def broadcast_figures(jobs):
    admitted = [j for j in jobs if j["outcome"] in ("complete", "failed")]
    missed = [j for j in admitted if j["outcome"] == "failed"]
    before = [j for j in admitted if 2000 <= float(j["at_ms"]) < 3000]
    return {"missed_of_admitted": len(missed) / max(1, len(admitted)),
            "missed_before": sum(j["outcome"] == "failed" for j in before)}


def served_again_ms(jobs, killed_ms):
    """Milliseconds from the kill to the last failed or unknown submission."""
    bad = [float(j["at_ms"]) for j in jobs
           if j["outcome"] in ("unknown", "no_answer", "failed")
           and float(j["at_ms"]) > killed_ms]
    return max(bad, default=killed_ms) - killed_ms


def read_timeline(cluster, name):
    with open(os.path.join(cluster.folder, name + ".timeline"),
              encoding="utf-8") as lines:
        for line in lines:
            if line.endswith("\n"):
                yield json.loads(line)


def failed_elsewhere(jobs, cluster):
    """Number of failed jobs with neither a task on, nor a record at, the
    killed instance or rack.

    A job's id begins with the incarnation of its owner.
    """
    names = [i.name for i in cluster.instances]
    if cluster.killed in names:
        lines = list(read_timeline(cluster, cluster.killed))
        owner = lines[0]["incarnation"]
        touched = {j["job"] for j in jobs if j["job"].startswith(owner)}
        # Tasks delegated by other instances.
        touched |= {e["job"] for e in lines if e["event"] == "task_start"}
    else:
        touched = {e["job"] for name in names
                   for e in read_timeline(cluster, name)
                   if e["event"] == "task_start" and
                   e["worker"].startswith(cluster.killed)}
    return sum(j["outcome"] not in ("complete", "not_run") and
               j["job"] not in touched for j in jobs)


def quota_figures(jobs):
    """Each team's completed tasks relative to its requested tasks, which its
    quota limits. The columns tenth_* are of t0, with 10 of 18.1 jobs."""
    seconds = 12  # length of case 8
    asked = collections.Counter()
    for job in jobs:
        asked[job["team"]] += int(job["tasks"])
    got = team_rates(jobs, seconds)
    late = [j for j in jobs if float(j["at_ms"]) >= BURST_S * 1000]
    loss = [1 - got.get(t, 0) / min(1, n / seconds / 100)
            for t, n in asked.items() if t != "t0"]
    return {"tenth_of_quota": got.get("t0", 0),
            "tenth_after_burst": team_rates(late, seconds - BURST_S)["t0"],
            "worst_loss": max(loss),
            "mean_loss": sum(loss) / len(loss)}


def flatten(report):
    row = {}
    for key, value in report.items():
        if not isinstance(value, dict):
            row[key] = value
        elif key == "outcomes":
            row[key] = ";".join(f"{k}={v}" for k, v in sorted(value.items()))
        else:
            row.update({f"{key}.{k}": v for k, v in value.items()})
    return row


def check_invariants(report, history):
    violations = history.violations()
    if violations:
        sys.exit("\n".join(violations[:20]))
    if report["resubmissions_mismatched"]:
        sys.exit("a resubmission got a different outcome")


def run_one(build, name, policy, seed):
    case = CASES[name]
    with Cluster(build) as cluster:
        start_cluster(cluster, case, policy)
        warm_up(cluster, case)
        began_us = time.time() * 1e6
        jobs_file = os.path.join(cluster.folder, "jobs.tsv")
        requests_file = os.path.join(cluster.folder, "requests.jsonl")
        report = measure(cluster, case, seed, jobs_file, requests_file)
        lines = read_workers(cluster.records)
        starts = [line for line in lines if line["event"] == "start"]
        check_invariants(report, History(read_requests(requests_file), lines))
        row = {"case": name, "policy": policy, **flatten(report),
               "load_average": round(os.getloadavg()[0], 1)}
        row.update(case_figures(name, case, read_jobs(jobs_file), starts,
                                began_us))
        if case.during:
            row["failed_elsewhere"] = failed_elsewhere(read_jobs(jobs_file),
                                                       cluster)
        return row


COLUMNS = ["case", "policy", "seed", "jobs", "starts", "on_time", "hops_ms",
           "response_over_ideal.mean", "response_over_ideal.p50",
           "response_over_ideal.p99", "response_over_ideal_all.mean",
           "bound_over_ideal.mean",
           "refusal_ms.p99", "send_lag_ms.p99",
           "messages_per_start.refused_starts",
           "messages_per_start.unknown_starts", "messages_per_start.forwards",
           "messages_per_start.delegations",
           "messages_per_start.delegated_results",
           "messages_per_start.heartbeats",
           "messages_per_start.resubmissions",
           "messages_per_start.late_answers", "failing_share",
           "missed_of_admitted", "missed_before", "served_again_ms",
           "failed_elsewhere",
           "tenth_of_quota", "tenth_after_burst", "worst_loss", "mean_loss",
           "load_average",
           "outcomes"]


def print_medians(rows):
    shown = [c for c in COLUMNS[4:-1] if any(c in r for r in rows)]
    for policy in dict.fromkeys(r["policy"] for r in rows):
        same = [r for r in rows if r["policy"] == policy]
        print(f"case {same[0]['case']}, {policy}, {len(same)} seeds, medians:")
        for column in shown:
            values = [r[column] for r in same if r.get(column) is not None]
            if values:
                print(f"  {column:38} {statistics.median(values):.4g}")
        print(f"  {same[-1]['outcomes']}", flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("out")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--policies")
    parser.add_argument("--minutes", type=float, default=0)
    parser.add_argument("cases", nargs="*", default=list(CASES))
    a = parser.parse_intermixed_args()
    is_new = not os.path.exists(a.out)
    if not is_new:
        with open(a.out, encoding="utf-8") as old:
            if old.readline().rstrip("\n").split("\t") != COLUMNS:
                sys.exit(f"{a.out} has different columns")
    end = time.monotonic() + a.minutes * 60 if a.minutes else None
    with open(a.out, "a", encoding="utf-8", newline="") as out:
        table = csv.DictWriter(out, COLUMNS, delimiter="\t", restval="",
                               extrasaction="ignore", lineterminator="\n")
        if is_new:
            table.writeheader()
        for name in a.cases:
            rows = []
            policies = (a.policies.split(",") if a.policies
                        else CASES[name].policies)
            for seed in range(1, a.seeds + 1):
                for policy in policies:
                    if end and time.monotonic() > end:
                        print(f"skipped: {name} {policy} seed {seed}")
                        continue
                    rows.append(run_one(os.path.abspath(a.build), name,
                                        policy, seed))
                    table.writerow(rows[-1])
                    out.flush()
            print_medians(rows)


if __name__ == "__main__":
    main()

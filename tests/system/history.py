"""Checks the system's invariants against the records of callers and workers.

The callers' record holds every request with its id, body, instance, times and
answer; the workers' record, written by the stand-ins, every start, end, stop
and refusal. Logs and metrics of bergamotd are not used. All times are wall
clock microseconds of the one machine that the tests run on.
"""
import dataclasses
import json
from collections import defaultdict

LEAVING_US = 3_000_000  # a leaving worker may get starts for this long
CONFIG_US = 11_000_000  # limit for a configuration to reach all instances
FINAL = ("complete", "failed", "not_run")


@dataclasses.dataclass
class Request:
    """One request of a caller and its answer or error."""
    op: str  # submit, fetch or cancel
    job: str  # the job's id; for a keyed submission, the id in the answer
    instance: str
    begin_us: int
    end_us: int
    body: dict = None  # the submitted job
    answer: dict = None  # None: no complete answer was received
    error: str = ""  # refused (connection), broken (cut off) or timeout
    key: str = ""

    @property
    def outcome(self):
        return self.answer.get("outcome", "") if self.answer else ""

    @property
    def reason(self):
        return self.answer.get("reason", "") if self.answer else ""


@dataclasses.dataclass
class Mark:
    """The period in which a worker was marked as leaving."""
    worker: str
    begin_us: int
    end_us: int = 1 << 62


@dataclasses.dataclass
class Stop:
    """A planned stop of an instance, from the signal to its exit."""
    instance: str
    begin_us: int
    end_us: int


@dataclasses.dataclass
class Version:
    """A configuration version that a member reported, or that was accepted
    (without a member)."""
    version: int
    at_us: int
    member: str = ""  # one incarnation of an instance


def read_workers(paths):
    """The workers' lines; skips a last line that a kill cut short."""
    lines = []
    for path in paths:
        with open(path, encoding="utf-8") as text:
            for line in text:
                if line.endswith("\n"):
                    lines.append(json.loads(line))
    return lines


class History:
    """One run's records. violations() lists each violation of an invariant as
    "row: text"; an empty list means that the history is accepted."""

    def __init__(self, requests, workers, marks=(), stops=(), polls=(),
                 accepted=()):
        self.requests = requests
        self.marks, self.stops = marks, stops
        self.polls, self.accepted = polls, accepted
        self.starts = defaultdict(list)  # task -> start lines
        self.ended = defaultdict(list)  # task -> workers that ended it
        self.started_jobs = set()
        for line in workers:
            if line["event"] == "start":
                self.starts[line["task"]].append(line)
                self.started_jobs.add(line["task"].rsplit("/", 1)[0])
            elif line["event"] == "end":
                self.ended[line["task"]].append(line["worker"])
        self.by_job = defaultdict(list)
        for request in requests:
            if request.answer and request.job:
                self.by_job[request.job].append(request)

    def violations(self):
        rows = (self.at_most_once, self.whole, self.partial, self.agree,
                self.not_run, self.keyed, self.leaving, self.stop,
                self.config)
        return [f"{row.__name__}: {text}" for row in rows for text in row()]

    def at_most_once(self):
        for task, lines in self.starts.items():
            if len(lines) > 1:
                where = [(x["worker"], x["token"]) for x in lines]
                yield f"{task} started {len(lines)} times: {where}"

    def bodies(self, job):
        return [r.body for r in self.requests
                if r.job == job and r.op == "submit" and r.body]

    def whole(self):
        """A complete answer has the result of each task of the caller's own
        request, in order."""
        for r in self.requests:
            if r.answer and r.op != "submit" and \
                    r.answer.get("job", r.job) != r.job:
                yield f"{r.op} of {r.job} answered {r.answer.get('job')}"
            if r.op == "submit" and not r.key and r.answer and \
                    r.answer.get("job", r.job) != r.job:
                yield f"submit of {r.job} answered {r.answer.get('job')}"
            if r.outcome != "complete" or "results" not in r.answer:
                continue
            wants = [[t["body"]["answer"] for t in body["tasks"]]
                     for body in ([r.body] if r.body else
                                  self.bodies(r.job))]
            results = r.answer["results"]
            got = [x.get("answer") if isinstance(x, dict) else x
                   for x in results]
            if wants and got not in wants:
                yield f"{r.job}: results {got}, expected {wants[0]}"
            for i, x in enumerate(results):
                task = f"{r.job}/{i}"
                if not isinstance(x, dict) or x.get("task") != task:
                    yield f"{task} has the result of another task: {x}"
                elif x.get("worker") not in self.ended[task]:
                    yield f"{task}: the worker in the answer never ended it"

    def partial(self):
        """An answer has results if and only if its outcome is complete."""
        for r in self.requests:
            has = bool(r.answer) and "results" in r.answer
            if has and r.outcome != "complete":
                yield f"{r.job}: {r.outcome} with results"
            if r.outcome == "complete" and not has and \
                    r.reason != "answer_dropped":
                yield f"{r.job}: complete without results"

    def agree(self):
        """All final answers to one id are the same."""
        for job, requests in self.by_job.items():
            seen = {}
            for r in requests:
                if r.outcome not in FINAL:
                    continue
                said = (r.outcome, r.answer.get("started"),
                        "" if r.outcome == "complete" else r.reason)
                results = r.answer.get("results")
                first = seen.setdefault("said", said)
                if said != first:
                    yield f"{job}: answered {first} and {said}"
                if results is not None and \
                        results != seen.setdefault("results", results):
                    yield f"{job}: two answers with different results"

    def not_run(self):
        """No task of a job starts, before or after, when an answer says that
        the job did not run, or when all answers to its submissions say that
        the attempt was not forwarded."""
        for job, requests in self.by_job.items():
            if job not in self.started_jobs:
                continue
            if any(r.outcome == "not_run" for r in requests):
                yield f"{job} was answered not_run, but was started"
        attempts = defaultdict(list)
        for r in self.requests:
            if r.op == "submit":
                attempts[r.job].append(bool(r.answer) and r.answer.get(
                    "this_attempt") == "not_forwarded")
        for job, nothing in attempts.items():
            if all(nothing) and job in self.started_jobs:
                yield f"{job}: all attempts not_forwarded, but was started"

    def keyed(self):
        """At most one job runs for an idempotency key."""
        ran = defaultdict(set)
        for r in self.requests:
            if r.key and r.job in self.started_jobs:
                ran[r.key].add(r.job)
        for key, jobs in ran.items():
            if len(jobs) > 1:
                yield f"key {key} ran as {sorted(jobs)}"

    def leaving(self):
        for mark in self.marks:
            for lines in self.starts.values():
                for x in lines:
                    late = x["wall_us"] - mark.begin_us
                    if x["worker"] == mark.worker and late > LEAVING_US \
                            and x["wall_us"] < mark.end_us:
                        yield (f"{mark.worker} got {x['task']} {late} us "
                               "after it was marked")

    def stop(self):
        """A planned stop cuts off no request that was open before the exit."""
        lost = ("owner_gone", "owner_unreachable", "stopping")
        for stop in self.stops:
            for r in self.requests:
                if r.end_us < stop.begin_us or r.begin_us > stop.end_us:
                    continue
                if r.instance == stop.instance and r.error == "broken":
                    yield f"{r.op} of {r.job} cut off at {r.instance}"
                if r.outcome in ("unknown", "failed") and r.reason in lost:
                    yield (f"{r.job}: {r.outcome} {r.reason} while "
                           f"{stop.instance} stopped")

    def config(self):
        highest = {}
        for poll in sorted(self.polls, key=lambda p: p.at_us):
            if poll.version < highest.get(poll.member, 0):
                yield (f"{poll.member} fell from {highest[poll.member]} to "
                       f"{poll.version}")
            highest[poll.member] = max(poll.version,
                                       highest.get(poll.member, 0))
        for accepted in self.accepted:
            for member in highest:
                late = [p for p in self.polls if p.member == member and
                        p.at_us > accepted.at_us + CONFIG_US]
                if any(p.version < accepted.version for p in late):
                    yield (f"{member} is not at version {accepted.version} "
                           "after 11 s")
            if not any(p.version >= accepted.version for p in self.polls):
                yield f"version {accepted.version} was never in force"

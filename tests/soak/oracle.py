"""Checks the invariants against the records of callers and workers."""
import json
import signal

from tests.soak.callers import DEADLINE_S, LATE_S
from tests.soak.site import GRACE_S

IDLE_S = 15.0  # idle limit of connections in the site's configuration
# A start counts as a repeat only this long after the end was acknowledged.
ACKNOWLEDGED_S = 1.0
# Before a process listens, it has no SIGTERM handler and no work to finish.
STARTUP_S = 1.0
RUNS_PER_LEADER = 16  # run numbers that each leader of a job may use
FENCE_INSTANCE_BITS = 11  # low bits of a fencing token: the instance


def _collect_runs(site):
    """All runs by task: (begin, end or None, run, how, worker, token)."""
    runs = {}
    for worker in site.workers:
        with worker.lock:
            worker.end_due_tasks()
            for task, run, begin, end, how in worker.history:
                runs.setdefault(task, []).append(
                    (begin, end, run, how, worker.name,
                     worker.fences.get((task, run), 0)))
            for task, (run, begin, _, _) in worker.running.items():
                runs.setdefault(task, []).append(
                    (begin, None, run, "runs", worker.name,
                     worker.fences.get((task, run), 0)))
    return runs


def _check_runs(site, runs):
    for worker in site.workers:
        for task in worker.duplicates:
            yield f"twice: {task} started while it ran on {worker.name}"
    for task, rows in runs.items():
        rows.sort()
        for before, after in zip(rows, rows[1:]):
            if before[1] is None or before[1] > after[0]:
                yield f"twice: runs of {task} overlap: {before}, {after}"


def _instance_of(token):
    return token % 2 ** FENCE_INSTANCE_BITS


def _check_job(site, job, runs):
    tasks = [f"{job.name}.0.0.{i}" for i in range(job.tasks)]
    started = [t for t in tasks if t in runs]
    if job.attempts and job.is_refused() and started:
        yield f"refused: {job.name} was refused, but {started} ran"
    # A job that was resent, or whose leader was lost with its state, may run
    # again from the start. Under one leader a task must not start after its
    # end was acknowledged. A paused leader that leads again, after another
    # leader acknowledged the end and was killed, does not know of the end
    # (seed 404): only the instance that acknowledged it is checked.
    for task in started if len(job.attempts) == 1 else []:
        acknowledged = site.acknowledged.get(task)
        done = [r[2] // RUNS_PER_LEADER for r in runs[task] if r[3] == "done"]
        for row in runs[task]:
            if acknowledged and row[0] > acknowledged[0] + ACKNOWLEDGED_S and \
                    _instance_of(row[5]) == _instance_of(acknowledged[1]) and \
                    done.count(row[2] // RUNS_PER_LEADER) > 1:
                yield (f"twice: {task} started after its end was "
                       f"acknowledged: {row}")
    if job.is_completed():
        for task in tasks:
            if not any(r[3] == "done" for r in runs.get(task, [])):
                yield f"partial: {job.name} completed without {task}"


def _check_attempt(job, attempt):
    instance = attempt.instance
    end = attempt.end
    if end is None or instance.was_disturbed(attempt.begin - 0.5, end):
        return
    if attempt.reason == "ConnectionRefusedError":
        return  # the instance does not listen: it accepted no request
    if instance.incarnation != attempt.incarnation and \
            instance.sigterm_at is None:
        # A planned stop ended the process while this attempt waited.
        if attempt.reason in ("ConnectionRefusedError",
                              "RemoteDisconnected", "ConnectionResetError",
                              "BrokenPipeError"):
            return
    if not attempt.whole:
        yield f"partial: {job.name}: an answer was cut off"
    if attempt.status is None and attempt.reason == "TimeoutError":
        yield (f"unanswered: {job.name} at {instance.name} for "
               f"{end - attempt.begin:.1f} s")
    if attempt.status is not None and \
            end - attempt.begin > DEADLINE_S + LATE_S:
        yield f"late: {job.name} after {end - attempt.begin:.1f} s"
    if attempt.reason == "BrokenPipeError" and attempt.idle_s >= IDLE_S:
        return  # closed at the idle limit, before the request was sent
    if attempt.status is None and attempt.reason != "TimeoutError" and \
            attempt.incarnation == instance.incarnation and \
            instance.sigterm_at is None:
        yield (f"cut off: {job.name} at {instance.name}: {attempt.reason}, "
               f"instance was neither stopped nor killed")
    if attempt.status is None and attempt.end - attempt.begin > 0.2 and \
            instance.sigterm_at is not None and \
            attempt.incarnation == instance.incarnation and \
            attempt.begin < instance.sigterm_at + GRACE_S / 2:
        yield (f"cut off: {job.name} at {instance.name} by a planned stop: "
               f"{attempt.reason}")


def _check_exits(instance):
    for incarnation, code, sigterm_s in instance.exits:
        if code == 0 and sigterm_s is None:
            yield (f"exit: {instance.name}, incarnation {incarnation}, exited "
                   f"without SIGTERM")
        if code == -signal.SIGTERM and sigterm_s is not None and \
                sigterm_s < STARTUP_S:
            continue
        if code not in (0, -signal.SIGKILL):
            yield (f"exit: {instance.name}, incarnation {incarnation}, exit "
                   f"code {code}")


def _check_log(instance):
    with open(instance.log_path, encoding="utf-8", errors="replace") as file:
        lines = file.read().split("\n")
    # Lines cut short by the end of a process are allowed.
    broken = 0
    for line in filter(None, lines):
        try:
            json.loads(line)
        except ValueError:
            broken += 1
        if "ERROR: AddressSanitizer" in line or "WARNING: Thread" in line:
            yield f"sanitizer: {instance.name}: {line}"
    if broken > len(instance.kill_times) + instance.incarnation:
        yield f"log: {instance.name} has {broken} lines that are not JSON"


def check(site, callers, prober):
    """The texts of all findings of a run."""
    runs = _collect_runs(site)
    findings = list(prober.findings)
    findings += _check_runs(site, runs)
    for caller in callers:
        for job in caller.jobs:
            findings += _check_job(site, job, runs)
            for attempt in job.attempts:
                findings += _check_attempt(job, attempt)
    for instance in site.instances:
        findings += _check_exits(instance)
        findings += _check_log(instance)
    return findings

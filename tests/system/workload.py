"""Concurrent callers that record their requests, and clusters under load.

Callers submit with ids, repeat at other instances while the job runs, fetch,
cancel and hang up at random. A LoadedCluster starts a cluster with callers; a
test injects faults, and the exit checks the history.
"""
import copy
import os
import random
import signal
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from tests.system.cluster import (Cluster, document, free_port_range,
                                  free_ports, job, wait_for)
from tests.system.history import (FINAL, History, Mark, Request, Stop,
                                  Version, read_workers)

DEADLINE_MS = 3000
CLIENT_S = 12  # longer than every timeout of bergamotd


def now_us():
    return time.time_ns() // 1000


class Callers:
    """Threads that submit jobs and record every request."""

    def __init__(self, instances, seed, callers=6, repeat=0.5, cancel=0.1,
                 hang_up=0.0, keyed=0.0, tasks=6, run_ms=60,
                 deadline_ms=DEADLINE_MS):
        self.instances = list(instances)
        self.random = random.Random(seed)
        self.repeat, self.cancel, self.hang_up = repeat, cancel, hang_up
        self.keyed, self.tasks, self.run_ms = keyed, tasks, run_ms
        self.deadline_ms = deadline_ms
        self.requests = []
        self.ending = threading.Event()
        self.pool = ThreadPoolExecutor(callers * 8)
        self.threads = [threading.Thread(target=self.call, args=(
            random.Random(f"{seed}/{i}"), f"{seed}-{i}"))
            for i in range(callers)]

    def start(self):
        for thread in self.threads:
            thread.start()
        return self

    def request(self, op, job_id, instance, body=None, key="",
                timeout=CLIENT_S):
        """Sends one request and records its answer or error."""
        r = Request(op, job_id, instance.name, now_us(), 0, body, key=key)
        method = {"submit": "PUT", "fetch": "GET", "cancel": "DELETE"}[op]
        path, headers = "/v1/jobs/" + job_id, {}
        if key:
            method, path = "POST", "/v1/jobs"
            headers = {"Idempotency-Key": key}
        try:
            _, answer, _ = instance.request(method, path, body, headers,
                                            timeout=timeout)
            r.answer = answer if isinstance(answer, dict) else None
            r.job = job_id or answer.get("job", "")
        except ConnectionRefusedError:
            r.error = "refused"
        except TimeoutError:
            r.error = "timeout"
        except (OSError, ValueError):
            r.error = "broken"
        r.end_us = now_us()
        self.requests.append(r)
        return r

    def fresh_id(self, instance):
        try:
            ids = instance.request("POST", "/v1/job-ids?count=1",
                                   timeout=2)[1].get("ids")
            return ids[0] if ids else None
        except (OSError, ValueError, AttributeError):
            return None

    def one_job(self, rnd, key):
        entry = rnd.choice(self.instances)
        job_id = "" if key else self.fresh_id(entry)
        if job_id is None:
            time.sleep(0.02)
            return
        body = job(rnd.randint(1, self.tasks), rnd.randint(1, self.run_ms),
                   deadline_ms=self.deadline_ms)
        if not key and rnd.random() < self.hang_up:
            self.request("submit", job_id, entry, body, timeout=0.01)
            entry = rnd.choice(self.instances)
        calls = [self.pool.submit(self.request, "submit", job_id, entry,
                                  body, key)]
        for other in self.instances:
            if rnd.random() < self.repeat:
                time.sleep(rnd.random() * 0.02)
                calls.append(self.pool.submit(
                    self.request, "submit", job_id, other, body, key))
        if job_id and rnd.random() < self.cancel:
            time.sleep(rnd.random() * 0.06)
            calls.append(self.pool.submit(self.request, "cancel", job_id,
                                          rnd.choice(self.instances)))
        outcomes = [c.result().outcome for c in calls]
        if job_id and not any(o in FINAL for o in outcomes):
            self.request("submit", job_id, rnd.choice(self.instances), body)

    def call(self, rnd, name):
        number = 0
        while not self.ending.is_set():
            number += 1
            key = f"{name}-{number}" if rnd.random() < self.keyed else ""
            self.one_job(rnd, key)

    def complete(self, since_us=0, instances=None):
        """The number of complete answers to submissions begun since a time."""
        return sum(r.outcome == "complete" and r.begin_us >= since_us and
                   r.op == "submit" and
                   (not instances or r.instance in instances)
                   for r in list(self.requests))

    def wait_complete(self, count, instances=None):
        """Waits for a number of further complete answers."""
        since = now_us()
        wait_for(f"{count} complete jobs", lambda: self.complete(
            since, instances) >= count)

    def end(self):
        """Ends the callers. After the last deadline, fetches jobs without a
        final answer at every instance."""
        self.ending.set()
        for thread in self.threads:
            thread.join()
        time.sleep(DEADLINE_MS / 1000 + 0.5)  # repeats end in this time
        final = {r.job for r in self.requests if r.outcome in FINAL}
        submitted = {r.job for r in self.requests if r.job and not r.key}
        for job_id in sorted(submitted - final)[:40]:
            for instance in self.instances:
                self.pool.submit(self.request, "fetch", job_id, instance)
        self.pool.shutdown()


class LoadedCluster(Cluster):
    """A cluster under load from callers; the exit checks the history."""

    def __init__(self, build, test, seed, racks=(("a", 2), ("b", 2)),
                 instances=("a1", "a2", "b1", "b2"), extra=None,
                 linked=False, platform=False, **callers):
        super().__init__(build)
        self.with_platform = platform
        self.linked = linked
        self.test, self.seed = test, seed
        self.racks, self.names, self.extra = racks, instances, extra or {}
        self.options = callers
        self.marks, self.stops, self.polls, self.accepted = [], [], [], []
        self.processes_of = {}

    def __enter__(self):
        try:
            self.set_up()
        except BaseException:
            super().__exit__(AssertionError, None, None)
            raise
        self.callers = Callers(self.instances, self.seed,
                               **self.options).start()
        self.callers.wait_complete(20)
        return self

    def set_up(self):
        entries = []
        for name, count in self.racks:
            process, workers = self.workers(name[0], count, name=name)
            self.processes_of[name] = process
            entries += workers
        for name in self.names:
            self.instance(name, name[0], dict(self.extra))
        if self.linked:
            self.put_links(entries)
        self.document = self.document or document(entries)
        if self.with_platform:
            self.start_platform()
        self.start()

    def put_links(self, entries):
        """Puts a relay before each instance's peer port and each worker."""
        routes = []
        self.rules = os.path.join(self.folder, "rules")
        for i in self.instances:
            i.advertised_port = free_ports(1)[0]
            routes.append((i.advertised_port, f"127.0.0.1:{i.peers}", i.name))
        first = free_port_range(len(entries))
        for number, entry in enumerate(entries):
            routes.append((first + number, entry["address"],
                           "worker-" + entry["name"]))
            entry["address"] = f"127.0.0.1:{first + number}"
        with open(self.rules, "w", encoding="utf-8"):
            pass
        arguments = ["--rules", self.rules]
        for port, target, name in routes:
            arguments += ["--route", f"127.0.0.1:{port}={target}={name}"]
        self.link = self.standin("standin-link", "link", arguments)

    def set_links(self, *rules):
        """Applies rules such as "cut a* b1 0"; no rules: all links work."""
        with open(self.rules, "w", encoding="utf-8") as out:
            out.writelines(rule + "\n" for rule in rules)
        self.link.signal(signal.SIGHUP)
        assert self.link.popen.stdout.readline().startswith(b"ready")

    def __exit__(self, kind, value, trace):
        try:
            self.callers.end()
            self.check_history()  # also after a wait has timed out
        except BaseException:
            super().__exit__(AssertionError, value, trace)
            raise
        return super().__exit__(kind, value, trace)

    def check_history(self):
        history = History(self.callers.requests, read_workers(self.records),
                          self.marks, self.stops, self.polls, self.accepted)
        outcomes = Counter(f"{r.outcome or r.error} {r.reason}".strip()
                           for r in history.requests)
        print(f"[{dict(outcomes)}, {len(history.starts)} tasks started]",
              end=" ", flush=True)
        self.test.assertEqual(history.violations(), [])

    def dispatcher(self, data_centre="a", but=None):
        """A running instance, other than but, that reports the dispatcher
        role."""
        def find():
            for i in self.instances:
                if i.data_centre == data_centre and i is not but and \
                        i.process.popen.poll() is None and \
                        (i.status() or {}).get("dispatcher"):
                    return i
            return None
        return wait_for("a dispatcher", find)

    def restart_rack(self, name):
        old = self.processes_of[name].popen.args
        process = self.standin("standin-worker", f"workers-{name}", old[1:])
        self.processes_of[name] = process

    def accept(self, version):
        """Records a version that must be in force within 11 s from now."""
        self.accepted.append(Version(version, now_us()))

    def reconfigure(self, instance, change, mark=None):
        """Gives one instance the next version; mark names a worker that must
        get no new work. Instances that restart read the old document."""
        changed = copy.deepcopy(self.document)
        changed["version"] += 1
        change(changed)
        old, self.document = self.document, changed
        instance.write_settings()
        self.document = old
        instance.process.signal(signal.SIGHUP)
        wait_for("the new version", lambda: (instance.status() or {}).get(
            "config_version") == changed["version"])
        if mark:
            self.marks.append(Mark(mark, now_us()))

    def poll(self):
        """Records the configuration version in force at each instance."""
        for i in self.instances:
            status = i.status()
            if status:
                self.polls.append(Version(
                    status["config_version"], now_us(),
                    f"{i.name}/{i.process.popen.pid}"))

    def stop(self, instance):
        """Stops an instance gracefully and records the stop."""
        begin = now_us()
        code = instance.process.stop()
        self.stops.append(Stop(instance.name, begin, now_us()))
        self.test.assertEqual(code, 0)

    def freeze(self, instance, seconds=5):
        """Freezes an instance, by default longer than every timeout."""
        instance.process.freeze()
        time.sleep(seconds)
        instance.process.thaw()

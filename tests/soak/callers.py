"""Callers of a soak: they reuse connections and resend unanswered jobs."""
import http.client
import json
import random
import threading
import time

from tests.soak.site import HOST

DEADLINE_S = 4.0
RESEND_S = 1.3  # like the platform's clients
ATTEMPTS = 3
# An instance answers within 0.1 s after the deadline; the rest allows for a
# busy machine.
LATE_S = 2.5


class Attempt:
    def __init__(self, instance):
        self.instance = instance
        self.idle_s = 0.0  # of its connection, before the request
        self.incarnation = instance.incarnation
        self.begin = time.monotonic()
        self.end = None
        self.status = None  # None: connection failed, or no answer
        self.reason = ""
        self.whole = True


class Job:
    def __init__(self, name, tasks):
        self.name = name
        self.tasks = tasks
        self.attempts = []

    def is_refused(self):
        return all(a.status == 503 for a in self.attempts)

    def is_completed(self):
        return any(a.status == 200 and "completed" in a.reason
                   for a in self.attempts)


class Caller(threading.Thread):
    """Sends one job after another to random instances."""

    def __init__(self, site, seed, first_id, pause_s):
        super().__init__(daemon=True)
        self.site = site
        self.rng = random.Random(seed)
        self.next_id = first_id
        self.pause_s = pause_s
        self.jobs = []
        self.connections = {}
        self.used_at = {}  # end of the last request, by connection
        self.stop = threading.Event()

    def connect(self, instance):
        """The open connection to this incarnation, or a new one."""
        key = (instance.name, instance.incarnation)
        if key not in self.connections:
            self.connections[key] = http.client.HTTPConnection(
                "127.0.0.1", instance.callers, timeout=DEADLINE_S + LATE_S)
        return key, self.connections[key]

    def attempt(self, job, instance):
        attempt = Attempt(instance)
        job.attempts.append(attempt)
        body = json.dumps({
            "spec": str(self.rng.choice([40, 80, 200, 500])),
            "best_effort": True,
            "steps": [{"count": job.tasks, "cpu": 4000, "mem_mb": 64,
                       "estimate_ms": 150}]})
        key, connection = self.connect(instance)
        attempt.idle_s = attempt.begin - self.used_at.get(key, attempt.begin)
        try:
            connection.request("POST", f"/q/{job.name}", body, {
                "Host": HOST, "X-Bergamotpass-Deadline-Ms":
                    str(int(DEADLINE_S * 1000))})
            answer = connection.getresponse()
            attempt.reason = answer.read().decode()
            attempt.status = answer.status
        except (http.client.IncompleteRead, json.JSONDecodeError):
            attempt.whole = False
        except (OSError, http.client.HTTPException) as failure:
            attempt.reason = type(failure).__name__
        if attempt.status is None:
            connection.close()
            self.connections.pop(key)
        attempt.end = time.monotonic()
        self.used_at[key] = attempt.end
        return attempt

    def run(self):
        while not self.stop.is_set():
            job = Job(f"{self.next_id:016x}", self.rng.choice([1, 2, 4]))
            self.next_id += 1
            self.jobs.append(job)
            for _ in range(ATTEMPTS):
                attempt = self.attempt(job, self.rng.choice(
                    self.site.instances))
                if attempt.status in (200, 400, 404, 503):
                    break
                self.stop.wait(RESEND_S)
            self.stop.wait(self.rng.uniform(0, 2 * self.pause_s))


class Prober(threading.Thread):
    """Polls each instance for the configuration version in force."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site = site
        self.stop = threading.Event()
        self.seen = {}  # version by (instance, incarnation)
        self.findings = []

    def version_of(self, instance):
        for version in range(self.site.version - 1, 0, -1):
            if instance.call("GET", f"/v{version}/", timeout=3)[0] == 200:
                return version
        return 0

    def probe(self, instance):
        key = (instance.name, instance.incarnation)
        try:
            version = self.version_of(instance)
        except (OSError, http.client.HTTPException):
            return
        if version < self.seen.get(key, 0) and key[1] == instance.incarnation:
            # The newest version may have changed between two requests.
            version = max(version, self.version_of(instance))
        if version < self.seen.get(key, 0) and key[1] == instance.incarnation:
            self.findings.append(
                f"config: {key} has version {version} after "
                f"{self.seen[key]}")
        self.seen[key] = max(version, self.seen.get(key, 0))

    def run(self):
        while not self.stop.wait(0.3):
            for instance in self.site.instances:
                self.probe(instance)

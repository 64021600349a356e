"""Stand-ins for a platform with leased workers: its store and its workers.

Both implement the published protocol over HTTP, in threads of the test's
process. Workers record every run, so that a test can check runs and their
order.
"""
import base64
import itertools
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_arguments):
        pass

    def reply(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def hang_up_late(self):
        """Sends no answer, and closes the connection after 1.5 s."""
        time.sleep(1.5)
        self.close_connection = True

    def body(self):
        length = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(length) or b"{}")

    def handle_any(self):
        try:
            self.server.owner.handle(self)
        except (BrokenPipeError, ConnectionResetError):
            self.close_connection = True

    do_GET = do_POST = do_DELETE = handle_any


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


class Server:
    def __init__(self, port):
        self.address = f"127.0.0.1:{port}"
        self.http = QuietServer(("127.0.0.1", port), Handler)
        self.http.owner = self
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def close(self):
        self.http.shutdown()
        self.http.server_close()


class Store(Server):
    """Keys with revisions, watches, transactions and leases.

    fault: None, "busy" (answers 503), "silent" (no answer), "slow" (answers
    1 s late), "lost" (carries writes out without an answer) or "forgetful"
    (answers watches with 410).
    late: seconds, by prefix of keys. The next write of such a key gets no
    answer and is carried out that much later.
    """

    def __init__(self, port):
        self.lock = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 1
        self.down = False
        self.fault = None
        self.max_events = 300  # in one answer to a watch
        self.watches = {}  # number of watches, by prefix
        self.late = {}
        self.leases = {}  # [ttl in s, end], by id
        self.lease_ids = itertools.count(7)
        super().__init__(port)

    def put(self, key, value, lease=0):
        if isinstance(value, str):
            value = value.encode()
        with self.lock:
            self.revision += 1
            item = {"key": key, "rev": self.revision, "lease": lease,
                    "create_rev": self.revision, "value":
                    base64.b64encode(value).decode()}
            self.items[key] = item
            self.events.append(item)
            self.lock.notify_all()
            return self.revision

    def hold_back(self, key, write):
        """Returns true if the write of the key is carried out late."""
        for prefix in self.late:
            if key.startswith(prefix):
                threading.Timer(self.late.pop(prefix), write).start()
                return True
        return False

    def delete(self, key):
        with self.lock:
            self.revision += 1
            self.items.pop(key, None)
            self.events.append({"key": key, "rev": self.revision,
                                "deleted": True})
            self.lock.notify_all()

    def create_lease(self, ttl_ms):
        lease = next(self.lease_ids)
        self.leases[lease] = [ttl_ms / 1000, time.monotonic() + ttl_ms / 1000]
        self.end_lapsed(lease)
        return lease

    def end_lapsed(self, lease):
        """Ends a lease once its time has passed."""
        if lease not in self.leases:
            return
        left = self.leases[lease][1] - time.monotonic()
        if left <= 0:
            self.end_lease(lease)
            return
        timer = threading.Timer(left, self.end_lapsed, (lease,))
        timer.daemon = True
        timer.start()

    def end_lease(self, lease):
        """Ends a lease, and removes its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, i in list(self.items.items())
                    if i["lease"] == lease]:
            self.delete(key)

    def renew_lease(self, lease):
        held = self.leases.get(lease)
        if not held:
            return 404, {}
        held[1] = time.monotonic() + held[0]
        return 200, {"ttl_ms": int(held[0] * 1000)}

    def transact(self, body):
        if any(w.get("lease") and w["lease"] not in self.leases
               for w in body["writes"]):
            return 404, {}
        for write in body["writes"]:
            self.put(write["key"], base64.b64decode(write["value"]),
                     write.get("lease", 0))
        return 200, {"rev": self.revision}

    def handle(self, request):
        url = urlparse(request.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        body = request.body()
        fault = self.fault
        if fault == "silent":
            request.hang_up_late()
            return
        if fault == "slow":
            time.sleep(1)
        if self.down or fault == "busy":
            request.reply(503, {})
        elif url.path == "/-/kv-range":
            with self.lock:
                items = [i for k, i in sorted(self.items.items())
                         if k.startswith(query["prefix"])]
                request.reply(200, {"items": items, "has_more": False,
                                    "current_rev": self.revision})
        elif url.path == "/-/kv-watch" and fault == "forgetful":
            request.reply(410, {})
        elif url.path == "/-/kv-watch":
            self.watch(request, query)
        elif url.path == "/-/kv-txn":
            if self.hold_back(body["writes"][0]["key"],
                              lambda: self.transact(body)):
                request.hang_up_late()
                return
            answer = self.transact(body)
            if fault == "lost":
                request.hang_up_late()
                return
            request.reply(*answer)
        elif url.path == "/-/kv-lease":
            request.reply(200, {"lease": self.create_lease(body["ttl_ms"]),
                                "ttl_ms": body["ttl_ms"]})
        elif url.path.startswith("/-/kv-keep/"):
            request.reply(*self.renew_lease(int(url.path.split("/")[-1])))
        else:
            self.end_lease(int(url.path.split("/")[-1]))
            request.reply(200, {})

    def watch(self, request, query):
        prefix = query["prefix"]
        self.watches[prefix] = self.watches.get(prefix, 0) + 1
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000

        def found():
            return [e for e in self.events if e["rev"] > after and
                    e["key"].startswith(query["prefix"])]

        with self.lock:
            while not found() and time.monotonic() < end:
                self.lock.wait(max(0, end - time.monotonic()))
            events, revision = found(), self.revision
        if len(events) > self.max_events:
            events = events[:self.max_events]
            revision = events[-1]["rev"]
        request.reply(200, {"events": events, "current_rev": revision})


FIRST_CLOCK_S = 0.001  # of a worker's process; 0 ms would count as unknown


class Worker(Server):
    """Runs each task for the milliseconds in its spec, under a lease.

    fault: None, "refuse" (answers 503), "late" (carries orders out later,
    without an answer), "lost" (carries orders out without an answer), "hang"
    or "fail" (tasks started during the fault run for 60 s, or fail).
    deadly: ids of jobs whose tasks crash the worker CRASH_S after their start;
    it is back down_s later.
    full_answers: answers to starts and stops, and refusals, tell the start time
    of the process, too, as lists of runs do.
    """

    CRASH_S = 0.03

    def __init__(self, port, name, store, speed=1.0, address=None,
                 acknowledged=None):
        self.lock = threading.Condition()
        self.name = name
        self.speed = speed
        self.store = store
        self.history = []  # (task, run, begin, end, how), monotonic seconds
        # Tasks that ended as done and whose end a leader acknowledged: time
        # of the first acknowledgement, the leader's fencing token.
        self.acknowledged = {} if acknowledged is None else acknowledged
        self.fences = {}  # fencing tokens of starts, by task and run
        self.duplicates = []  # tasks started while an earlier run was running
        self.refuse = False  # answers 503 like an unhealthy worker
        self.full_answers = False
        self.fault = None
        self.deadly = frozenset()
        self.down_s = 0.3
        self.down = False
        self.crashes = []  # tasks that crashed the worker, with repetitions
        self.reset_state()
        super().__init__(port)
        self.address = address or self.address
        self.register(store, "ready")

    def reset_state(self):
        self.born = int(time.time() * 1000)
        self.clock_begin = time.monotonic() - FIRST_CLOCK_S
        self.fence = 0
        self.lease = 0.0
        self.running = {}  # task: (run, begin, end, how)
        self.highest = {}  # highest run number, by task
        self.ended = []  # unacknowledged ends: [number, task, run, how, ""]
        self.ends = 0  # number of the last end
        self.seq = 0  # number of the last report

    def crash(self):
        """Ends all running tasks and restarts the worker without its state."""
        with self.lock:
            self.end_due_tasks()
            now = time.monotonic()
            for task, (run, begin, _, _) in self.running.items():
                self.history.append((task, run, begin, now, "crashed"))
            self.reset_state()
            self.lock.notify_all()

    def crash_under(self, task):
        """Crashes if the task still runs; answers nothing for down_s."""
        if self.down or task not in self.running:
            return
        self.crashes.append(task)
        self.down = True
        self.crash()
        threading.Timer(self.down_s, self.come_back).start()

    def come_back(self):
        self.born = int(time.time() * 1000)
        self.down = False
        self.register(self.store, "ready")

    def register(self, store, state, cpu=16000):
        self.seq += 1
        key, value = "servers/" + self.name, json.dumps({
            "service": "svc", "addr": self.address, "zone": "dc-1",
            "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
            "capacity": {"cpu": cpu, "mem_mb": 32768, "gpu": 0},
            "labels": ["a", "r1-1"], "clock_ms": self.clock_ms(),
            "seq": self.seq, "born": self.born})
        if not store.hold_back(key, lambda: store.put(key, value)):
            store.put(key, value)

    def clock_ms(self):
        return int((time.monotonic() - self.clock_begin) * 1000)

    def end(self, task, how, at=None):
        run, begin, _, _ = self.running.pop(task)
        self.ends += 1
        self.ended.append([self.ends, task, run, how, ""])
        self.history.append((task, run, begin, at or time.monotonic(), how))
        self.lock.notify_all()

    def end_due_tasks(self):
        """Ends tasks that finished or whose lease lapsed, as of that time."""
        now = time.monotonic()
        lapse = self.clock_begin + self.lease / 1000
        for task, (_, _, end, how) in list(self.running.items()):
            if now >= end and end <= lapse:
                self.end(task, how, end)
            elif now > lapse:
                self.end(task, "lapsed", lapse)

    def handle(self, request):
        body = request.body()
        fault = self.fault
        born = self.born
        if self.down:
            request.close_connection = True
            return
        if fault == "late" and request.path != "/-/hold":
            threading.Timer(1.0 + len(self.history) % 3, self.execute_order,
                            (request.path, body)).start()
            request.hang_up_late()
            return
        if self.refuse or fault == "refuse":
            answer = {"clock_ms": self.clock_ms()}
            if self.full_answers:
                answer["born"] = self.born
            request.reply(503, answer)
            return
        if request.path == "/-/hold":
            status, answer = self.hold(body)
        else:
            status, answer = self.execute_order(request.path, body)
        if fault == "lost" and request.path != "/-/hold":
            request.hang_up_late()
            return
        if self.down or self.born != born:
            request.close_connection = True  # it crashed meanwhile
            return
        if self.full_answers or "running" in answer:
            answer["born"] = self.born
        request.reply(status, answer)

    def refusal(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def accept_fence(self, body):
        """Adopts the fencing token and extends the lease; false when the token
        is lower than the current one."""
        self.end_due_tasks()
        if body.get("fence", 0) < self.fence:
            return False
        self.fence = body.get("fence", 0)
        lease = min(body.get("deadline_ms", 0), self.clock_ms() + 1000)
        self.lease = max(self.lease, lease)
        return True

    def execute_order(self, path, body):
        with self.lock:
            if not self.accept_fence(body):
                return self.refusal("fence")
            return (self.start if path == "/-/run-start" else
                    self.stop)(body["task"], body["run"], body)

    def start(self, task, run, body):
        if body["deadline_ms"] <= self.clock_ms():
            return self.refusal("late")
        held = self.running.get(task)
        if held and held[0] < run:
            self.duplicates.append(task)
        if self.highest.get(task, 0) >= run and not (held and
                                                     held[0] == run):
            return self.refusal("old")
        if not held:
            now = time.monotonic()
            self.highest[task] = run
            self.fences[task, run] = body["fence"]
            run_s = float(body.get("spec") or "50") / 1000 / self.speed
            how = "failed" if self.fault == "fail" else "done"
            if self.fault == "hang":
                run_s = 60.0
            self.running[task] = (run, now, now + run_s, how)
            if task.split(".")[0] in self.deadly:
                threading.Timer(self.CRASH_S, self.crash_under,
                                (task,)).start()
        return 200, {"clock_ms": self.clock_ms()}

    def stop(self, task, run, _body):
        self.highest[task] = max(self.highest.get(task, 0), run)
        if task in self.running and self.running[task][0] <= run:
            self.end(task, "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    def hold(self, body):
        with self.lock:
            if not self.accept_fence(body):
                return self.refusal("fence")
            for row in self.ended:
                if row[0] <= body["seen_upto"] and row[3] == "done":
                    self.acknowledged.setdefault(
                        row[1], (time.monotonic(), body["fence"]))
            self.ended = [e for e in self.ended if e[0] > body["seen_upto"]]
            end = time.monotonic() + body.get("wait_ms", 0) / 1000
            while not self.ended and time.monotonic() < end:
                self.lock.wait(0.005)
                self.end_due_tasks()
            return 200, {
                "clock_ms": self.clock_ms(), "ended": list(self.ended),
                "running": [[t, r[0], "", 1]
                            for t, r in self.running.items()]}


def config(version, prefixes=("/q/",)):
    """A configuration document with a queue for each prefix."""
    return json.dumps({
        "version": version,
        "routes": [{"name": p, "host": "h.example", "prefix": p,
                    "kind": "non_idempotent", "timeout_ms": 5000,
                    "slo_ms": 60, "priority": 0, "service": "svc",
                    "attempts": 2, "stretch": 1.6} for p in prefixes],
        "services": [{"name": "svc", "health_path": "/health",
                      "max_conns": 64, "protocol": "h1", "tls": False,
                      "admission_check": True, "spare": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

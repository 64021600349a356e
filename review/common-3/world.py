"""A small deployment on loopback: a store, workers, clients, bergamotd.

The store and the workers implement PROTOCOL.md in threads of the script's
process. bergamotd runs as separate processes with the command of the deploy
file, and with settings rendered from deploy/settings.json.
"""
import base64
import http.client
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/packages/daemon/bergamotd")
HOLD_MAX_S = 1.0
HISTORY_S = 20  # platform.history_s
PAGE_BYTES = 1 << 20  # of a list, or one item
PAGE_ITEMS = 500
STOP_MS = 50
HEARTBEAT_S = 1.5
STEADY_S = 0.001  # a worker's clock just after its start

RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2


class Record:
    """record.txt: what was sent, answered and run, with the time in s."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_arguments):
        pass

    def setup(self):
        super().setup()
        self.server.owner.connections.add(self.connection)

    def finish(self):
        self.server.owner.connections.discard(self.connection)
        try:
            super().finish()
        except OSError:
            pass

    def reply(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def read_body(self):
        length = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(length) or b"{}")

    def handle_any(self):
        try:
            self.server.owner.handle(self)
        except (OSError, ValueError):
            self.close_connection = True

    do_GET = do_POST = do_DELETE = handle_any


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], (OSError, ValueError)):
            super().handle_error(request, client_address)


class Server:
    def __init__(self, ip):
        self.ip = ip
        self.port = 0
        self.connections = set()
        self.http = None
        self.listen()

    def listen(self):
        self.http = QuietServer((self.ip, self.port), Handler)
        self.http.owner = self
        self.port = self.http.server_address[1]
        self.address = f"{self.ip}:{self.port}"
        threading.Thread(target=self.http.serve_forever, args=(0.02,),
                         daemon=True).start()

    def close(self):
        """Ends the process: nobody listens, all connections are reset."""
        self.http.shutdown()
        self.http.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store(Server):
    """The platform's metadata store.

    fault: None, "silent" (no answer, nothing is done) or "busy" (503).
    """

    def __init__(self, ip, record):
        self.record = record
        self.lock = threading.Condition()
        self.items = {}
        self.events = []  # of the last HISTORY_S
        self.times = []  # of the events
        self.discarded = 0  # revision up to which the history is gone
        self.revision = 10
        self.fault = None
        self.leases = {}
        self.lease_ids = itertools.count(100)
        self.watched = {}  # time of the newest unanswered watch, by prefix
        super().__init__(ip)

    def put(self, key, value, lease=0):
        value = value.encode() if isinstance(value, str) else value
        with self.lock:
            self.revision += 1
            former = self.items.get(key)
            item = {"key": key, "rev": self.revision, "lease": lease,
                    "create_rev": former["create_rev"] if former
                    else self.revision,
                    "value": base64.b64encode(value).decode()}
            self.items[key] = item
            self.add_event(item)

    def add_event(self, event):
        self.events.append(event)
        self.times.append(time.monotonic())
        self.lock.notify_all()

    def discard_history(self):
        """Nothing is discarded sooner than after HISTORY_S."""
        old = sum(t < time.monotonic() - HISTORY_S for t in self.times)
        if old:
            self.discarded = self.events[old - 1]["rev"]
            del self.events[:old], self.times[:old]

    def delete(self, key):
        with self.lock:
            if not self.items.pop(key, None):
                return
            self.revision += 1
            self.add_event({"key": key, "rev": self.revision,
                            "deleted": True})

    def end_lease(self, lease):
        with self.lock:
            known = self.leases.pop(lease, None)
            for key in [k for k, i in self.items.items()
                        if i["lease"] == lease]:
                self.delete(key)
            return known

    def expire_leases(self):
        with self.lock:
            for lease, (_, end) in list(self.leases.items()):
                if end < time.monotonic():
                    self.end_lease(lease)

    def transact(self, body):
        with self.lock:
            for row in body.get("expected", []):
                held = self.items.get(row["key"])
                if (held["rev"] if held else 0) != row["rev"]:
                    return 412, {"items": []}
            for write in body.get("writes", []):
                if write.get("lease") and write["lease"] not in self.leases:
                    return 404, {}
            for write in body.get("writes", []):
                self.put(write["key"],
                         base64.b64decode(write["value"]),
                         write.get("lease", 0))
            for key in body.get("remove", []):
                self.delete(key)
            return 200, {"rev": self.revision}

    def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000

        def found():
            return [e for e in self.events if e["rev"] > after and
                    e["key"].startswith(query["prefix"])]

        with self.lock:
            self.discard_history()
            if after < self.discarded:
                return 410, {}
            while not found() and time.monotonic() < end:
                self.lock.wait(max(0.001, end - time.monotonic()))
            return 200, {"events": found(), "current_rev": self.revision}

    def list(self, prefix, after):
        page, size, more = [], 0, False
        for key, item in sorted(self.items.items()):
            if not key.startswith(prefix) or key <= after:
                continue
            size += len(item["value"])
            more = len(page) == PAGE_ITEMS or (page and size > PAGE_BYTES)
            if more:
                break
            page.append(item)
        return 200, {"items": page, "has_more": bool(more),
                     "current_rev": self.revision}

    def answer(self, path, query, body):
        if path == "/-/kv-watch":
            return self.watch(query)
        with self.lock:
            if path == "/-/kv-range":
                return self.list(query["prefix"], query.get("after", ""))
            if path == "/-/kv-key":
                item = self.items.get(query["key"])
                return (200, {**item, "current_rev": self.revision}) \
                    if item else (404, {"current_rev": self.revision})
            if path == "/-/kv-txn":
                return self.transact(body)
            if path == "/-/kv-lease":
                lease, ttl_s = next(self.lease_ids), body["ttl_ms"] / 1000
                self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            lease = int(path.split("/")[-1])
            if path.startswith("/-/kv-keep/"):
                if lease not in self.leases:
                    return 404, {}
                ttl_s = self.leases[lease][0]
                self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"ttl_ms": int(ttl_s * 1000)}
            return (200 if self.end_lease(lease) else 404), {}

    def handle(self, request):
        url = urlparse(request.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        body = request.read_body()
        if self.fault == "silent":
            self.watched[query.get("prefix")] = time.monotonic()
            time.sleep(30)
            request.close_connection = True
            return
        if self.fault == "busy":
            request.reply(503, {})
            return
        self.expire_leases()
        status, answer = self.answer(url.path, query, body)
        if self.fault == "silent":
            self.watched[query.get("prefix")] = time.monotonic()
            time.sleep(30)
            request.close_connection = True
            return
        request.reply(status, answer)


class Run:
    def __init__(self, task, number, spec, begin, end):
        self.task, self.number, self.spec = task, number, spec
        self.begin, self.end, self.how = begin, end, None
        self.over = None  # when it ended


class Worker(Server):
    """Runs each task for the milliseconds that its spec begins with.

    guards: rejects what does not fit (admission_check); demands: by job and
    step, as a worker knows what its tasks take.
    """

    def __init__(self, world, ip, name, service="svc", labels=("a", "r1-1"),
                 cpu=16000):
        self.world, self.store, self.record = world, world.store, world.record
        self.name, self.service = name, service
        self.labels, self.cpu = list(labels), cpu
        self.lock = threading.Condition()
        self.history = []  # all runs, of all lifetimes
        self.alive = True
        self.reset()
        super().__init__(ip)
        self.register()
        threading.Thread(target=self.beat, daemon=True).start()
        threading.Thread(target=self.tick, daemon=True).start()

    def reset(self):
        self.born = int(time.time() * 1000)
        self.clock_begin = time.monotonic() - STEADY_S
        self.fence, self.lease_end = 0, 0.0
        self.running, self.highest, self.ended = {}, {}, []
        self.ends = self.seq = 0
        self.state = "ready"

    def clock_ms(self):
        return int((time.monotonic() - self.clock_begin) * 1000)

    def register(self):
        self.seq += 1
        value = json.dumps({
            "service": self.service, "addr": self.address, "zone": "z-1",
            "version": "v1", "slots": 8, "state": self.state,
            "cold_left_ms": 0, "seq": self.seq, "born": self.born,
            "labels": self.labels,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0}})
        if self.store.fault is None:
            self.store.put("servers/" + self.name, value)

    def beat(self):
        while True:
            time.sleep(HEARTBEAT_S)
            with self.lock:
                if self.alive:
                    self.register()

    def tick(self):
        """Ends runs in time also while nobody calls."""
        while True:
            time.sleep(0.01)
            with self.lock:
                self.end_due()

    def crash(self):
        with self.lock:
            self.alive = False
            now = time.monotonic()
            for run in self.running.values():
                run.over, run.how = now, "crashed"
            self.running = {}
        self.close()
        self.record(f"worker {self.name} crashes")

    def restart(self, **changes):
        """A new lifetime under the same id, at the same address."""
        for name, value in changes.items():
            setattr(self, name, value)
        with self.lock:
            self.reset()
            self.listen()
            self.alive = True
            self.record(f"worker {self.name} starts again, labels "
                        f"{self.labels}, {self.cpu} milli cores")
            self.register()

    def end(self, run, how, at):
        del self.running[run.task]
        run.over, run.how = at, how
        self.ends += 1
        self.ended.append([self.ends, run.task, run.number, how, ""])
        self.record(f"worker {self.name}: {run.task} run {run.number} ends "
                    f"{how}")
        self.lock.notify_all()

    def end_due(self):
        now = time.monotonic()
        for run in list(self.running.values()):
            if run.end <= now and run.end <= self.lease_end:
                self.end(run, "done", run.end)
            elif self.lease_end <= now:
                self.end(run, "lapsed", self.lease_end)

    def obey(self, body):
        """Returns false for a fencing token that is too low."""
        self.end_due()
        if body.get("fence", 0) < self.fence:
            return False
        self.fence = body.get("fence", 0)
        if "deadline_ms" in body:
            end = self.clock_begin + body["deadline_ms"] / 1000
            end = min(end, time.monotonic() + HOLD_MAX_S)
            self.lease_end = max(self.lease_end, end)
        return True

    def refusal(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def start(self, body):
        task, number = body["task"], body["run"]
        held = self.running.get(task)
        if not self.obey(body):
            return self.refusal("fence")
        if held and held.number == number and task in self.running:
            return 200, {"clock_ms": self.clock_ms()}
        if self.highest.get(task, 0) >= number:
            return self.refusal("old")
        if body["deadline_ms"] <= self.clock_ms():
            return self.refusal("late")
        if self.world.guards and not self.fits(task):
            return self.refusal("room")
        now = time.monotonic()
        spec = body.get("spec", "")
        run = Run(task, number, spec, now, now + self.run_s(task, spec))
        run.labels, run.cpu, run.worker = list(self.labels), self.cpu, self
        self.running[task] = run
        self.highest[task] = number
        self.history.append(run)
        self.record(f"worker {self.name} ({self.labels[0]}): {task} run "
                    f"{number} starts, fence {body.get('fence', 0)}")
        self.on_start(run)
        return 200, {"clock_ms": self.clock_ms()}

    def on_start(self, run):
        pass

    def run_s(self, task, spec):
        del task
        return float(spec.split()[0]) / 1000 if spec else 0.05

    def used(self):
        return sum(self.world.demand(t) for t in self.running)

    def fits(self, task):
        return self.used() + self.world.demand(task) <= self.cpu

    def stop(self, body):
        if not self.obey({"fence": body.get("fence", 0)}):
            return self.refusal("fence")
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number <= number:
            self.end(run, "stopped", time.monotonic())
        return 200, {"clock_ms": self.clock_ms()}

    def hold(self, body):
        if not self.obey(body):
            return self.refusal("fence")
        self.ended = [e for e in self.ended if e[0] > body["seen_upto"]]
        born = self.born
        end = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < end:
            self.lock.wait(0.005)
            if self.born != born:
                return None, None
            self.end_due()
        return 200, {"clock_ms": self.clock_ms(), "born": self.born,
                     "running": [[r.task, r.number, "", self.percent(r), 0]
                                 for r in self.running.values()],
                     "ended": self.ended[:500]}

    @staticmethod
    def percent(run):
        done = (time.monotonic() - run.begin) / max(run.end - run.begin, .001)
        return max(0, min(99, int(done * 100)))

    def execute(self, path, body):
        with self.lock:
            if not self.alive:
                return None, None
            if path == "/-/run-start":
                return self.start(body)
            if path == "/-/run-stop":
                return self.stop(body)
            if path == "/-/hold":
                return self.hold(body)
            return 200, {}

    def handle(self, request):
        body = request.read_body()
        expected = request.headers.get("X-Bergamotpass-Expect-Instance")
        if expected not in (None, self.name):
            request.reply(421, {})
            return
        status, answer = self.execute(request.path, body)
        if status is None:
            request.close_connection = True
            return
        request.reply(status, answer)


class Instance:
    """A bergamotd process, with the command of the deploy file."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.name = f"front-z-1-{number}"
        self.ip = world.ip(number)
        self.front, self.ready, self.control = (
            free_port(self.ip) for _ in range(3))
        self.path = os.path.join(world.folder, self.name + ".json")
        self.log = open(self.path + ".log", "ab")
        self.process = None

    def fields(self, first):
        world = self.world
        return {
            "node": self.name, "zone": "z-1", "ip": self.ip,
            "listen.front": f"{self.ip}:{self.front}",
            "listen.readiness": f"{self.ip}:{self.ready}",
            "listen.control": f"{self.ip}:{self.control}",
            "seeds": [f"{i.ip}:{i.control}" for i in world.instances[:3]],
            "platform.addr": world.store_address,
            "platform.reads_per_s": "2000", "platform.writes_per_s": "400",
            "limits.cpu_share": "0.25",
            "bootstrap": "true" if first else "false",
            "bounds.hold_max_ms": "1000", "bounds.stop_ms": str(STOP_MS),
            "bounds.far_x": "1.5", "bounds.grace_s": "6"}

    def write_settings(self, first):
        with open(os.path.join(ROOT, "deploy/settings.json"),
                  encoding="utf-8") as file:
            text = file.read()
        fields = self.fields(first)
        seeds = ", ".join(f'"{s}"' for s in fields["seeds"])
        text = re.sub(r"\{\{#seeds\}\}.*\{\{/seeds\}\}", seeds, text)
        text = re.sub(r"\{\{([a-z_.]+)\}\}", lambda m: fields[m[1]], text)
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self, first=False):
        self.write_settings(first)
        self.process = subprocess.Popen(
            [PROGRAM, self.path], stdout=self.log, stderr=self.log, cwd=ROOT,
            env={"PATH": os.environ["PATH"], "LANG": "C.UTF-8",
                 "HOME": os.environ.get("HOME", "/")})
        self.world.record(f"instance {self.name} starts at "
                          f"{self.ip}:{self.front}")

    def signal(self, number):
        self.world.record(f"instance {self.name}: {number.name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()

    def call(self, method, path, body=None, timeout=30, headers=None,
             port=None, host="h.example"):
        link = http.client.HTTPConnection(self.ip, port or self.front,
                                          timeout=timeout)
        try:
            link.request(method, path, body, {"Host": host,
                                              **(headers or {})})
            answer = link.getresponse()
            return answer.status, answer.read().decode()
        finally:
            link.close()

    def is_ready(self):
        try:
            return self.call("GET", "/-/ready", timeout=1,
                             port=self.ready)[0] == 200
        except OSError:
            return False

    def leads(self):
        """Whether this instance's log says that it leads."""
        leads = False
        with open(self.path + ".log", encoding="utf-8",
                  errors="replace") as file:
            for line in file:
                if "this instance leads with claim" in line:
                    leads = True
                elif "this instance gives up claim" in line:
                    leads = False
        return leads and self.process.poll() is None


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def route(name, prefix, service="svc", **more):
    return {"name": name, "host": "h.example", "prefix": prefix,
            "kind": "non_idempotent", "timeout_ms": 20000, "slo_ms": 60,
            "priority": 0, "service": service, "attempts": 2, "stretch": 1.6,
            **more}


class World:
    def __init__(self, folder, instances=3, guards=True):
        self.trouble = os.environ.get("TROUBLE") != "0"
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp()
        self.net = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        self.guards = guards
        self.demands = {}  # milli cores of a task, by job and step
        self.store = Store(self.ip(200), self.record)
        self.store_address = self.store.address
        self.workers = []
        self.instances = []
        self.instances += [Instance(self, i + 1) for i in range(instances)]
        self.record(f"trouble: {'yes' if self.trouble else 'no'}")

    def ip(self, number):
        return f"{self.net}.{number}"

    def demand(self, task):
        job, _, step, _ = task.split(".")
        return self.demands.get((job, int(step)), 0)

    def add_worker(self, kind=Worker, **options):
        number = len(self.workers)
        worker = kind(self, self.ip(100 + number), f"{number:02x}" * 8,
                      **options)
        self.workers.append(worker)
        return worker

    def write_config(self, version, routes, services=("svc",)):
        self.record(f"operator writes config {version}")
        self.store.put("op/config", json.dumps({
            "version": version, "routes": routes,
            "services": [{"name": s, "health_path": "/health",
                          "max_conns": 64, "protocol": "h1", "tls": False,
                          "admission_check": self.guards} for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}))

    def begin(self):
        for instance in self.instances:
            instance.start(first=True)
        self.wait_for("all instances to be ready", lambda: all(
            i.is_ready() for i in self.instances))
        time.sleep(3)

    @staticmethod
    def wait_for(what, is_so, limit_s=20):
        end = time.monotonic() + limit_s
        while not is_so():
            if time.monotonic() > end:
                raise TimeoutError("waited in vain for " + what)
            time.sleep(0.02)

    def leader(self):
        return next((i for i in self.instances if i.leads()), None)

    def submit(self, instance, path, body, deadline_ms=10000):
        """Returns status and body, or None and why there is no answer."""
        job = path.split("/")[-1]
        for number, step in enumerate(body["steps"]):
            self.demands[job, number] = step["cpu"]
        self.record(f"client POST {path} to {instance.name}: "
                    f"{json.dumps(body)}")
        try:
            status, text = instance.call(
                "POST", path, json.dumps(body), deadline_ms / 1000,
                {"Content-Type": "application/json",
                 "X-Bergamotpass-Deadline-Ms": str(deadline_ms)})
        except (OSError, http.client.HTTPException) as error:
            status, text = None, repr(error)
        self.record(f"client POST {path}: {status} {text.strip()}")
        return status, text

    def delete(self, instance, path):
        status, text = instance.call("DELETE", path)
        self.record(f"client DELETE {path} to {instance.name}: {status} "
                    f"{text.strip()}")
        return status

    def runs(self):
        return [r for w in self.workers for r in w.history]

    def close(self):
        for instance in self.instances:
            instance.end()
        for worker in self.workers:
            worker.alive = False
        shutil.rmtree(self.folder, ignore_errors=True)


def play(main, **options):
    """Runs a case; main returns the breaches of the rule, as texts."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    world = None
    try:
        world = World(folder, **options)
        breaches = main(world)
        for text in breaches:
            world.record("RULE BROKEN: " + text)
            print("rule broken:", text)
        world.record(f"result: {len(breaches)} breaches")
        code = RULE_BROKEN if breaches else RULE_HELD
    except Exception as error:  # any failure of the script itself
        print("the case could not run:", repr(error))
        if world:
            world.record(f"the case could not run: {error!r}")
        code = NOT_RUN
    finally:
        if world:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(world.folder, os.environ["KEEP_LOGS"],
                                dirs_exist_ok=True)
            world.close()
    os._exit(code)

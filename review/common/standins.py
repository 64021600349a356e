"""Stand-ins for the platform of bergamotpass: its store and its workers.

They follow the users' page PROTOCOL over HTTP on loopback addresses, in
threads of the test's process. What they see goes into one record, a list of
(seconds, who, event, fields), from which a case judges its rule.
"""
import base64
import json
import random
import socket
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlparse

HEARTBEAT_S = 1.5
STOP_S = 0.05
HOLD_MAX_MS = 1000


class Record:
    """Everything that was sent, answered and run, with times in seconds."""

    def __init__(self):
        self.begin = time.monotonic()
        self.rows = []
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.begin

    def add(self, who, event, **fields):
        with self.lock:
            self.rows.append((self.now(), who, event, fields))

    def find(self, event, **fields):
        with self.lock:
            return [r for r in self.rows if r[2] == event and
                    all(r[3].get(k) == v for k, v in fields.items())]

    def write(self, path):
        with self.lock, open(path, "w", encoding="utf-8") as file:
            for at, who, event, fields in sorted(self.rows,
                                                 key=lambda r: r[0]):
                text = " ".join(f"{k}={json.dumps(v)}"
                                for k, v in fields.items())
                file.write(f"{at:9.3f} {who:10} {event:10} {text}\n")


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_arguments):
        pass

    def reply(self, status, body):
        data = json.dumps(body).encode()
        self.wfile.write(
            f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode() + data)

    def no_answer(self, seconds=5.0):
        """Answers nothing; the connection is closed later."""
        time.sleep(seconds)
        self.close_connection = True

    def body(self):
        length = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(length) or b"{}")

    def handle_any(self):
        try:
            self.server.owner.handle(self)
        except ConnectionError:
            self.close_connection = True

    do_GET = do_POST = do_DELETE = handle_any


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, *arguments):
        self.links = set()
        super().__init__(*arguments)

    def process_request(self, request, client_address):
        self.links.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.links.discard(request)
        super().shutdown_request(request)

    def reset_links(self):
        for link in list(self.links):
            try:
                link.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


class Server:
    def __init__(self, port=0):
        self.listen(port)
        self.address = "127.0.0.1:%d" % self.http.server_address[1]

    def listen(self, port):
        self.http = QuietServer(("127.0.0.1", port), Handler)
        self.http.owner = self
        threading.Thread(target=self.http.serve_forever, kwargs={
            "poll_interval": 0.02}, daemon=True).start()

    def close(self):
        self.http.shutdown()
        self.http.server_close()
        self.http.reset_links()


class Store(Server):
    """The platform's store: items with revisions, watches and leases.

    fault: None, "busy" (503) or "silent" (no answer).
    """

    def __init__(self):
        self.lock = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 1
        self.leases = {}  # id: [ttl_ms, end]
        self.fault = None
        super().__init__()
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, key, value, lease=0):
        if isinstance(value, str):
            value = value.encode()
        with self.lock:
            self.revision += 1
            old = self.items.get(key)
            item = {"key": key, "rev": self.revision, "lease": lease,
                    "create_rev": old["create_rev"] if old else self.revision,
                    "value": base64.b64encode(value).decode()}
            self.items[key] = item
            self.events.append(item)
            self.lock.notify_all()
            return self.revision

    def delete(self, key):
        with self.lock:
            if key not in self.items:
                return
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "rev": self.revision,
                                "deleted": True})
            self.lock.notify_all()

    def end_lease(self, lease):
        with self.lock:
            self.leases.pop(lease, None)
            keys = [k for k, i in self.items.items() if i["lease"] == lease]
        for key in keys:
            self.delete(key)

    def expire(self):
        while True:
            time.sleep(0.1)
            now = time.monotonic()
            for lease, (_, end) in list(self.leases.items()):
                if end < now:
                    self.end_lease(lease)

    def handle(self, request):
        url = urlparse(request.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        body = request.body()
        if self.fault == "silent":
            request.no_answer()
        elif self.fault == "busy":
            request.reply(503, {})
        elif url.path == "/-/kv-key":
            item = self.items.get(query["key"])
            request.reply(200 if item else 404,
                          {**(item or {}), "current_rev": self.revision})
        elif url.path == "/-/kv-range":
            with self.lock:
                items = [i for k, i in sorted(self.items.items())
                         if k.startswith(query["prefix"]) and
                         k > query.get("after", "")]
                revision = self.revision
            request.reply(200, {"items": items[:500],
                                "has_more": len(items) > 500,
                                "current_rev": revision})
        elif url.path == "/-/kv-watch":
            self.watch(request, query)
        elif url.path == "/-/kv-txn":
            self.transact(request, body)
        elif url.path == "/-/kv-lease":
            lease = random.randrange(1, 1 << 40)
            self.leases[lease] = [body["ttl_ms"], time.monotonic() +
                                  body["ttl_ms"] / 1000]
            request.reply(200, {"lease": lease, "ttl_ms": body["ttl_ms"]})
        elif url.path.startswith("/-/kv-keep/"):
            held = self.leases.get(int(url.path.rsplit("/", 1)[1]))
            if held:
                held[1] = time.monotonic() + held[0] / 1000
            request.reply(200 if held else 404,
                          {"ttl_ms": held[0]} if held else {})
        elif url.path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(url.path.rsplit("/", 1)[1]))
            request.reply(200, {})
        else:
            request.reply(400, {})

    def transact(self, request, body):
        with self.lock:
            for row in body.get("expected", []):
                item = self.items.get(row["key"])
                if (item["rev"] if item else 0) != row.get("rev", 0):
                    request.reply(412, {"items": [item] if item else []})
                    return
            for write in body.get("writes", []):
                if write.get("lease") and write["lease"] not in self.leases:
                    request.reply(404, {})
                    return
            for write in body.get("writes", []):
                self.put(write["key"], base64.b64decode(write["value"]),
                         write.get("lease", 0))
            for key in body.get("remove", []):
                self.delete(key)
            revision = self.revision
        request.reply(200, {"rev": revision})

    def watch(self, request, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000

        def found():
            return [e for e in self.events if e["rev"] > after and
                    e["key"].startswith(query["prefix"])]

        with self.lock:
            while not found() and time.monotonic() < end:
                self.lock.wait(max(0, end - time.monotonic()))
            events, revision = found(), self.revision
        if len(events) > 300:
            events = events[:300]
            revision = events[-1]["rev"]
        request.reply(200, {"events": events, "current_rev": revision})


class Run:
    def __init__(self, number, step, run_s):
        self.number = number
        self.step = step  # what the test's clients said of the step
        self.begin = time.monotonic()
        self.end = self.begin + run_s
        self.stop_at = None
        self.how = "done"


class Worker(Server):
    """One worker, in one or more lives.

    shape(task) returns (cpu, mem_mb, run_s) of a task. Without guards it
    starts whatever it is told to. withhold(path, body) returns true for an
    order that gets no answer; the case carries it out later with order().
    """

    def __init__(self, record, store, name, service, shape, guards=True,
                 cpu=16000, mem_mb=32768, labels=("a", "r1-1"), speed=1.0):
        self.lock = threading.Condition()
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.shape = shape
        self.guards = guards
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.labels = list(labels)
        self.speed = speed
        self.withhold = None
        self.lose = None
        self.beat = 0.0  # time of the last heartbeat
        self.fault = None  # "fail", "hang", "refuse"
        self.silent = False
        self.down = False
        self.state = "ready"
        self.closed = False
        self.wall_ahead_ms = 0  # of the machine's time of day
        self.begin_life()
        super().__init__()
        self.register()
        threading.Thread(target=self.live, daemon=True).start()

    def begin_life(self):
        self.born = int(time.time() * 1000) + self.wall_ahead_ms
        self.clock_base = time.monotonic() - 1
        self.fence = 0
        self.deadline = 0  # ms on the worker's clock
        self.running = {}
        self.highest = {}
        self.ended = []
        self.ends = 0
        self.seq = 0

    def crash(self, down_s):
        """Ends without a word and starts again under the same id."""
        port = self.http.server_address[1]
        self.down = True
        self.record.add(self.name, "crash", down_s=down_s)
        self.close()
        with self.lock:
            for task, run in list(self.running.items()):
                self.finish(task, run, "crashed", listed=False)
            self.begin_life()
        time.sleep(down_s)
        with self.lock:
            self.begin_life()
        self.listen(port)
        self.down = False
        self.record.add(self.name, "restart", born=self.born)
        self.register()

    def register(self):
        """Writes the worker's entry. lose(worker) returns after how many
        seconds the store carries the write out without an answer, or 0."""
        self.seq += 1
        key, value = "servers/" + self.name, self.entry()
        late_s = self.lose(self) if self.lose else 0
        if late_s:
            self.record.add(self.name, "lost", seq=self.seq, state=self.state,
                            late_s=late_s)
            threading.Timer(late_s, self.write_late,
                            (key, value, self.seq)).start()
            return
        self.store.put(key, value)
        self.record.add(self.name, "heartbeat", seq=self.seq,
                        state=self.state)

    def write_late(self, key, value, seq):
        self.store.put(key, value)
        self.record.add(self.name, "latewrite", seq=seq)

    def entry(self):
        return json.dumps({
            "service": self.service, "addr": self.address, "zone": "zone-a",
            "version": "v1", "slots": 8, "state": self.state,
            "cold_left_ms": 0, "capacity": self.capacity,
            "labels": self.labels, "clock_ms": self.clock(),
            "seq": self.seq, "born": self.born})

    def live(self):
        self.beat = time.monotonic()
        while not self.closed:
            with self.lock:
                self.end_due()
            time.sleep(0.01)
            if (not (self.silent or self.down) and
                    time.monotonic() - self.beat > HEARTBEAT_S):
                self.beat = time.monotonic()
                self.register()

    def clock(self, at=None):
        return int(((at or time.monotonic()) - self.clock_base) * 1000)

    def finish(self, task, run, how, listed=True, at=None):
        del self.running[task]
        if listed:
            self.ends += 1
            self.ended.append([self.ends, task, run.number, how, ""])
        self.record.add(self.name, "end", task=task, run=run.number, how=how)
        self.lock.notify_all()

    def end_due(self):
        now = time.monotonic()
        for task, run in list(self.running.items()):
            if run.stop_at and now >= run.stop_at:
                self.finish(task, run, "stopped")
            elif self.clock(now) > self.deadline:
                self.finish(task, run, "lapsed")
            elif now >= run.end:
                self.finish(task, run, run.how)

    def handle(self, request):
        body = request.body()
        path = urlparse(request.path).path
        if self.silent or self.closed or self.down:
            request.no_answer()
            return
        if path == "/health":
            request.reply(200, {})
            return
        expected = request.headers.get("X-Bergamotpass-Expect-Instance")
        if expected and unquote(expected) != self.name:
            request.reply(421, {"clock_ms": self.clock(), "born": self.born})
            return
        if self.fault == "refuse":
            request.reply(503, {"clock_ms": self.clock(), "born": self.born})
            return
        if self.withhold and self.withhold(path, body):
            self.record.add(self.name, "withheld", path=path, **{
                k: body[k] for k in ("task", "run") if k in body})
            request.no_answer()
            return
        status, answer = self.order(path, body)
        request.reply(status, {**answer, "clock_ms": self.clock(),
                               "born": self.born})

    def order(self, path, body):
        with self.lock:
            self.end_due()
            if body.get("fence", 0) < self.fence:
                return 409, {"reason": "fence"}
            self.fence = body.get("fence", 0)
            deadline = min(body.get("deadline_ms", 0),
                           self.clock() + HOLD_MAX_MS)
            if path == "/-/run-start":
                return self.start(body, deadline)
            if path == "/-/run-stop":
                return self.stop(body)
            if path == "/-/hold":
                self.deadline = max(self.deadline, deadline)
                return self.hold(body)
            return 404, {}

    def start(self, body, deadline):
        task, number = body["task"], body["run"]
        held = self.running.get(task)
        if held and held.number == number:
            return 200, {}
        if self.highest.get(task, 0) >= number or held:
            self.deadline = max(self.deadline, deadline)
            return 409, {"reason": "old"}
        if body["deadline_ms"] <= self.clock():
            return 409, {"reason": "late"}
        cpu, mem_mb, run_s = self.shape(task)
        cpus = sum(r.step[0] for r in self.running.values()) + cpu
        mem = sum(r.step[1] for r in self.running.values()) + mem_mb
        over = cpus > self.capacity["cpu"] or mem > self.capacity["mem_mb"]
        if over and self.guards:
            self.deadline = max(self.deadline, deadline)
            return 409, {"reason": "room"}
        self.deadline = max(self.deadline, deadline)
        run = Run(number, (cpu, mem_mb), run_s / self.speed)
        if self.fault == "hang":
            run.end += 600
        if self.fault == "fail":
            run.how = "failed"
        self.running[task] = run
        self.highest[task] = number
        self.record.add(self.name, "start", task=task, run=number,
                        spec=body.get("spec", ""), fence=body.get("fence", 0),
                        over=over, cpus=cpus)
        return 200, {}

    def stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number <= number and not run.stop_at:
            run.stop_at = time.monotonic() + random.uniform(0, STOP_S)
        return 200, {}

    def hold(self, body):
        seen = body.get("seen_upto", 0)
        born = self.born
        self.ended = [e for e in self.ended if e[0] > seen]
        end = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < end and born == self.born:
            self.lock.wait(0.01)
            self.end_due()
        now = time.monotonic()
        return 200, {
            "ended": self.ended[:500],
            "running": [[t, r.number, "", max(0, min(99, int(
                100 * (now - r.begin) / max(0.001, r.end - r.begin))))]
                        for t, r in self.running.items()]}

    def leave(self):
        """Registers as draining; the caller closes it later."""
        self.state = "draining"
        self.beat = time.monotonic()
        self.register()

    def shut(self):
        self.closed = True
        self.store.delete("servers/" + self.name)
        self.close()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports

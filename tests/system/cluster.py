"""Starts real processes on loopback for a test, and kills them by pid."""
import atexit
import fcntl
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time

WAIT_S = 60  # upper limit only: a wait returns as soon as the event occurs
TOKEN = "test-token"


BLOCK_PORTS = 200  # ports in the block that one test process locks
locked_block = []  # first port of the block, next port to try


def lock_port_block():
    """Locks a block of ports against other test processes until exit.

    Blocks lie below the kernel's ephemeral port range: an outgoing connection
    could otherwise bind a port before the server does.
    """
    for first in range(10000, 32000, BLOCK_PORTS):
        name = os.path.join(tempfile.gettempdir(), f"bergamot-ports-{first}")
        lock = open(name, "a", encoding="ascii")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            atexit.register(lock.close)
            return [first, first]
        except OSError:
            lock.close()
    raise RuntimeError("no free block of ports")


def is_port_free(port):
    with socket.socket() as sock:
        # Like the listeners' sockets: ignores connections in TIME_WAIT.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
            return True
        except OSError:
            return False


def free_port_range(count):
    """The first of consecutive free ports in this process's block."""
    if not locked_block:
        locked_block.extend(lock_port_block())
    first, at = locked_block
    for _ in range(BLOCK_PORTS):
        if at + count > first + BLOCK_PORTS:
            at = first
        if all(is_port_free(port) for port in range(at, at + count)):
            locked_block[1] = at + count
            return at
        at += 1
    raise RuntimeError("no range of consecutive free ports")


def free_ports(count):
    return [free_port_range(1) for _ in range(count)]


def wait_for(what, condition, limit_s=WAIT_S):
    """Waits until condition() is true; fails the test after limit_s."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"timed out waiting for {what}")


class Process:
    def __init__(self, name, arguments, folder):
        self.name = name
        self.errors = os.path.join(folder, name + ".err")
        with open(self.errors, "ab") as err:
            self.popen = subprocess.Popen(arguments, stdout=subprocess.PIPE,
                                          stderr=err)

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.signal(signal.SIGCONT)

    def stop(self):
        """Shuts the process down gracefully; returns its exit code."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(WAIT_S)


class Instance:
    def __init__(self, cluster, name, data_centre, extra):
        ports = free_ports(3)
        self.cluster = cluster
        self.name = name
        self.data_centre = data_centre
        self.callers, self.operators, self.peers = ports
        self.advertised_port = self.peers  # port that peers connect to
        self.extra = extra
        self.process = None

    def settings(self):
        folder = self.cluster.folder
        listen = "127.0.0.1:%d"
        settings = {
            "cluster": "test", "instance": self.name,
            "data_centre": self.data_centre,
            "callers": {"listen": listen % self.callers},
            "operators": {"listen": listen % self.operators,
                          "token_file": self.cluster.token_file},
            "peers": {"listen": listen % self.peers,
                      "advertise": listen % self.advertised_port,
                      "seeds": [listen % i.advertised_port
                                for i in self.cluster.instances]},
            "log": {"file": os.path.join(folder, self.name + ".log")},
            "timeline": {"file": os.path.join(folder,
                                              self.name + ".timeline")},
        }
        if self.cluster.platform_port:
            settings["platform"] = {
                "url": "http://" + listen % self.cluster.platform_port}
        elif self.cluster.document:
            settings["config"] = self.cluster.document
        for section, values in self.extra.items():
            if isinstance(values, dict):
                settings.setdefault(section, {}).update(values)
            else:
                settings[section] = values
        return settings

    def write_settings(self):
        path = os.path.join(self.cluster.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(self.settings(), out)
        return path

    def start(self):
        path = self.write_settings()
        self.process = self.cluster.run(
            self.name, [self.cluster.program("packages/daemon/bergamotd"),
                        path])
        return self

    def request(self, method, path, body=None, headers=None, port=None,
                timeout=WAIT_S):
        """(status, parsed body, headers); raises OSError without an answer."""
        conn = http.client.HTTPConnection("127.0.0.1", port or self.callers,
                                          timeout=timeout)
        try:
            if isinstance(body, (dict, list)):
                body = json.dumps(body)
            conn.request(method, path, body, headers or {})
            answer = conn.getresponse()
            text = answer.read()
            kind = answer.headers.get("Content-Type", "")
            parsed = json.loads(text) if "json" in kind else text.decode()
            return answer.status, parsed, answer.headers
        except http.client.HTTPException as error:
            raise OSError(str(error)) from error
        finally:
            conn.close()

    def operator(self, method, path, body=None):
        return self.request(method, path, body,
                            {"Authorization": "Bearer " + TOKEN},
                            self.operators)

    def submit(self, job, job_id=None, timeout=WAIT_S):
        if job_id:
            return self.request("PUT", "/v1/jobs/" + job_id, job,
                                timeout=timeout)
        return self.request("POST", "/v1/jobs", job, timeout=timeout)

    def ids(self, count=1):
        status, body, _ = self.request("POST", f"/v1/job-ids?count={count}")
        return body["ids"] if status == 200 else []

    def status(self):
        try:
            code, body, _ = self.operator("GET", "/v1/status")
            return body if code == 200 else None
        except OSError:
            return None

    def metrics(self):
        _, text, _ = self.request("GET", "/metrics", port=self.operators)
        rows = [line.split() for line in text.splitlines()
                if not line.startswith("#")]
        # Sums of histograms are fractions, all other values integers.
        return {name: int(value) if value.isdigit() else float(value)
                for name, value in rows}


class Cluster:
    """A context: its exit kills the processes, and removes the folder unless
    the test failed."""

    def __init__(self, build, document=None):
        self.build = build
        self.document = document
        self.platform_port = None
        self.folder = tempfile.mkdtemp(prefix="bergamot-")
        self.token_file = os.path.join(self.folder, "token")
        with open(self.token_file, "w", encoding="utf-8") as out:
            out.write(TOKEN + "\n")
        self.instances = []
        self.processes = []
        self.records = []

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        for process in self.processes:
            process.thaw()
            process.kill()
            process.popen.stdout.close()
        if kind is None:
            self.check_errors()
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("files are kept in", self.folder)

    def check_errors(self):
        """Fails the test when a process printed a sanitizer report."""
        for process in self.processes:
            with open(process.errors, encoding="utf-8",
                      errors="replace") as text:
                for line in text:
                    if "Sanitizer" in line or "runtime error:" in line:
                        raise AssertionError(f"{process.errors}: {line}")

    def program(self, path):
        return os.path.join(self.build, path)

    def run(self, name, arguments):
        process = Process(name, arguments, self.folder)
        self.processes.append(process)
        return process

    def standin(self, kind, name, arguments):
        """Starts a stand-in and waits for its 'ready' line."""
        process = self.run(name, [self.program("tests/standins/" + kind)] +
                           [str(a) for a in arguments])
        line = process.popen.stdout.readline()
        assert line.startswith(b"ready"), f"{name} did not start"
        return process

    def workers(self, data_centre, count, slots=8, service="quote",
                extra=(), name=None):
        """Starts a process that serves several workers; the process, and the
        workers' entries for the configuration document."""
        first = free_port_range(count)
        name = name or data_centre
        record = os.path.join(self.folder, f"workers-{name}.jsonl")
        self.records.append(record)
        process = self.standin(
            "standin-worker", "workers-" + name,
            ["--port", first, "--count", count, "--slots", slots, "--name",
             name, "--record", record, *extra])
        return process, [
            {"name": f"{name}{i + 1}", "data_centre": data_centre,
             "address": f"127.0.0.1:{first + i}", "service": service,
             "slots": slots} for i in range(count)]

    def starts(self):
        """The starts that workers recorded; skips a half-written last line."""
        events = []
        for path in self.records:
            with open(path, encoding="utf-8") as lines:
                events += [json.loads(line) for line in lines
                           if line.endswith("\n")]
        return [e for e in events if e["event"] == "start"]

    def start_platform(self):
        """Starts the stand-in platform and stores the cluster's document."""
        self.platform_port = free_ports(1)[0]
        process = self.standin(
            "standin-platform", "platform",
            ["--listen", f"127.0.0.1:{self.platform_port}"])
        self.platform("PUT", "/v1/kv/bergamot/config", self.document)
        return process

    def platform(self, method, path, body=None):
        """Calls the stand-in platform; returns the parsed answer."""
        conn = http.client.HTTPConnection("127.0.0.1", self.platform_port,
                                          timeout=WAIT_S)
        try:
            conn.request(method, path, json.dumps(body))
            return json.loads(conn.getresponse().read())
        finally:
            conn.close()

    def list_workers(self, workers, leaving=()):
        """Sets the platform's list of workers, some marked as leaving."""
        self.platform("PUT", "/standin/list?service=bergamot-worker", [
            {"id": w["name"], "address": w["address"].split(":")[0],
             "port": int(w["address"].split(":")[1]),
             "leaving": w["name"] in leaving} for w in workers])

    def faults(self, **faults):
        self.platform("PUT", "/standin/faults", faults)

    def instance(self, name, data_centre, extra=None):
        instance = Instance(self, name, data_centre, extra or {})
        self.instances.append(instance)
        return instance

    def start(self):
        """Starts all instances and waits until each reports all as alive."""
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            try:
                wait_for(f"{instance.name} to see all members",
                         lambda i=instance: self.sees_all(i))
            except AssertionError:
                print([i.status() for i in self.instances])
                raise

    def sees_all(self, instance):
        status = instance.status()
        if not status or not status["ready"]:
            return False
        alive = [m for m in status["members"] if m["state"] == "alive"]
        return len(alive) >= len(self.instances) and instance.ids()


def document(workers, version=1, teams=None, services=None):
    return {"version": version,
            "services": services or [{"name": "quote", "deadline_ms": 20000}],
            "workers": workers, "teams": teams or [{"name": "default"}]}


def job(tasks, run_ms=20, **more):
    return {"service": "quote",
            "tasks": [{"run_ms": run_ms,
                       "body": {"run_ms": run_ms, "answer": i}}
                      for i in range(tasks)], **more}

"""The processes of a soak: instances, a relay, and stand-ins.

Each instance is a real process. Its connections to peers, to the store and to
workers pass through one standin-link process, whose rules cut, silence, reset
or delay them.
"""
import http.client
import json
import os
import signal
import subprocess
import sysconfig
import threading
import time

from tests.system import leased_standins
from tests.system.cluster import free_ports, wait_for

HOST = "h.example"
# Debian's faketime: shifts a process's time of day by the offset in a file.
FAKETIME = "/usr/lib/{}/faketime/libfaketimeMT.so.1".format(
    sysconfig.get_config_var("MULTIARCH"))
GRACE_S = 6.0  # limit from SIGTERM to the exit
READY_LIMIT_S = 20.0  # allows for a busy machine; the platform requires 12


class Instance:
    def __init__(self, site, name, ports, seeds, store):
        self.site = site
        self.name = name
        # Ports, named as in tests/system/cluster.py.
        self.callers, self.ready, self.peers, self.peers_by_link = ports
        self.path = os.path.join(site.folder, name + ".json")
        self.log_path = os.path.join(site.folder, name + ".log")
        self.sigterm_at = None  # first SIGTERM of this incarnation
        self.pauses = []  # [SIGSTOP, SIGCONT or None]
        self.kill_times = []
        # (incarnation, exit code, seconds from start to SIGTERM or None)
        self.exits = []
        self.incarnation = 0
        self.lock = threading.Lock()  # faults overlap
        self.write_settings(seeds, store)
        self.clock_path = self.path + ".clock"
        self.set_clock(0)
        self.process = None
        self.start()

    def write_settings(self, seeds, store):
        with open(self.path, "w", encoding="ascii") as file:
            json.dump({
                "cluster": os.path.basename(self.site.folder),
                "instance": self.name, "data_centre": "dc-1",
                "callers": {"listen": f"127.0.0.1:{self.callers}"},
                "readiness": {"listen": f"127.0.0.1:{self.ready}"},
                "peers": {"listen": f"127.0.0.1:{self.peers}",
                          "advertise": f"127.0.0.1:{self.peers_by_link}",
                          "seeds": seeds},
                "store": {"address": store},
                "leases": {"grace_s": GRACE_S,
                           "direct_workers": self.site.direct_workers},
                "log": {"file": "stdout"}}, file)

    def start(self):
        """Starts the next incarnation, unless the last one still runs."""
        with self.lock:
            if self.process and self.is_running():
                return
            self.record_exit()
            self.incarnation += 1
            self.sigterm_at = None
            self.started_at = time.monotonic()
            with open(self.log_path, "ab") as log:
                self.process = subprocess.Popen(
                    [self.site.daemon, self.path], stdout=log, stderr=log,
                    env={**os.environ, "LD_PRELOAD": FAKETIME,
                         "FAKETIME_TIMESTAMP_FILE": self.clock_path,
                         "FAKETIME_NO_CACHE": "1",
                         "FAKETIME_DONT_FAKE_MONOTONIC": "1",
                         "DONT_FAKE_MONOTONIC": "1"})

    def set_clock(self, seconds):
        """Shifts the process's time of day; monotonic time is unchanged."""
        with open(self.clock_path + ".new", "w", encoding="ascii") as file:
            file.write(f"{seconds:+d}\n")
        os.replace(self.clock_path + ".new", self.clock_path)

    def record_exit(self):
        if self.process:
            sigterm_s = self.sigterm_at and self.sigterm_at - self.started_at
            self.exits.append((self.incarnation, self.process.returncode,
                               sigterm_s))

    def is_running(self):
        return self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def kill(self):
        with self.lock:
            self.kill_times.append(time.monotonic())
            self.process.kill()
            self.process.wait()

    def terminate(self):
        if self.sigterm_at is None:
            self.sigterm_at = time.monotonic()
        self.signal(signal.SIGTERM)

    def pause(self):
        self.pauses.append([time.monotonic(), None])
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)
        for span in self.pauses:
            span[1] = span[1] or time.monotonic()

    def was_disturbed(self, begin, end):
        """True when the process was killed or paused between these times."""
        return any(begin <= t <= end for t in self.kill_times) or any(
            b <= end and (e or end) >= begin for b, e in self.pauses)

    def call(self, method, path, body=None, port=None, timeout=30):
        link = http.client.HTTPConnection("127.0.0.1", port or self.callers,
                                          timeout=timeout)
        try:
            link.request(method, path, body, {"Host": HOST})
            answer = link.getresponse()
            return answer.status, answer.read().decode()
        finally:
            link.close()

    def is_ready(self):
        try:
            return self.call("GET", "/-/ready", port=self.ready,
                             timeout=2)[0] == 200
        except (OSError, http.client.HTTPException):
            return False


class Site:
    def __init__(self, build, folder, instances, workers, direct_workers):
        self.folder = folder
        self.daemon = os.path.join(build, "packages/daemon/bergamotd")
        self.direct_workers = direct_workers
        self.rules = {}  # rule lines by name of the fault
        self.rules_lock = threading.Lock()
        self.acknowledged = {}
        ports = free_ports(1 + 2 * workers + 5 * instances)
        self.store = leased_standins.Store(ports.pop())
        self.version = 1
        self.put_config()
        routes = []
        self.workers = []
        for i in range(workers):
            own, by_link = ports.pop(), ports.pop()
            routes.append(f"127.0.0.1:{by_link}=127.0.0.1:{own}=worker-{i}")
            self.workers.append(leased_standins.Worker(
                own, f"w{i}", self.store, speed=(0.7, 1.0, 1.5)[i % 3],
                address=f"127.0.0.1:{by_link}",
                acknowledged=self.acknowledged))
        groups = [[ports.pop() for _ in range(5)] for _ in range(instances)]
        for i, (_, _, peers, peers_by_link, store) in enumerate(groups):
            routes.append(f"127.0.0.1:{peers_by_link}=127.0.0.1:{peers}="
                          f"peer-{i}")
            routes.append(f"127.0.0.1:{store}={self.store.address}=store-{i}")
        self.link = self.start_link(build, routes)
        seeds = [f"127.0.0.1:{g[3]}" for g in groups[:3]]
        self.instances = [
            Instance(self, f"e{i}", g[:4], seeds, f"127.0.0.1:{g[4]}")
            for i, g in enumerate(groups)]

    def start_link(self, build, routes):
        self.rules_path = os.path.join(self.folder, "rules")
        with open(self.rules_path, "w", encoding="ascii"):
            pass
        arguments = [os.path.join(build, "tests/standins/standin-link"),
                     "--rules", self.rules_path]
        for route in routes:
            arguments += ["--route", route]
        link = subprocess.Popen(arguments, stdout=subprocess.PIPE)
        link.stdout.readline()  # "ready"
        return link

    def set_rules(self, name, lines):
        """Applies a fault's rules, or removes them when lines is empty."""
        with self.rules_lock:
            if lines:
                self.rules[name] = lines
            else:
                self.rules.pop(name, None)
            with open(self.rules_path, "w", encoding="ascii") as file:
                for rules in self.rules.values():
                    file.writelines(line + "\n" for line in rules)
            self.link.send_signal(signal.SIGHUP)
            self.link.stdout.readline()

    def put_config(self):
        """Stores a new version, with a queue that only this version has."""
        self.store.put("op/config", leased_standins.config(
            self.version, ("/q/", f"/v{self.version}/")))
        self.version += 1
        return time.monotonic()

    def heal(self):
        with self.rules_lock:
            names = list(self.rules)
        for name in names:
            self.set_rules(name, None)
        self.store.fault = None
        for worker in self.workers:
            worker.fault = None
            worker.register(self.store, "ready")
        for instance in self.instances:
            instance.resume()
            instance.set_clock(0)

    def wait_ready(self):
        """Starts ended instances and waits until all are ready."""
        def ready():
            for instance in self.instances:
                if not instance.is_running():
                    instance.start()
            return all(i.is_ready() for i in self.instances)
        wait_for("all instances to be ready", ready, READY_LIMIT_S)

    def close(self):
        for instance in self.instances:
            instance.resume()
            if instance.is_running():
                instance.process.kill()
            instance.process.wait()
        self.link.kill()
        self.link.wait()
        for server in [self.store, *self.workers]:
            server.close()

"""Bad input from callers, operators and peers.

Every error is typed JSON, a bad request starts no task, and the instance
continues to serve afterwards.
"""
import json
import os
import socket
import struct
import unittest

from tests.system.cluster import TOKEN, Cluster, document, job, wait_for

BUILD = os.environ["BERGAMOT_BUILD"]
GOOD = json.dumps(job(1))
DEEP = '{"service":"quote","tasks":[{"body":%s1%s}]}' % ("[" * 40, "]" * 40)
LONG = "x" * 100

# body, HTTP status, reason
BODIES = (
    ("", 400, "syntax"),
    (GOOD[:-5], 400, "syntax"),
    (GOOD + "x", 400, "syntax"),
    (DEEP, 400, "syntax"),
    ("\xff\xfe", 400, "syntax"),
    ('{"service":"quote"', 400, "syntax"),
    ("null", 400, "wrong_type"),
    ("[]", 400, "wrong_type"),
    ('"quote"', 400, "wrong_type"),
    ('{"service":5,"tasks":[{}]}', 400, "wrong_type"),
    ('{"service":"quote","tasks":{}}', 400, "wrong_type"),
    ('{"service":"quote","tasks":[1]}', 400, "wrong_type"),
    ('{"service":"quote","tasks":[{"run_ms":"1"}]}', 400, "wrong_type"),
    ('{"service":"quote","tasks":[{"run_ms":-1}]}', 400, "out_of_range"),
    ('{"service":"quote","tasks":[{"run_ms":1e99}]}', 400, "wrong_type"),
    ('{"service":"quote","deadline_ms":0,"tasks":[{}]}', 400, "out_of_range"),
    ('{"service":"quote","deadline_ms":99999999999,"tasks":[{}]}', 400,
     "out_of_range"),
    ('{"service":"quote","tasks":[]}', 400, "out_of_range"),
    ('{"service":"quote","tasks":[%s{}]}' % ("{}," * 50), 400,
     "too_many_tasks"),
    ('{"service":"quote","tasks":[{"x\\"y":1}]}', 400, "unknown_key"),
    ('{"service":"quote","x\\"y":1,"tasks":[{}]}', 400, "unknown_key"),
    ('{"service":"a\\"b\\u0000","tasks":[{}]}', 400, "out_of_range"),
    ('{"service":"%s","tasks":[{}]}' % LONG, 400, "out_of_range"),
    ('{"tasks":[{}]}', 400, "missing_key"),
    ('{"service":"quote"}', 400, "missing_key"),
    ('{"service":"none","tasks":[{}]}', 422, "unknown_service"),
    ('{"service":"quote","team":"none","tasks":[{}]}', 422, "unknown_team"),
    ("x" * 10_000_000, 413, "body_too_large"),
)

# method, path, HTTP status, reason
PATHS = (
    ("GET", "/", 404, "bad_path"),
    ("GET", "/v1/jobs/a/b", 404, "bad_path"),
    ("GET", "/v1/jobs/", 404, "bad_path"),
    ("GET", "/v1/status", 404, "bad_path"),  # operators only
    ("GET", "/" + "x" * 3000, 404, "bad_path"),
    ("GET", "/" + "x" * 17000, 431, "header_too_large"),
    ("PATCH", "/v1/jobs", 405, "bad_method"),
    ("BREW", "/v1/job-ids", 405, "bad_method"),
    ("POST", "/v1/jobs/some-id", 405, "bad_method"),
    ("POST", "/v1/job-ids?count=0", 400, "bad_count"),
    ("POST", "/v1/job-ids?count=1001", 400, "bad_count"),
    ("POST", "/v1/job-ids?count=2x", 400, "bad_count"),
    ("POST", "/v1/job-ids?count=", 400, "bad_count"),
    ("GET", "/v1/jobs/no-such-id", 404, "bad_id"),
    ("GET", "/v1/jobs/%22%3Cb%3E", 404, "bad_id"),
    ("DELETE", "/v1/jobs/" + "0" * 60, 404, None),
)


class BadInput(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = cls.enterClassContext(Cluster(BUILD))
        _, workers = cls.cluster.workers("a", 1)
        cls.cluster.document = document(workers)
        cls.one = cls.cluster.instance("a1", "a", {
            "callers": {"connections": 20, "idle_ms": 1000},
            "jobs": {"tasks": 50}})
        cls.other = cls.cluster.instance("o1", "a", {
            "cluster": "other", "peers": {"seeds": []}})
        cls.other.start()
        cls.one.start()
        for instance in (cls.one, cls.other):
            wait_for(instance.name, lambda i=instance:
                     (i.status() or {}).get("ready") and i.ids())

    def tearDown(self):
        """After each test the instance still completes a job."""
        status, answer, _ = wait_for("an answer", lambda: self.try_job())
        self.assertEqual((status, answer["outcome"]), (200, "complete"))

    def try_job(self):
        try:
            return self.one.submit(job(2))
        except OSError:
            return None

    def assert_rejected(self, answer, status, reason):
        code, body, headers = answer
        self.assertEqual(headers["Content-Type"], "application/json")
        self.assertEqual((code, body["reason"]),
                         (status, reason or body["reason"]))
        self.assertIn(body["outcome"], ("rejected", "not_run"))

    def test_bodies(self):
        before = len(self.cluster.starts())
        for body, status, reason in BODIES:
            for method, path in (("POST", "/v1/jobs"),
                                 ("PUT", "/v1/jobs/" + self.one.ids()[0])):
                with self.subTest(body=body[:70], method=method):
                    answer = self.one.request(
                        method, path, body.encode("latin-1"))
                    self.assert_rejected(answer, status, reason)
        self.assertEqual(len(self.cluster.starts()), before)

    def test_paths_and_methods(self):
        for method, path, status, reason in PATHS:
            with self.subTest(method=method, path=path[:40]):
                self.assert_rejected(self.one.request(method, path), status,
                                     reason)

    def test_ids_of_another_system(self):
        foreign = self.other.ids()[0]
        for method in ("GET", "PUT", "DELETE"):
            answer = self.one.request(method, "/v1/jobs/" + foreign,
                                      GOOD if method == "PUT" else None)
            self.assert_rejected(answer, 404, "foreign_id")
        unused = self.one.ids()[0]
        self.assert_rejected(self.one.request("GET", "/v1/jobs/" + unused),
                             404, "id_unused")

    def test_keys(self):
        for key in ("", "a b", "x" * 201, 'q"'):
            with self.subTest(key=key):
                self.assert_rejected(
                    self.one.request("POST", "/v1/jobs", GOOD,
                                     {"Idempotency-Key": key}), 400, "bad_key")

    def test_operators_tokens(self):
        for header in (None, "Bearer ", "Bearer x", "Basic " + TOKEN,
                       "Bearer " + TOKEN[:-1], "Bearer " + TOKEN + "x",
                       "bearer" + TOKEN):
            with self.subTest(header=header):
                answer = self.one.request(
                    "GET", "/v1/status", None,
                    {"Authorization": header} if header else {},
                    self.one.operators)
                self.assert_rejected(answer, 401, "unauthorized")
        self.assert_rejected(self.one.operator("POST", "/v1/nothing", "{"),
                             404, "bad_path")
        with open(os.path.join(self.cluster.folder, "a1.log"),
                  encoding="utf-8") as log:
            self.assertNotIn(TOKEN, log.read())

    def test_raw_requests(self):
        """Bytes that are not HTTP, oversize headers, an incomplete body."""
        for text in (b"\x00\x01\xfe\xff\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n",
                     b"POST /v1/jobs HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                     b"GET / HTTP/1.1\r\nX: " + b"y" * 40000 + b"\r\n\r\n",
                     b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\n"
                     b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                     b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\n"
                     b"Content-Length: 100\r\n\r\n{"):
            with self.subTest(text=text[:40]), self.connect() as sock:
                self.send(sock, text)
                answer = self.read_all(sock)
                self.assertNotRegex(answer, rb"^HTTP/1.1 2")

    def test_slow_clients(self):
        """With more stalled clients than allowed connections, the idle timeout
        closes theirs, and other callers are served."""
        held = [self.connect() for _ in range(60)]
        for sock in held:
            self.send(sock, b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\nCont")
        wait_for("an answer despite stalled clients", self.try_job)
        for sock in held:
            sock.close()

    def test_peer_port(self):
        """Junk, an oversize frame, an empty frame, a truncated frame."""
        before = self.one.metrics()["bergamot_peer_bad_frames"]
        big = struct.pack(">I", 0x7fffffff) + b"x" * 100
        junk = bytes(range(256)) * 64
        cut = struct.pack(">I", 60) + b"\x0a"
        for data in (junk, big, struct.pack(">I", 0), cut):
            with self.subTest(data=data[:4]), self.connect(
                    self.one.peers) as sock:
                self.send(sock, data)
                sock.shutdown(socket.SHUT_WR)
                self.read_all(sock)
        self.assertGreaterEqual(
            self.one.metrics()["bergamot_peer_bad_frames"], before + 2)
        alive = [m for m in self.one.status()["members"]
                 if m["state"] == "alive"]
        self.assertEqual([m["instance"] for m in alive], ["a1"])

    def test_silent_peers(self):
        """More connections than allowed links that never send a Hello are
        closed."""
        held = [self.connect(self.one.peers) for _ in range(1100)]
        for sock in held:
            self.read_all(sock)  # a timeout would be an error
            sock.close()

    def connect(self, port=None):
        sock = socket.create_connection(
            ("127.0.0.1", port or self.one.callers), 60)
        return sock

    @staticmethod
    def send(sock, data):
        try:
            sock.sendall(data)
        except OSError:
            pass

    @staticmethod
    def read_all(sock):
        """Reads until the other side closes the connection."""
        data = b""
        try:
            while piece := sock.recv(65536):
                data += piece
        except ConnectionError:
            pass
        return data


if __name__ == "__main__":
    unittest.main()

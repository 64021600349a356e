"""The fenced sh commands of README and docs run as written.

The default ports are replaced by free ports, so that the test can run beside
an instance.
"""
import os
import re
import subprocess
import unittest

from tests.system.cluster import Cluster, document

BUILD = os.environ["BERGAMOT_BUILD"]
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(__file__)))
PAGES = ("README.md", "docs/OPERATIONS.md", "docs/CALLERS.md")


# Files that define the reasons in answers to callers, and their patterns.
REASONS = (
    ("packages/core/outcome.h", r'^\tX\(\w+, "(\w+)", \d'),
    ("packages/core/job_request.c", r'\[JOB_REQUEST_(?!OK)\w+\] = "(\w+)"'),
    ("packages/adapters/callers.c", r'reply_error\([^";]*"(\w+)"'),
    ("packages/adapters/http_server.c", r'refuse\(r, \d+, "(\w+)"'))


def read(page):
    with open(os.path.join(ROOT, page), encoding="utf-8") as text:
        return text.read()


def commands(page):
    return re.findall(r"^```sh\n(.*?)^```", read(page), re.M | re.S)


class Docs(unittest.TestCase):
    def test_every_reason(self):
        page = read("docs/CALLERS.md")
        for path, pattern in REASONS:
            words = set(re.findall(pattern, read(path), re.M))
            self.assertTrue(words, path)
            self.assertEqual([w for w in sorted(words)
                              if f"`{w}`" not in page], [], path)

    def test_every_fenced_command(self):
        with Cluster(BUILD) as cluster:
            _, workers = cluster.workers("a", 2)
            cluster.document = document(workers, teams=[{"name": "north"}])
            instance = cluster.instance("a1", "a")
            cluster.start()
            for page in PAGES:
                for text in commands(page):
                    with self.subTest(page=page, command=text):
                        self.run_command(text, instance)

            metrics = set(instance.metrics())
        # The docs name a histogram once, without _bucket, _sum and _count.
        counters = {re.sub(r"_seconds_(bucket\{.*\}|sum|count)$", "_seconds",
                           name) for name in metrics}
        named = set(re.findall(r"`(bergamot_\w+)`", read(PAGES[1])))
        self.assertEqual(named, counters)

    def run_command(self, text, instance):
        text = text.replace("127.0.0.1:7400", f"127.0.0.1:{instance.callers}")
        text = text.replace("127.0.0.1:7401",
                            f"127.0.0.1:{instance.operators}")
        text = text.replace("operators.token", instance.cluster.token_file)
        done = subprocess.run(["bash", "-euo", "pipefail", "-c", text],
                              cwd=ROOT, capture_output=True, text=True,
                              timeout=300, check=False)
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertNotIn('"outcome":"rejected"', done.stdout)


if __name__ == "__main__":
    unittest.main()

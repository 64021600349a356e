"""Planned stops cut off no request, and each task starts at most once.

All instances are stopped and replaced in turn under load; every job is then
submitted again at all instances. Starts are taken from the workers' record.
"""
import collections
import os
import random
import signal
import threading
import unittest

from tests.system.cluster import Cluster, document, job, wait_for

BUILD = os.environ["BERGAMOT_BUILD"]
CALLERS = 4
TASKS = 3
FINAL = ("complete", "failed", "not_run")


class Caller(threading.Thread):
    """Submits one job after another, and repeats requests without answer."""

    def __init__(self, cluster, seed):
        super().__init__()
        self.cluster = cluster
        self.random = random.Random(seed)
        self.over = threading.Event()
        self.answers = {}
        self.cut_off = []

    def attempt(self, call):
        """Repeats the call at random instances until one answers."""
        while True:
            try:
                return call(self.random.choice(self.cluster.instances))
            except ConnectionRefusedError:
                continue
            except OSError as error:
                self.cut_off.append(repr(error))

    def run(self):
        while not self.over.is_set():
            for job_id in self.attempt(lambda i: i.ids()):
                _, body, _ = self.attempt(
                    lambda i, n=job_id: i.submit(job(TASKS), n))
                self.answers[job_id] = body


def starts_of(cluster):
    return collections.Counter(start["task"] for start in cluster.starts())


class RollingStop(unittest.TestCase):
    def check_answer(self, job_id, body, starts):
        ran = [starts.get(f"{job_id}/{task}", 0) for task in range(TASKS)]
        self.assertLessEqual(max(ran), 1, f"{job_id} started twice")
        if body["outcome"] == "complete":
            self.assertEqual([r["answer"] for r in body["results"]],
                             list(range(TASKS)))
            self.assertEqual(min(ran), 1)
        if body["outcome"] == "not_run":
            self.assertEqual(max(ran), 0, f"{job_id} ran: {body}")

    def check_all(self, cluster, callers):
        starts = starts_of(cluster)
        kinds = {}
        for caller in callers:
            self.assertEqual(caller.cut_off, [])
            for job_id, body in caller.answers.items():
                kind = body["outcome"] + " " + body["reason"]
                kinds[kind] = kinds.get(kind, 0) + 1
                self.check_answer(job_id, body, starts)
                for instance in cluster.instances:
                    again = instance.submit(job(TASKS), job_id)[1]
                    if body["outcome"] in FINAL:
                        self.assertEqual(again, body)
                    self.check_answer(job_id, again, starts)
        self.assertEqual(starts_of(cluster), starts, "a repeat ran again")
        return kinds

    def restart(self, instances):
        """Stops the instances, all at once, and starts them again."""
        for instance in instances:
            instance.process.signal(signal.SIGTERM)
        for instance in instances:
            self.assertEqual(instance.process.stop(), 0)
        for instance in instances:
            instance.start()
        cluster = instances[0].cluster
        wait_for("the new instances to see all", lambda: all(
            cluster.sees_all(i) for i in cluster.instances))

    def test_all_in_turn(self):
        self.stop_under_load([[0], [1], [2], [3], [4]])

    def test_two_at_once(self):
        self.stop_under_load([[0, 1], [2, 3], [1, 2]])

    def stop_under_load(self, rounds):
        with Cluster(BUILD) as cluster:
            _, a = cluster.workers("a", 2)
            _, b = cluster.workers("b", 1)
            cluster.document = document(a + b)
            for name, data_centre in (("a1", "a"), ("a2", "a"), ("a3", "a"),
                                      ("b1", "b"), ("b2", "b")):
                cluster.instance(name, data_centre,
                                 {"stop": {"grace_ms": 200}})
            cluster.start()
            callers = [Caller(cluster, seed) for seed in range(CALLERS)]
            for caller in callers:
                caller.start()
            try:
                for round_ in rounds:
                    self.restart([cluster.instances[i] for i in round_])
            finally:
                for caller in callers:
                    caller.over.set()
                for caller in callers:
                    caller.join()
            kinds = self.check_all(cluster, callers)
            print("answers:", kinds)
            self.assertGreater(kinds.get("complete ", 0), 0)
            self.assertFalse([k for k in kinds if k.startswith("unknown")])

    def test_successor_killed(self):
        """A stopped owner's records survive when either of the other instances
        is killed during the hand-over."""
        for victim in (0, 1):
            with Cluster(BUILD) as cluster:
                _, a = cluster.workers("a", 1)
                cluster.document = document(a)
                for name in ("a1", "a2", "a3"):
                    cluster.instance(name, "a")
                cluster.start()
                owner = [i for i in cluster.instances
                         if i.status()["dispatcher"]][0]
                ids = owner.ids(20)
                answers = [owner.submit(job(TASKS), n)[1] for n in ids[:10]]
                others = [i for i in cluster.instances if i != owner]
                owner.process.signal(signal.SIGTERM)
                others[victim].process.kill()
                self.assertEqual(owner.process.stop(), 0)
                last = others[1 - victim]
                for job_id, answer in zip(ids, answers):
                    self.assertEqual(last.submit(job(TASKS), job_id)[1],
                                     answer)
                for job_id in ids[10:]:
                    body = last.submit(job(TASKS), job_id)[1]
                    self.assertEqual((body["outcome"], body["reason"]),
                                     ("not_run", "closed"))
                self.assertEqual(len(starts_of(cluster)), 10 * TASKS)

    def test_running_jobs_are_answered(self):
        """A job that runs while its owner stops is answered completely."""
        with Cluster(BUILD) as cluster:
            _, a = cluster.workers("a", 1)
            cluster.document = document(a)
            for name in ("a1", "a2"):
                cluster.instance(name, "a", {"stop": {"grace_ms": 0}})
            cluster.start()
            ids = {i.name: i.ids()[0] for i in cluster.instances}
            answers = {}

            def submit(instance):
                answers[instance.name] = instance.submit(
                    job(TASKS, 500), ids[instance.name])[1]

            threads = [threading.Thread(target=submit, args=(i,))
                       for i in cluster.instances]
            for thread in threads:
                thread.start()
            wait_for("all tasks to run",
                     lambda: len(starts_of(cluster)) == 2 * TASKS)
            self.assertEqual(cluster.instances[0].process.stop(), 0)
            for thread in threads:
                thread.join()
            last = cluster.instances[1]
            for name, job_id in ids.items():
                self.assertEqual(answers[name]["outcome"], "complete")
                self.assertEqual(last.submit(job(TASKS, 500), job_id)[1],
                                 answers[name])


if __name__ == "__main__":
    unittest.main()

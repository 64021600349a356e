"""The history checker accepts a good history and rejects each bad one."""
import copy
import json
import os
import tempfile
import unittest

from tests.system.history import (History, Mark, Request, Stop, Version,
                                  read_workers)

S = 1_000_000


def body(count=2):
    return {"service": "quote",
            "tasks": [{"body": {"answer": i}} for i in range(count)]}


def answer(job, count=2, **more):
    return {"job": job, "outcome": "complete", "reason": "", "started": count,
            "results": [{"task": f"{job}/{i}", "worker": "w", "answer": i}
                        for i in range(count)], **more}


def line(event, task, worker="w", token="1", wall_us=S):
    return {"event": event, "task": task, "worker": worker, "token": token,
            "wall_us": wall_us}


def ran(job, count=2):
    return [line(event, f"{job}/{i}") for i in range(count)
            for event in ("start", "end")]


def good():
    """Keyword arguments of a history without violations."""
    return copy.deepcopy({
        "requests": [
            Request("submit", "j1", "a1", S, 2 * S, body(), answer("j1")),
            Request("submit", "j1", "a2", S, 2 * S, body(),
                    {"job": "j1", "outcome": "unknown",
                     "reason": "owner_unreachable"}),
            Request("fetch", "j1", "b1", 3 * S, 4 * S, None, answer("j1")),
            Request("submit", "j2", "a1", S, 2 * S, body(),
                    {"job": "j2", "outcome": "not_run",
                     "reason": "over_quota", "started": 0}),
            Request("submit", "j3", "a1", S, 2 * S, body(),
                    {"job": "j3", "outcome": "failed", "started": 1,
                     "reason": "task_unknown"}),
            Request("submit", "k1", "a1", S, 2 * S, body(), answer("k1"),
                    key="key"),
            Request("submit", "", "a2", S, 2 * S, body(), None, "refused"),
        ],
        "workers": ran("j1") + ran("k1") + [
            line("start", "j3/0"), line("refuse", "j3/1"),
            line("start", "j3/1", token="2"),
            line("start", "j4/0", "leaver", wall_us=12 * S)],
        "marks": [Mark("leaver", 10 * S)],
        "stops": [Stop("a1", 5 * S, 9 * S)],
        "polls": [Version(1, S, "a1"), Version(2, 9 * S, "a1"),
                  Version(2, 30 * S, "a1"), Version(2, 31 * S, "b1")],
        "accepted": [Version(2, 8 * S)],
    })


def request(history, index, **changes):
    for name, value in changes.items():
        setattr(history["requests"][index], name, value)


def change(history, index, **changes):
    history["requests"][index].answer.update(changes)


def add(history, part, *items):
    history[part].extend(items)


# name of the violated row, then the change that makes the history bad
BAD = (
    ("at_most_once", lambda h: add(h, "workers", line(
        "start", "j1/0", "other", "9"))),
    ("at_most_once", lambda h: add(h, "workers", line("start", "j1/0"))),
    ("whole", lambda h: h["requests"][0].answer["results"].reverse()),
    ("whole", lambda h: h["requests"][2].answer["results"].pop()),
    ("whole", lambda h: request(h, 2, answer=answer("j9"))),
    ("whole", lambda h: request(h, 0, body=body(3))),
    ("whole", lambda h: h["workers"].remove(line("end", "j1/1"))),
    ("partial", lambda h: change(h, 4, results=[])),
    ("partial", lambda h: h["requests"][0].answer.pop("results")),
    ("agree", lambda h: request(h, 2, answer={
        "job": "j1", "outcome": "failed", "reason": "cancelled",
        "started": 2})),
    ("agree", lambda h: change(h, 2, started=1)),
    ("not_run", lambda h: add(h, "workers", line("start", "j2/0"))),
    ("not_run", lambda h: (change(h, 4, outcome="unknown",
                                  this_attempt="not_forwarded"))),
    ("keyed", lambda h: (add(h, "workers", *ran("k2")),
                         add(h, "requests", Request(
                             "submit", "k2", "b1", S, 2 * S, body(),
                             answer("k2"), key="key")))),
    ("leaving", lambda h: add(h, "workers", line(
        "start", "j4/1", "leaver", wall_us=14 * S))),
    ("stop", lambda h: add(h, "requests", Request(
        "submit", "j5", "a1", 4 * S, 6 * S, body(), None, "broken"))),
    ("stop", lambda h: add(h, "requests", Request(
        "submit", "j5", "a2", 6 * S, 7 * S, body(),
        {"job": "j5", "outcome": "unknown", "reason": "owner_gone"}))),
    ("config", lambda h: add(h, "polls", Version(1, 32 * S, "b1"))),
    ("config", lambda h: add(h, "polls", Version(1, 30 * S, "c1"))),
    ("config", lambda h: add(h, "accepted", Version(3, 29 * S))),
)


class Checker(unittest.TestCase):
    def test_good_history_is_accepted(self):
        self.assertEqual(History(**good()).violations(), [])

    def test_each_bad_history_is_rejected(self):
        for number, (row, spoil) in enumerate(BAD):
            with self.subTest(row=row, number=number):
                history = good()
                spoil(history)
                rows = {v.split(":")[0]
                        for v in History(**history).violations()}
                self.assertIn(row, rows)

    def test_record_cut_short_by_a_kill(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "record")
            with open(path, "w", encoding="utf-8") as out:
                out.write(json.dumps(line("start", "j/0")) + '\n{"eve')
            self.assertEqual(read_workers([path]), [line("start", "j/0")])


if __name__ == "__main__":
    unittest.main()

"""A worker that restarts with an earlier start time runs each task beside
another worker."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../../common"))

import deployment  # noqa: E402

# More than seven of the eight workers have room for.
BODY = {"spec": "{}", "best_effort": True, "steps": [
    {"count": 30, "cpu": 4000, "mem_mb": 64, "estimate_ms": 400}]}
STEP_MS = 2000
STEP_S = 1.2  # the time of day is ahead for so long
DOWN_S = 0.1
LOAD_S = 6


def scene(site, trouble):
    site.put_config(deployment.config(1, [deployment.route("/q/")]))
    for i in range(8):
        site.add_worker(f"w{i}", labels=("a", f"r1-{i}"))
    worker = site.workers[0]
    site.start()
    time.sleep(2)
    if trouble:
        begin = time.monotonic()
        site.record.add("clock", "step", machine=worker.name, ms=STEP_MS)
        worker.wall_ahead_ms = STEP_MS
        worker.crash(DOWN_S)
        time.sleep(begin + STEP_S - time.monotonic())
        site.record.add("clock", "step", machine=worker.name, ms=-STEP_MS)
        worker.wall_ahead_ms = 0
        worker.crash(DOWN_S)
    end = time.monotonic() + LOAD_S
    i = 0
    while time.monotonic() < end:
        i += 1
        site.submit(site.entries[i % 3], "/q/", f"{i:016x}", BODY)
    time.sleep(1)


def judge(site):
    return [f"TWICE: task {task}: run {b[1]} began on {b[0]} at {b[2]:.3f}"
            f" while run {a[1]} was running on {a[0]} since {a[2]:.3f}"
            for task, a, b in deployment.overlaps(site.record)]


if __name__ == "__main__":
    deployment.play(FOLDER, scene, judge)

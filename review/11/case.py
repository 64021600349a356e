"""Another writer puts an entry of its own under a worker's key."""
import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../common-3"))
from world import play, route  # noqa: E402

LENGTH_S = 40


def job():
    return {"spec": "3000", "best_effort": True, "steps": [
        {"count": 2, "cpu": 4000, "mem_mb": 64, "estimate_ms": 3000}]}


def odd_entry():
    """All fields of a worker's entry, but a service that no config names."""
    return json.dumps({
        "service": "archive", "addr": "127.0.0.1:9", "zone": "z-1",
        "version": "v7", "slots": 8, "state": "ready", "cold_left_ms": 0,
        "seq": 1, "born": int(time.time() * 1000), "labels": ["c", "r9-9"],
        "capacity": {"cpu": 4000, "mem_mb": 8192, "gpu": 0}})


def overlaps(runs):
    by_task = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    found = []
    for task, same in by_task.items():
        same.sort(key=lambda r: r.begin)
        for one, two in zip(same, same[1:]):
            over = one.over or time.monotonic()
            if two.begin < over:
                found.append(
                    f"{task}: run {two.number} on worker {two.worker.name} "
                    f"starts while run {one.number} goes on on worker "
                    f"{one.worker.name}, for {over - two.begin:.3f} s more")
    return found


def main(world):
    for _ in range(10):
        world.add_worker()
    world.write_config(1, [route("q", "/q/")])
    world.begin()
    end = time.monotonic() + LENGTH_S
    number = 0
    while time.monotonic() < end:
        number += 1
        threading.Thread(target=world.submit, daemon=True, args=(
            world.instances[number % 3], f"/q/{number:016x}", job(),
            10000)).start()
        time.sleep(1)
        if world.trouble and number % 8 == 3:
            worker = max(world.workers, key=lambda w: len(w.running))
            world.record(f"another writer puts an entry of service archive "
                         f"under the key of worker {worker.name}")
            world.store.put("servers/" + worker.name, odd_entry())
    time.sleep(5)
    runs = world.runs()
    if len(runs) < 20:
        raise RuntimeError("too few tasks ran")
    return overlaps(runs)


play(main)

"""Another writer puts entries that can't be read, and a worker drains."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../common-3"))
from world import play, route  # noqa: E402

DRAIN_S = 2.0  # drain_ms
MARGIN_S = 0.2
SERVES_S = 9.0  # a draining worker, before it leaves
ODD_ENTRIES = 7
VALUE_BYTES = 1048576  # platform.value_bytes
ROUNDS = 2


def job():
    return {"spec": "100", "best_effort": True, "steps": [
        {"count": 8, "cpu": 7000, "mem_mb": 64, "estimate_ms": 100}]}


def send_jobs(world, over):
    number = 0
    while not over.is_set():
        number += 1
        threading.Thread(target=world.submit, daemon=True, args=(
            world.instances[number % 3], f"/q/{number:016x}", job(),
            1500)).start()
        time.sleep(0.25)


def write_odd_entries(world):
    value = os.urandom(VALUE_BYTES)
    for number in range(ODD_ENTRIES):
        world.store.put(f"servers/odd-{number}", value)
    world.record(f"another writer puts {ODD_ENTRIES} entries of {VALUE_BYTES} "
                 "bytes")


def drain(world, worker):
    """Returns the starts on a draining worker that come too late."""
    with worker.lock:
        worker.state = "draining"
        worker.register()
        ack = time.monotonic()
        known = len(worker.history)
    world.record(f"worker {worker.name} is draining")
    time.sleep(SERVES_S)
    late = [r for r in worker.history[known:]
            if r.begin > ack + DRAIN_S + MARGIN_S]
    worker.crash()
    time.sleep(0.3)
    worker.restart()
    return [f"{r.task} starts on worker {worker.name} {r.begin - ack:.2f} s "
            "after it was draining" for r in late]


def main(world):
    for _ in range(4):
        world.add_worker()
    world.write_config(1, [route("q", "/q/")])
    world.begin()
    over = threading.Event()
    threading.Thread(target=send_jobs, args=(world, over),
                     daemon=True).start()
    time.sleep(3)
    breaches = []
    for number in range(ROUNDS):
        if world.trouble:
            write_odd_entries(world)
        time.sleep(1)
        breaches += drain(world, world.workers[number])
        time.sleep(25)  # the store discards its history meanwhile
    over.set()
    time.sleep(2)
    if len(world.runs()) < 500:
        raise RuntimeError("too few tasks ran")
    return breaches


play(main)

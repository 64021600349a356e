"""The faults of a soak: one seed gives one schedule."""
import random
import signal
import time

LONGEST_S = 4.0  # of one fault
NEXT_S = 0.9  # mean time between two; they overlap


def _kill(site, draw, _end):
    instance = draw.choice(site.instances)
    instance.kill()
    time.sleep(draw.uniform(0.0, 1.5))
    instance.start()


def _kill_all(site, _draw, _end):
    for instance in site.instances:
        instance.kill()
    for instance in site.instances:
        instance.start()


def _stop(site, draw, _end):
    """A planned stop, at times with more signals on top."""
    instance = draw.choice(site.instances)
    if instance.stopped_at is not None or not instance.runs():
        return
    life = instance.life
    instance.terminate()
    for _ in range(draw.choice([0, 0, 1, 2])):
        time.sleep(draw.uniform(0.0, 0.5))
        if draw.random() < 0.5:
            instance.signal(signal.SIGHUP)
        else:
            instance.terminate()  # of the next life, if it has begun
    while instance.runs() and instance.life == life:
        time.sleep(0.05)
    if instance.life == life:
        instance.start()


def _roll(site, draw, end):
    for _ in range(2):
        _stop(site, draw, end)


def _pause(site, draw, end):
    instance = draw.choice(site.instances)
    instance.pause()
    time.sleep(end - time.monotonic())
    instance.resume()


def _hup(site, draw, _end):
    for instance in draw.sample(site.instances, 2):
        instance.signal(signal.SIGHUP)


def _links(site, draw, end, lines):
    name = f"{time.monotonic()}"
    site.set_rules(name, lines)
    time.sleep(max(0.0, end - time.monotonic()))
    site.set_rules(name, None)


def _cut_peer(site, draw, end):
    """An instance and the others, in one direction or both."""
    i = draw.randrange(len(site.instances))
    mode = draw.choice(["cut", "freeze", "mute", "delay"])
    lines = [f"{mode} * peer-{i} 300"]
    if draw.random() < 0.6:
        lines.append(f"{mode} e{i} peer-* 300")
    _links(site, draw, end, lines)


def _reset_peers(site, draw, _end):
    _links(site, draw, time.monotonic() + 0.1, ["reset * peer-* 0"])


def _cut_store(site, draw, end):
    i = draw.randrange(len(site.instances))
    mode = draw.choice(["cut", "freeze", "mute", "delay"])
    _links(site, draw, end, [f"{mode} - store-{i} 800"])


def _cut_worker(site, draw, end):
    i = draw.randrange(len(site.workers))
    mode = draw.choice(["cut", "freeze", "mute", "reset", "delay"])
    _links(site, draw, end, [f"{mode} - worker-{i} 400"])


def _store(site, draw, end):
    site.store.fault = draw.choice(
        ["busy", "silent", "slow", "lost", "forgetful"])
    time.sleep(max(0.0, end - time.monotonic()))
    site.store.fault = None


def _worker(site, draw, end):
    worker = draw.choice(site.workers)
    worker.fault = draw.choice(["refuse", "late", "lost", "hang", "fail"])
    time.sleep(max(0.0, end - time.monotonic()))
    worker.fault = None


def _crash_worker(site, draw, _end):
    worker = draw.choice(site.workers)
    worker.crash()
    time.sleep(draw.uniform(0.0, 1.0))
    worker.register(site.store, "ready")


def _drain_worker(site, draw, end):
    worker = draw.choice(site.workers)
    worker.register(site.store, "draining")
    time.sleep(max(0.0, end - time.monotonic()))
    worker.register(site.store, "ready")


def _config(site, draw, _end):
    for _ in range(draw.choice([1, 1, 4])):
        site.put_config()
        time.sleep(0.2)


def _clock(site, draw, end):
    """The time of day jumps, and back or not."""
    instance = draw.choice(site.instances)
    instance.set_clock(draw.choice([-3600, -30, -3, 3, 30, 3600]))
    time.sleep(max(0.0, end - time.monotonic()))
    if draw.random() < 0.7:
        instance.set_clock(0)


# Weights: what takes an instance away is drawn more often.
KINDS = [
    (_kill, 4), (_kill_all, 1), (_stop, 4), (_roll, 1), (_pause, 4),
    (_hup, 1), (_cut_peer, 5), (_reset_peers, 2), (_cut_store, 2),
    (_cut_worker, 4), (_store, 3), (_worker, 5), (_crash_worker, 3),
    (_drain_worker, 1), (_config, 3),
]


def schedule(seed, length_s):
    """Rows of time, kind, seed of its own draws and length."""
    draw = random.Random(seed)
    rows = []
    at = 0.5
    while at < length_s:
        kind = draw.choices([k for k, _ in KINDS], [w for _, w in KINDS])[0]
        rows.append((at, kind, draw.random(), draw.uniform(0.3, LONGEST_S)))
        at += draw.expovariate(1 / NEXT_S)
    # Drawn apart: what the seeds of before played stays as it was.
    clocks = random.Random(f"clocks {seed}")
    for _ in range(clocks.choice([1, 2, 3])):
        rows.append((clocks.uniform(0.5, length_s), _clock, clocks.random(),
                     clocks.uniform(0.3, LONGEST_S)))
    return sorted(rows, key=lambda row: row[0])


def strike(site, row):
    _, kind, seed, for_s = row
    kind(site, random.Random(seed), time.monotonic() + for_s)


def name_of(row):
    return row[1].__name__.strip("_")

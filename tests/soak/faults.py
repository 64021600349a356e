"""The faults of a soak. A seed determines the schedule."""
import random
import signal
import time

MAX_FAULT_S = 4.0
MEAN_INTERVAL_S = 0.9  # between the starts of faults, which overlap


def _kill(site, rng, _end):
    instance = rng.choice(site.instances)
    instance.kill()
    time.sleep(rng.uniform(0.0, 1.5))
    instance.start()


def _kill_all(site, _rng, _end):
    for instance in site.instances:
        instance.kill()
    for instance in site.instances:
        instance.start()


def _stop(site, rng, _end):
    """A planned stop, sometimes followed by further signals."""
    instance = rng.choice(site.instances)
    if instance.sigterm_at is not None or not instance.is_running():
        return
    incarnation = instance.incarnation
    instance.terminate()
    for _ in range(rng.choice([0, 0, 1, 2])):
        time.sleep(rng.uniform(0.0, 0.5))
        if rng.random() < 0.5:
            instance.signal(signal.SIGHUP)
        else:
            instance.terminate()  # the next incarnation, if it started
    while instance.is_running() and instance.incarnation == incarnation:
        time.sleep(0.05)
    if instance.incarnation == incarnation:
        instance.start()


def _rolling_stop(site, rng, end):
    for _ in range(2):
        _stop(site, rng, end)


def _pause(site, rng, end):
    instance = rng.choice(site.instances)
    instance.pause()
    time.sleep(end - time.monotonic())
    instance.resume()


def _reload(site, rng, _end):
    for instance in rng.sample(site.instances, 2):
        instance.signal(signal.SIGHUP)


def _apply_link_rules(site, end, lines):
    name = f"{time.monotonic()}"
    site.set_rules(name, lines)
    time.sleep(max(0.0, end - time.monotonic()))
    site.set_rules(name, None)


def _cut_peer(site, rng, end):
    """Disturbs the links of an instance, in one direction or both."""
    i = rng.randrange(len(site.instances))
    mode = rng.choice(["cut", "freeze", "mute", "delay"])
    lines = [f"{mode} * peer-{i} 300"]
    if rng.random() < 0.6:
        lines.append(f"{mode} e{i} peer-* 300")
    _apply_link_rules(site, end, lines)


def _reset_peers(site, _rng, _end):
    _apply_link_rules(site, time.monotonic() + 0.1, ["reset * peer-* 0"])


def _cut_store(site, rng, end):
    i = rng.randrange(len(site.instances))
    mode = rng.choice(["cut", "freeze", "mute", "delay"])
    _apply_link_rules(site, end, [f"{mode} - store-{i} 800"])


def _cut_worker(site, rng, end):
    i = rng.randrange(len(site.workers))
    mode = rng.choice(["cut", "freeze", "mute", "reset", "delay"])
    _apply_link_rules(site, end, [f"{mode} - worker-{i} 400"])


def _store_fault(site, rng, end):
    site.store.fault = rng.choice(
        ["busy", "silent", "slow", "lost", "forgetful"])
    time.sleep(max(0.0, end - time.monotonic()))
    site.store.fault = None


def _worker_fault(site, rng, end):
    worker = rng.choice(site.workers)
    worker.fault = rng.choice(["refuse", "late", "lost", "hang", "fail"])
    time.sleep(max(0.0, end - time.monotonic()))
    worker.fault = None


def _crash_worker(site, rng, _end):
    worker = rng.choice(site.workers)
    worker.crash()
    time.sleep(rng.uniform(0.0, 1.0))
    worker.register(site.store, "ready")


def _drain_worker(site, rng, end):
    worker = rng.choice(site.workers)
    worker.register(site.store, "draining")
    time.sleep(max(0.0, end - time.monotonic()))
    worker.register(site.store, "ready")


def _change_config(site, rng, _end):
    for _ in range(rng.choice([1, 1, 4])):
        site.put_config()
        time.sleep(0.2)


def _step_clock(site, rng, end):
    """Steps the time of day, and with a probability of 70 % back again."""
    instance = rng.choice(site.instances)
    instance.set_clock(rng.choice([-3600, -30, -3, 3, 30, 3600]))
    time.sleep(max(0.0, end - time.monotonic()))
    if rng.random() < 0.7:
        instance.set_clock(0)


# Weights: faults that take an instance away are more frequent.
KINDS = [
    (_kill, 4), (_kill_all, 1), (_stop, 4), (_rolling_stop, 1), (_pause, 4),
    (_reload, 1), (_cut_peer, 5), (_reset_peers, 2), (_cut_store, 2),
    (_cut_worker, 4), (_store_fault, 3), (_worker_fault, 5),
    (_crash_worker, 3), (_drain_worker, 1), (_change_config, 3),
]


def schedule(seed, length_s):
    """Rows of start time, kind, seed of the fault and duration."""
    rng = random.Random(seed)
    rows = []
    at = 0.5
    while at < length_s:
        kind = rng.choices([k for k, _ in KINDS], [w for _, w in KINDS])[0]
        rows.append((at, kind, rng.random(), rng.uniform(0.3, MAX_FAULT_S)))
        at += rng.expovariate(1 / MEAN_INTERVAL_S)
    # From a separate generator: the other faults of a seed stay the same as
    # before clock steps were added.
    clocks = random.Random(f"clocks {seed}")
    for _ in range(clocks.choice([1, 2, 3])):
        rows.append((clocks.uniform(0.5, length_s), _step_clock,
                     clocks.random(), clocks.uniform(0.3, MAX_FAULT_S)))
    return sorted(rows, key=lambda row: row[0])


def inject(site, row):
    _, kind, seed, duration_s = row
    kind(site, random.Random(seed), time.monotonic() + duration_s)


def name_of(row):
    return row[1].__name__.strip("_")

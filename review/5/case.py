"""A heartbeat that the store carries out late brings a leaving worker back."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../common"))

import deployment  # noqa: E402

# More than three of the four workers have room for.
BODY = {"spec": "{}", "best_effort": True, "steps": [
    {"count": 14, "cpu": 4000, "mem_mb": 64, "estimate_ms": 100}]}
HEARTBEAT_S = 1.5
LOSS_S = 1.3  # in which the store loses answers
LATE_S = 5.8  # from 1 to 6 s
LEAVE_S = 4.9  # after the beginning of the loss
CONTACT_S = 3.0  # contact_ms
DRAIN_S = 2.0  # drain_ms


class Loss:
    """Of the writes within LOSS_S, one gets no answer and is done later."""

    def __init__(self, worker):
        self.worker = worker
        self.begin = time.monotonic()
        self.taken = False

    def take(self, worker):
        if (worker is not self.worker or self.taken or
                time.monotonic() > self.begin + LOSS_S):
            return 0
        self.taken = True
        return LATE_S


def load(site):
    i = 0
    while not site.done:
        i += 1
        site.submit(site.entries[i % 3], "/q/", f"{i:016x}", BODY)


def scene(site, trouble):
    site.done = False
    site.put_config(deployment.config(1, [deployment.route("/q/")]))
    for i in range(4):
        site.add_worker(f"w{i}", labels=("a", f"r1-{i}"))
    leaving = site.workers[0]
    site.start()
    time.sleep(4)
    client = deployment.in_thread(load, site)
    # The loss begins before a heartbeat, and ends just after it.
    beat = leaving.beat
    site.wait(lambda: leaving.beat != beat, 3, "a heartbeat")
    time.sleep(max(0, leaving.beat + HEARTBEAT_S - LOSS_S + 0.1 -
                   time.monotonic()))
    loss = Loss(leaving)
    site.record.add("store", "loss", on=trouble, for_s=LOSS_S)
    if trouble:
        leaving.lose = loss.take
    time.sleep(LEAVE_S)
    leaving.leave()
    site.record.add("store", "ack", worker=leaving.name, state="draining")
    time.sleep(6)
    site.done = True
    client.join(15)
    if trouble and not loss.taken:
        raise RuntimeError("no heartbeat fell into the loss")


def judge(site):
    loss = site.record.find("loss")[0]
    ack = site.record.find("ack")[0]
    in_touch = loss[0] + LOSS_S + CONTACT_S
    if ack[0] < in_touch:
        raise RuntimeError("the ack came too soon after the loss")
    return [f"DRAIN: task {fields['task']} started on {who} at {at:.3f}, "
            f"{at - ack[0]:.3f} s after its report as draining was accepted"
            for at, who, _, fields in site.record.find("start")
            if who == ack[3]["worker"] and at > ack[0] + DRAIN_S]


if __name__ == "__main__":
    deployment.play(FOLDER, scene, judge)

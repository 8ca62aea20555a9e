"""A part of prompts ends each replica that begins to answer on it; see claim.txt."""

import os
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))
import standins as s  # noqa: E402

HARMFUL = "bad0bad0"
REPLICAS, MACHINES = 9, 3
STABLE_S = 3.0  # stable_window_ms
BACK_S = 2.5  # "the replica is back after some seconds"
SOUND_PER_S, HARMFUL_PER_S = 40, 0.8
CALM_S, RUN_S = 6.0, 30.0
CRASH_MS = 30


class Service:
    """The replicas of the service; one that has ended is back under another id."""

    def __init__(self, processes, record, store, harmful):
        self.processes, self.record, self.store = processes, record, store
        self.options = {"ip": "127.0.0.1", "kind": "engine", "framing": "chunks", "events": 12,
                        "pause_ms": 60, "harmful": harmful, "crash_ms": CRASH_MS,
                        "crash_begun": os.environ.get("BEGUN") == "1"}
        self.number, self.crashes, self.all = 0, [], []
        self.stopping = False
        for _ in range(REPLICAS):
            threading.Thread(target=self.live, daemon=True).start()

    def live(self):
        while not self.stopping:
            self.number += 1
            replica = s.ReplicaProcess(self.processes, self.record, id=f"lm-{self.number}",
                                       **self.options)
            self.all.append(replica)
            name = replica.options["id"]
            self.store.put("servers", name, replica.entry("lm"))
            replica.process.wait()
            if self.stopping:
                return
            self.crashes.append(time.monotonic())
            self.record.add(f"crash {len(self.crashes)}: {name}")
            # An entry is removed after three heartbeat intervals of silence.
            threading.Timer(3.6, self.store.remove, ("servers", name)).start()
            time.sleep(BACK_S)


def main(processes, record, trouble):
    store = s.Store()
    store.put("config", "main", s.configuration(1))
    store.put("versions", "m", {"model": "m", "version": 1})
    service = Service(processes, record, store, HARMFUL)
    net = f"127.{random.randrange(16, 250)}.{random.randrange(250)}"
    fleet = [s.Instance(processes, store, f"front-a-{n}", f"{net}.{n}")
             for n in range(1, MACHINES + 1)]
    s.wait_for(lambda: len(service.all) == REPLICAS, 20, "the replicas")
    for instance in fleet:
        instance.start()
    for instance in fleet:
        instance.wait_ready()
    arrivals, answers, lock = [], [], threading.Lock()
    begun = time.monotonic()

    def client(name, instance, prefix, kind):
        record.add(f"client sends {name} to {instance.name}: {prefix}")
        got = s.request((instance.ip, instance.front), "POST", "/reply/x",
                        s.prompt_fields(name, deadline=5000, prefix=prefix), name.encode(), 8)
        record.add(f"client got {name}: {got}")
        with lock:
            answers.append((time.monotonic() - begun, kind, got.status, got.complete))

    def send(rate, kind, subject, until):
        number = 0
        while time.monotonic() - begun < until:
            number += 1
            name = f"{kind}{number}"
            prefix = f"5c1e07a2:119,{subject(number)}:79,{number:08x}:628"
            instance = fleet[random.randrange(MACHINES)]
            threading.Thread(target=client, args=(name, instance, prefix, kind),
                             daemon=True).start()
            time.sleep(random.uniform(0.5, 1.5) / rate)

    sound = threading.Thread(target=send, daemon=True, args=(
        SOUND_PER_S, "sound", lambda n: f"{0x91bd0000 + n % 122:08x}", CALM_S + RUN_S))
    sound.start()
    time.sleep(CALM_S)
    if trouble:
        record.add("prompts with the harmful part begin")
        send(HARMFUL_PER_S, "harmful", lambda n: HARMFUL, CALM_S + RUN_S)
    sound.join()
    time.sleep(0.5)
    service.stopping = True
    crashes = sorted(service.crashes)
    harmed = sorted(event["at"] for replica in service.all for event in replica.told("harmed"))
    withheld = sum(i.log().count('"prompt part withheld"') for i in fleet)
    late = [at for at in harmed if len(crashes) >= 5 and at > crashes[4] + STABLE_S]
    outcome = {}
    for _, kind, status, complete in answers:
        key = (kind, status, complete)
        outcome[key] = outcome.get(key, 0) + 1
    record.add(f"answers by kind, status and completeness: {outcome}")
    record.add(f"{len(harmed)} prompts with the part reached replicas, {len(crashes)} crashes; "
               f"log lines that it is withheld: {withheld}")
    record.add(f"{len(late)} prompts with the part reached replicas later than {STABLE_S:.0f} s "
               "after the fifth crash, of at most 3")
    if not trouble and (crashes or any(k != ("sound", 200, True) for k in outcome)):
        raise s.CannotRun(f"not all was served without a disruption: {outcome}")
    return len(late) > 3


s.run_case(main)

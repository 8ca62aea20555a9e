"""All machines are killed while the store comes back from a copy; see claim.txt."""

import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))
import standins as s  # noqa: E402

LEASE_S = 3.0  # bounds.lease_ms
NAMES = ["front-a-1", "front-a-2", "front-a-3"]
DOWN_S = 1.0  # herd_kill: for_s = 1.0


def main(processes, record, trouble):
    store = s.Store()
    store.era = 0  # the header stands in all answers
    store.put("config", "main", s.configuration(1))
    store.put("versions", "m", {"model": "m", "version": 1})
    engines = [s.ReplicaProcess(processes, record, id=f"lm-{n}", ip="127.0.0.1", framing="chunks",
                                kind="engine", events=5, pause_ms=20, version=1) for n in range(4)]

    def beat(seq):
        """The replicas write their entries, which state their weights."""
        for engine in engines:
            orders = [e["order"] for e in engine.told("order") if e["accepted"]]
            engine.options["version"] = orders[-1]["version"] if orders else 1
            store.put("servers", engine.options["id"], engine.entry("lm", seq=seq))

    beat(1)

    def loaded(version):
        return all(any(e["order"]["version"] == version for e in engine.told("order")
                       if e["accepted"]) for engine in engines)

    net = f"127.{random.randrange(16, 250)}.{random.randrange(250)}"
    fleet = [s.Instance(processes, store, name, f"{net}.{n + 1}") for n, name in enumerate(NAMES)]
    # New weights were named while the fleet was down. All machines start within 0.3 s of each
    # other, in any order.
    store.put("versions", "m", {"model": "m", "version": 2})
    copy = store.copy()
    record.add("the store's copy is made")
    copied = time.monotonic()
    for instance in fleet[1:]:
        instance.start()
    time.sleep(0.29)
    fleet[0].start()
    s.wait_for(lambda: loaded(2), 20, "orders for version 2")
    time.sleep(0.3)
    beat(2)
    time.sleep(0.7)
    if trouble:
        record.add("all machines are killed; the store is away")
        store.away = True
        for instance in fleet:
            instance.kill()
        time.sleep(DOWN_S)
        record.add(f"the store is back from a copy {time.monotonic() - copied:.1f} s old")
        store.restore(copy)
        store.away = False
        # What the operator and the replicas wrote is written again.
        store.put("config", "main", s.configuration(1))
        store.put("versions", "m", {"model": "m", "version": 2})
        beat(3)
        for instance in fleet:
            instance.start()
    else:
        time.sleep(DOWN_S)
    for instance in fleet:
        instance.wait_ready()
    time.sleep(1.0)
    record.add("version 3 is named")
    store.put("versions", "m", {"model": "m", "version": 3})
    s.wait_for(lambda: loaded(3), 30, "orders for version 3")
    lease = store.objects.get(("limpetsaddle-tenures", "weights"))
    record.add(f"the lease in the store: {json.dumps(lease)}")
    return judge(record, engines)


def judge(record, engines):
    broken = False
    for engine in engines:
        orders = [e["order"] for e in engine.told("order")]
        holders, highest = {}, 0
        for order in orders:
            token, holder = order["fence"], order["holder"]
            first = holders.setdefault(token, holder)
            if first != holder:
                broken = True
                record.add(f"BROKEN {engine.options['id']}: token {token} of {first} comes from "
                           f"{holder} too")
            if token < highest:
                broken = True
                record.add(f"BROKEN {engine.options['id']}: token {token} after {highest}")
            highest = max(highest, token)
        seen = [(order["holder"], order["fence"], order["version"]) for order in orders]
        record.add(f"{engine.options['id']}: orders {seen}")
    return broken


s.run_case(main)

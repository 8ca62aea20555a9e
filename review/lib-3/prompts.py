"""Engines that one part of a prompt crashes, the traffic beside it, and the rule's check."""

import asyncio
import random

import fleet

KEY = "wu3fexd9dnn2ctnfzs98"
# The part that crashes replicas, and sound ones in its place.
BAD = "91bd3f06"
SOUND = ["aa01f3d2", "bb02e4c1", "cc03d5b0"]
# The rule: later than stable_window_ms after the fifth crash, three requests may reach replicas.
CRASHES = 5
STABLE_WINDOW_S = 3.0
MAX_LATE = 3
# A replica that has crashed is back after some seconds.
BACK_S = 2.5


class CrashingEngine(fleet.Engine):
    """An engine that crashes when it begins to write an answer on the bad part."""

    crashes = []
    reached = []

    async def run(self, message, fields, writer):
        parts = (message.get("x-limpetsaddle-prompt-prefix") or "").split(",")
        bad = BAD in [part.split(":")[0] for part in parts[:-1]]
        request_id = message.get("x-limpetsaddle-request-id")
        start = self.born
        if bad:
            CrashingEngine.reached.append(fleet.now())
        self.record.line(f"{request_id} reaches {self.name}{' with the bad part' if bad else ''}")
        # The prompt is read first; that takes a time of its own for each.
        await asyncio.sleep(random.uniform(0.02, 0.4))
        if self.born != start or self.server is None:
            return
        if not bad:
            await super().run(message, fields, writer)
            return
        CrashingEngine.crashes.append(fleet.now())
        self.record.line(f"{self.name} crashes as it begins to answer {request_id}")
        self.close()
        asyncio.ensure_future(self.restart())

    async def restart(self):
        await asyncio.sleep(BACK_S)
        self.restarted()
        await self.listen()
        self.register()
        self.record.line(f"{self.name} is back")


async def play(record, folder, instances, trouble, sound_rate, bad_rate, traffic_s, shared):
    """Sends sound requests, and with `trouble` such with the bad part too, at all machines.

    Every prompt has the parts `shared`, then the bad part or a sound one, then one of its own.
    Returns the violation of BUDGET, or None.
    """
    store = fleet.Store()
    await store.listen()
    store.write("versions", "m0", {"model": "m0", "version": 1})
    store.write("config", "main", fleet.config(
        7, [fleet.route("sort", "/lepu270/", "streaming", "pool", timeout_ms=5000,
                        resumable=True, gap_target_ms=400)],
        [fleet.engine_service("pool")], [fleet.tenant("sese880", [KEY], rate=0, burst=0)]))
    engines = [CrashingEngine(store, record, "pool", f"e-{n}", slots=64, events=4)
               for n in range(6)]
    for engine in engines:
        await engine.start()
    for n in range(3):
        instances.append(fleet.Instance(folder, store.address, f"front-{n}"))
        await instances[-1].start()
    for instance in instances:
        await instance.until_ready()
    # All machines are in touch from then on.
    await asyncio.sleep(STABLE_WINDOW_S + 0.5)
    served = []

    async def send(bad):
        own = f"{random.getrandbits(32):08x}"
        parts = [*shared, BAD if bad else random.choice(SOUND), own]
        prefix = ",".join(f"{part}:60" for part in parts)
        fields = [("X-Limpetsaddle-Model", "m0"),
                  ("X-Limpetsaddle-Token-Usage", f"{60 * len(parts)},80"),
                  ("X-Limpetsaddle-Prompt-Prefix", prefix)]
        answer = await fleet.request(random.choice(instances), record, "/lepu270/2f",
                                     fields=fields, key=KEY, deadline_ms=5000,
                                     body=own.encode())
        if not bad:
            served.append(answer.status == 200)

    tasks = []
    end = fleet.now() + traffic_s
    due = {False: fleet.now(), True: fleet.now() + 1}
    rates = {False: sound_rate, True: bad_rate if trouble else 0}
    while fleet.now() < end:
        for bad, rate in rates.items():
            if rate and fleet.now() >= due[bad]:
                tasks.append(asyncio.ensure_future(send(bad)))
                due[bad] += random.expovariate(rate)
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    crashes = CrashingEngine.crashes
    record.say(f"{len(crashes)} crashes; {sum(served)} of {len(served)} sound requests served")
    if len(crashes) < CRASHES:
        return None
    since = crashes[CRASHES - 1] + STABLE_WINDOW_S
    late = [at for at in CrashingEngine.reached if at > since]
    record.say(f"fifth crash at {crashes[CRASHES - 1]:.3f} s; after {since:.3f} s "
               f"{len(late)} requests with the part reached replicas, {MAX_LATE} may")
    if len(late) > MAX_LATE:
        return f"BUDGET: {len(late)} requests with the part reached replicas"
    return None

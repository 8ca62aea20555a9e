"""A client names the header field of the tenant in `Connection`."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import fleet  # noqa: E402

KEY = "wu3fexd9dnn2ctnfzs98"
TENANT = "sese880"


async def case(record, folder, instances, trouble):
    store = fleet.Store()
    await store.listen()
    store.write("config", "main", fleet.config(
        7, [fleet.route("confirm", "/fiti832/", "non_idempotent", "desk", max_attempts=1)],
        [fleet.plain_service("desk")], [fleet.tenant(TENANT, [KEY])]))
    replicas = [fleet.Replica(store, record, "desk", f"i-{n}") for n in range(3)]
    for replica in replicas:
        await replica.start()
    for n in range(2):
        instances.append(fleet.Instance(folder, store.address, f"front-{n}"))
        await instances[-1].start()
    for instance in instances:
        await instance.until_ready()
    await asyncio.sleep(1)
    connection = "keep-alive, X-Limpetsaddle-Tenant" if trouble else "keep-alive"
    for n in range(20):
        await fleet.request(instances[n % 2], record, "/fiti832/2f", key=KEY,
                            fields=[("Connection", connection)])
    wrong = 0
    runs = [run for replica in replicas for run in replica.runs]
    for run in runs:
        tenant = run["message"].get("x-limpetsaddle-tenant")
        if tenant != TENANT:
            wrong += 1
            record.line(f"request {run['id']} ran with the tenant {tenant}")
    record.say(f"20 sent, {len(runs)} run, {wrong} of them without the tenant of their key")
    if not runs:
        raise fleet.CannotRun("no request was run")
    return f"UNASKED: {wrong} requests ran without the tenant of their key" if wrong else None


fleet.main(case, __file__)

"""Stand-ins for the platform's store, replicas and clients, and a starter of instances.

All of them follow PROTOCOL.md and DEPLOY.md, listen on loopback addresses and run on the
real clock. Only the standard library is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "limpetsaddle")
PORTS = {"front": 8606, "ready": 8605, "first": 7600, "last": 7615, "metrics": 9464}

BEGUN = time.monotonic()


def now():
    """Returns the seconds since the start of the case."""
    return time.monotonic() - BEGUN


class CannotRun(Exception):
    """The case could not run; says nothing of the rule."""


class Record:
    """The file in which a case writes what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        line = f"{now():8.3f} {text}"
        print(line, file=self.file, flush=True)

    def say(self, text):
        self.line(text)
        print(text, flush=True)


_used = set()


def free_ip(ports):
    """Returns a loopback address at which all ports are free."""
    for _ in range(200):
        ip = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        if ip in _used:
            continue
        try:
            for port in ports:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        _used.add(ip)
        return ip
    raise CannotRun("no loopback address with free ports")


class Message:
    """The head and body of a request or response."""

    def __init__(self, first, fields, body=b""):
        self.first = first
        self.fields = fields
        self.body = body

    def get(self, name, default=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:]]
    return Message(lines[0], fields)


async def read_message(reader, is_response=False):
    message = await read_head(reader)
    if (message.get("transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip().split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
        message.body = body
    elif message.get("content-length") is not None:
        message.body = await reader.readexactly(int(message.get("content-length")))
    elif is_response and message.status not in (204, 304):
        message.body = await reader.read(-1)
    return message


def response(status, fields=(), body=b"", reason="-"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def json_response(status, value, fields=()):
    body = json.dumps(value).encode()
    return response(status, [("Content-Type", "application/json"), *fields], body)


class Server:
    """A listener whose connections can be cut."""

    def __init__(self, ip, port):
        self.ip = ip
        self.port = port
        self.writers = set()
        self.server = None

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, limit=1 << 22)

    def close(self):
        """Refuses connections and resets those that are open."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store."""

    def __init__(self):
        super().__init__(free_ip([8601]), 8601)
        self.revision = 10
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.era = None
        self.oldest = 0
        self.is_down = False

    # The operator's and the replicas' way to write.
    def write(self, kind, name, spec, status=None):
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old["metadata"]["created"] if old else self.revision
        meta = {"name": name, "revision": self.revision, "created": created,
                "finalizers": [], "deleting": False}
        stored = {"metadata": meta, "spec": spec,
                  "status": status if status is not None else (old or {}).get("status")}
        self.objects[(kind, name)] = stored
        self._event(kind, stored, False)
        return stored

    def delete(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored:
            self.revision += 1
            stored = json.loads(json.dumps(stored))
            stored["metadata"]["revision"] = self.revision
            self._event(kind, stored, True)
        return stored

    def _event(self, kind, stored, deleted):
        self.events.append((self.revision, kind, deleted, json.loads(json.dumps(stored))))
        self.changed.set()
        self.changed = asyncio.Event()

    def set_down(self, is_down):
        """Resets all connections, and every new one for as long as the store is down."""
        self.is_down = is_down
        for writer in list(self.writers):
            writer.transport.abort()

    def fields(self):
        return [] if self.era is None else [("Store-Era", str(self.era))]

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if self.is_down:
                writer.transport.abort()
                return
            writer.write(await self.answer(message))
            await writer.drain()
            if (message.get("connection") or "").lower() == "close":
                return

    async def answer(self, message):
        path, _, query = message.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(p) for p in path.split("/") if p]
        if parts[:2] != ["limpetsaddle", "objects"] or len(parts) < 3:
            return json_response(404, {}, self.fields())
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if message.method == "GET":
            if name is not None:
                stored = self.objects.get((kind, name))
                return json_response(200 if stored else 404, stored or {}, self.fields())
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
            names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
            items = [self.objects[(kind, n)] for n in names[:500]]
            more = len(names) > 500
            return json_response(200, {"items": items, "has_more": more, "at": self.revision},
                                 self.fields())
        body = json.loads(message.body) if message.body else {}
        meta = body.get("metadata") or {}
        if message.method == "POST":
            name = meta["name"]
            stored = self.objects.get((kind, name))
            if stored:
                return json_response(409, stored, self.fields())
            return json_response(200, self.write(kind, name, body.get("spec"),
                                                 body.get("status")), self.fields())
        stored = self.objects.get((kind, name))
        if stored is None:
            return json_response(404, {}, self.fields())
        expected = meta.get("revision", query.get("revision"))
        if expected is not None and int(expected) != stored["metadata"]["revision"]:
            return json_response(409, stored, self.fields())
        if message.method == "DELETE":
            return json_response(200, self.delete(kind, name), self.fields())
        if len(parts) > 4:
            if stored["status"] != body.get("status"):
                stored = self.write(kind, name, stored["spec"], body.get("status"))
        elif stored["spec"] != body.get("spec"):
            stored = self.write(kind, name, body.get("spec"), stored["status"])
        return json_response(200, stored, self.fields())

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        if since > self.revision or since < self.oldest:
            return json_response(410, {}, self.fields())
        while True:
            found = [e for e in self.events if e[0] > since and e[1] == kind]
            left = end - time.monotonic()
            if found or left <= 0:
                events = [{"deleted": e[2], "object": e[3]} for e in found]
                return json_response(200, {"events": events, "at": self.revision}, self.fields())
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Replica(Server):
    """A replica of a plain service."""

    def __init__(self, store, record, service, name, zone="zone-a", slots=6, work_s=0.05,
                 ip=None, port=8080):
        super().__init__(ip or free_ip([port]), port)
        self.store = store
        self.record = record
        self.service = service
        self.name = name
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = 0
        self.runs = []
        self.state = "ready"

    async def start(self):
        await self.listen()
        self.register()

    def entry(self):
        return {"service": self.service, "addr": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "seq": self.seq, "born": self.born}

    def restarted(self):
        """Forgets what the process before knew; it has the same id."""
        self.born = int(time.time() * 1000)
        self.seq = 0

    def register(self):
        self.seq += 1
        self.store.write("servers", self.name, self.entry())

    def notices(self):
        """Returns the fields that each answer has."""
        return []

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            expected = message.get("x-limpetsaddle-expect-instance")
            if expected is not None and expected != self.name:
                writer.write(response(421, [("X-Limpetsaddle-Instance-Id", self.name)]))
            else:
                await self.handle(message, reader, writer)
            await writer.drain()
            if (message.get("connection") or "").lower() == "close":
                return

    def own_fields(self, message):
        fields = [("X-Limpetsaddle-Instance-Id", self.name), *self.notices()]
        request_id = message.get("x-limpetsaddle-request-id")
        if request_id:
            fields.append(("X-Limpetsaddle-Request-Id", request_id))
        return fields

    async def handle(self, message, reader, writer):
        fields = self.own_fields(message)
        if message.target.startswith("/health"):
            writer.write(response(200 if self.state == "ready" else 503, fields))
            return
        if message.target.startswith("/limpetsaddle/"):
            writer.write(response(404, fields))
            return
        if message.get("x-limpetsaddle-request-id") is None:
            writer.write(response(400, [*fields, ("X-Limpetsaddle-Not-Executed", "1")]))
            return
        await self.run(message, fields, writer)

    def note_run(self, message):
        run = {"at": now(), "id": message.get("x-limpetsaddle-request-id"),
               "replica": self.name, "message": message}
        self.runs.append(run)
        self.record.line(f"run {run['id']} at {self.name}: {message.first}")
        return run

    async def run(self, message, fields, writer):
        self.note_run(message)
        await asyncio.sleep(self.work_s)
        body = b"answer of " + self.name.encode()
        writer.write(response(200, [*fields, ("X-Limpetsaddle-Response-Signature", "3e1b.07")],
                              body))


class Engine(Replica):
    """A model replica that streams events, and takes orders."""

    def __init__(self, *args, events=8, gap_s=0.05, model="m0", version=1, **kwargs):
        super().__init__(*args, **kwargs)
        self.count = events
        self.gap_s = gap_s
        self.model = model
        self.version = version
        self.orders = 0
        self.order_log = []
        self.boot = random.randint(1, 1 << 30)

    def entry(self):
        return {**super().entry(), "stage": "colocated", "models": self.models()}

    def restarted(self):
        super().restarted()
        self.orders = 0
        self.boot += 1

    def models(self):
        return [{"name": self.model, "version": self.version, "adapters": []}]

    async def handle(self, message, reader, writer):
        fields = self.own_fields(message)
        path, _, query = message.target.partition("?")
        if path == "/limpetsaddle/report":
            writer.write(json_response(200, {
                "stage": "colocated", "models": self.models(), "busy": False,
                "seq": self.orders, "queued": 0, "running": self.running, "kv_used": 0,
                "kv_total": 90000, "handles": 0, "born": self.born}, fields))
            return
        if path == "/limpetsaddle/kv-events":
            wait = float(message.get("wait-ms") or 0) / 1000
            await asyncio.sleep(wait)
            writer.write(json_response(200, {"boot_epoch": self.boot, "next": 1, "lost": False,
                                             "events": []}, fields))
            return
        if path == "/limpetsaddle/kv-list":
            writer.write(json_response(200, {"boot_epoch": self.boot, "next": 1, "held": []},
                                       fields))
            return
        if path == "/limpetsaddle/order":
            writer.write(self.take_order(json.loads(message.body), fields))
            return
        expected = message.get("x-limpetsaddle-expect-version")
        if expected is not None and int(expected) != self.version:
            writer.write(response(421, [*fields, ("X-Limpetsaddle-Weight-Versions",
                                                  str(self.version))]))
            return
        await super().handle(message, reader, writer)

    def take_order(self, order, fields):
        self.order_log.append({"at": now(), "replica": self.name, **order})
        self.record.line(f"order at {self.name}: {json.dumps(order)}")
        if order.get("precondition") not in (None, self.orders):
            return response(409, fields)
        if order["version"] == self.version:
            return response(200, fields)
        self.orders += 1
        self.version = order["version"]
        self.register()
        return response(202, fields)

    async def run(self, message, fields, writer):
        self.note_run(message)
        fields = [*fields, ("X-Limpetsaddle-Response-Signature", "3e1b.07"),
                  ("X-Limpetsaddle-Weight-Versions", str(self.version)),
                  ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        head = "\r\n".join(["HTTP/1.1 200 OK", *[f"{n}: {v}" for n, v in fields], "", ""])
        writer.write(head.encode())
        first = int(message.get("last-event-id") or 0) + 1
        for number in range(first, self.count + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


SETTINGS = """node={name}
role=router
machine_class=front
serves=front
ip={ip}
zone={zone}
region=here
zones.zone-a=here
zones.zone-b=here
listen.front={ip}:8606
listen.ready={ip}:8605
port_range=7600,7615
bootstrap=true
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=110
limits.max_fds=1024
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=virtual_ip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform
fault_tolerance.machines=2
fault_tolerance.zones=1
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.revoke_strict=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_slack=56
bounds.quota_window_s=8
bounds.quota_overage=0.1
bounds.quota_slack=110000
bounds.recovery_s=12
bounds.transit_ms=120
bounds.retry_after_s=10
bounds.fencing_enforced=false
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.version_ms=6000
bounds.version_all_ms=8400
platform.addr={store}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""


class Instance:
    """An instance, started with the command of the deploy file."""

    def __init__(self, folder, store, name, zone="zone-a"):
        self.ip = free_ip([PORTS["front"], PORTS["ready"], PORTS["first"], PORTS["metrics"]])
        self.name = name
        self.folder = os.path.join(folder, name)
        os.makedirs(self.folder, exist_ok=True)
        self.settings = os.path.join(self.folder, "settings.conf")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name=name, ip=self.ip, zone=zone, store=store))
        self.process = None
        self.starts = 0

    async def start(self):
        self.starts += 1
        log = open(os.path.join(self.folder, f"log-{self.starts}.txt"), "wb")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["LIMPETSADDLE_SETTINGS"] = self.settings
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "fleet", cwd=ROOT, env=env, stdout=log, stderr=log)

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def ended(self, limit):
        return await asyncio.wait_for(self.process.wait(), limit)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, PORTS["ready"])
            writer.write(b"GET /limpetsaddle/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader, True), 2)
            writer.close()
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def until_ready(self, limit=20):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")

    def log(self):
        text = ""
        for number in range(1, self.starts + 1):
            path = os.path.join(self.folder, f"log-{number}.txt")
            with open(path, encoding="utf-8", errors="replace") as file:
                text += file.read()
        return text


class Answer:
    """What a client has got."""

    def __init__(self, status, fields, body, error, sent, ended):
        self.status = status
        self.message = fields
        self.body = body
        self.error = error
        self.sent = sent
        self.ended = ended

    def __str__(self):
        what = self.status if self.status is not None else f"no answer ({self.error})"
        return f"{what} after {(self.ended - self.sent) * 1000:.0f} ms"


_ids = random.Random()


def new_id():
    return f"{_ids.getrandbits(64):016x}"


async def request(instance, record, path, fields=(), method="POST", body=b"{}", host="a.example",
                  key=None, deadline_ms=4000, request_id=None, wait_s=None, quiet=False):
    """Sends one client attempt over a new connection and returns its answer."""
    request_id = request_id or new_id()
    head = [f"{method} {path} HTTP/1.1", f"Host: {host}",
            f"X-Limpetsaddle-Request-Id: {request_id}",
            f"X-Limpetsaddle-Request-Deadline: {deadline_ms}"]
    if key is not None:
        head.append(f"X-Limpetsaddle-Credential: {key}")
    head += [f"{n}: {v}" for n, v in fields]
    if body or method == "POST":
        head.append(f"Content-Length: {len(body)}")
    sent = now()
    if not quiet:
        extra = "".join(f", {n}: {v}" for n, v in fields)
        record.line(f"sent {request_id} to {instance.name}: {method} {path}{extra}")
    answer, error = None, None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(instance.ip, PORTS["front"], limit=1 << 22), 1)
        try:
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            answer = await asyncio.wait_for(read_message(reader, True),
                                            wait_s or deadline_ms / 1000 + 1)
        finally:
            writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as failure:
        error = type(failure).__name__
    result = Answer(answer.status if answer else None, answer, answer.body if answer else b"",
                    error, sent, now())
    result.id = request_id
    if not quiet:
        record.line(f"answered {request_id}: {result}")
    return result


def route(name, prefix, kind, service, timeout_ms=4000, max_attempts=2, host="a.example", **more):
    return {"name": name, "host": host, "path_prefix": prefix, "route_type": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 1,
            "service": service, "max_attempts": max_attempts, "public": False,
            "sticky": kind == "streaming", **more}


def plain_service(name):
    return {"name": name, "health_path": "/health", "max_conns": 370, "protocol": "h1",
            "tls": False}


def engine_service(name, model="m0"):
    return {**plain_service(name), "engine": {
        "slots": 64, "kv_capacity": 94570, "kv_token_bytes": 163840, "link_mbps": 1100000.0,
        "moves": True, "backups": True, "stride": 6, "max_inflight": 12, "pin_ms": 4000.0,
        "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": model}]}}


def tenant(name, keys, rate=127422, burst=127422, **more):
    return {"name": name, "api_keys": keys, "priority": 1, "unit": "tokens",
            "uncached_tokens": 200, "isolated": False, "rate_per_s": rate, "burst": burst, **more}


def config(version, routes, services, tenants=()):
    value = {"version": version, "routes": routes, "services": services,
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                        "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
    if tenants:
        value["tenants"] = list(tenants)
    return value


def main(case, path):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    `case` is called with the record, a temporary folder, the list of instances to end, and
    whether there is the disruption. It returns the text of the violation, or None.
    """
    folder = os.path.dirname(os.path.abspath(path))
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="limpetsaddle-case-")
    instances = []

    async def run():
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/release/limpetsaddle is missing: run the deploy file's build")
        try:
            return await asyncio.wait_for(case(record, temporary, instances, trouble), 110)
        finally:
            for instance in instances:
                instance.send(signal.SIGCONT)
                instance.send(signal.SIGKILL)
            for instance in instances:
                if instance.process:
                    await instance.process.wait()

    code = 2
    # The instances end with the case, also if it is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        record.say(f"disruption: {'yes' if trouble else 'no'}")
        broken = asyncio.run(run())
        record.say(f"rule broken: {broken}" if broken else "rule held")
        code = 1 if broken else 0
    except CannotRun as error:
        record.say(f"the case could not run: {error}")
    except Exception as error:  # The verdict must be a clear one in any case.
        record.say(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        if os.environ.get("KEEP") == "1":
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)

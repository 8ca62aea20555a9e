"""Small stand-ins for the cases of the second review: the platform's store, replicas,
clients, and the daemon's processes. Everything listens on loopback addresses."""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MODEL = "m0"
HOST = "shop.example"
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write("%8.3f %s\n" % (now(), text))
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


_used = set()


def free_ip():
    """Returns a loopback address at which the daemon's ports are free."""
    ports = [8000, 8001, 8080, 8601, 9464, 7600]
    for _ in range(200):
        ip = "127.%d.%d.%d" % (random.randint(2, 250), random.randint(1, 250), random.randint(2, 250))
        if ip in _used:
            continue
        try:
            for port in ports:
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        _used.add(ip)
        return ip
    raise CannotRun("no free loopback address")


class Head:
    """The start line and the header fields of a message."""

    def __init__(self, start, fields):
        self.start = start
        self.fields = fields

    def get(self, name, default=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buf = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            return False
        self.buf += data
        return True

    def head(self):
        while b"\r\n\r\n" not in self.buf:
            if not self.fill():
                return None
        head, self.buf = self.buf.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        fields = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
        return Head(lines[0], fields)

    def exactly(self, count):
        while len(self.buf) < count:
            if not self.fill():
                raise ConnectionError("closed within a body")
        data, self.buf = self.buf[:count], self.buf[count:]
        return data

    def chunks(self):
        while True:
            while b"\r\n" not in self.buf:
                if not self.fill():
                    raise ConnectionError("closed within a body")
            line, self.buf = self.buf.split(b"\r\n", 1)
            size = int(line.split(b";")[0], 16)
            data = self.exactly(size)
            self.exactly(2)
            if size == 0:
                return
            yield data

    def body(self, head, until_close=False):
        if "chunked" in (head.get("transfer-encoding") or "").lower():
            return b"".join(self.chunks())
        length = head.get("content-length")
        if length is not None:
            return self.exactly(int(length))
        if not until_close:
            return b""
        while self.fill():
            pass
        data, self.buf = self.buf, b""
        return data


REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           503: "Service Unavailable", 202: "Accepted", 400: "Bad Request", 500: "Internal Server Error"}


def message(status, fields, body, close=False):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    lines += ["%s: %s" % field for field in fields]
    lines.append("Content-Length: %d" % len(body))
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """Accepts connections and runs `serve` for each on a thread of its own."""

    def __init__(self, address):
        self.address = address
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.listener.bind(address)
        except OSError as error:
            raise CannotRun("cannot listen at %s:%d: %s" % (address[0], address[1], error))
        self.listener.listen(256)
        self.open = set()
        self.lock = threading.Lock()
        self.is_closed = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if self.is_closed:
                    sock.close()
                    return
                self.open.add(sock)
            threading.Thread(target=self.run, args=(sock,), daemon=True).start()

    def run(self, sock):
        try:
            self.serve(sock)
        except (OSError, ValueError, ConnectionError):
            pass
        finally:
            with self.lock:
                self.open.discard(sock)
            sock.close()

    def end(self):
        """Ends as a process does: closes the listener and all connections."""
        with self.lock:
            self.is_closed = True
            socks = list(self.open)
        for step in (lambda: self.listener.shutdown(socket.SHUT_RDWR), self.listener.close):
            try:
                step()
            except OSError:
                pass
        for sock in socks:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    @property
    def name(self):
        return "%s:%d" % self.address


class Store(Server):
    """The platform's store. Keeps every earlier state, so that a read with `serializable`
    may be answered as of some time ago, and so that it can return from an older copy."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.era = 0
        self.objects = {}
        self.events = []
        self.oldest = 0
        self.past = []
        self.page = 500
        # Returns how many seconds old the answer to a stale read is.
        self.age_of_stale = lambda kind, after: 0.0
        self.delay = lambda method, kind: 0.0
        self.changed = threading.Condition()
        super().__init__((free_ip(), 8601))

    # The operator's and the replicas' side.

    def put(self, kind, name, spec):
        with self.changed:
            return self._put(kind, name, spec)

    def remove(self, kind, name):
        with self.changed:
            self._remove(kind, name)

    def get(self, kind, name):
        with self.changed:
            stored = self.objects.get((kind, name))
            return stored and stored["spec"]

    def copy(self):
        with self.changed:
            return (self.revision, dict(self.objects))

    def restore(self, copy):
        with self.changed:
            self.era += 1
            self.revision, objects = copy
            self.objects = dict(objects)
            self.events = [e for e in self.events if e[0] <= self.revision]
            self.past = []
            self.changed.notify_all()

    def compact(self):
        """Forgets the history; watches that wait are cut off."""
        with self.changed:
            self.oldest = self.revision
            self.events = []
            self.changed.notify_all()

    def _put(self, kind, name, spec, status=None):
        self._keep()
        self.revision += 1
        old = self.objects.get((kind, name))
        stored = {"revision": self.revision, "spec": spec,
                  "created": old["created"] if old else self.revision,
                  "status": status if status is not None else (old["status"] if old else None)}
        self.objects[(kind, name)] = stored
        self.events.append((self.revision, kind, name, stored, False))
        self.changed.notify_all()
        return stored

    def _remove(self, kind, name):
        if (kind, name) not in self.objects:
            return
        self._keep()
        self.revision += 1
        stored = dict(self.objects.pop((kind, name)), revision=self.revision)
        self.events.append((self.revision, kind, name, stored, True))
        self.changed.notify_all()

    def _keep(self):
        self.past.append((now(), self.revision, dict(self.objects)))
        self.past = [p for p in self.past if p[0] > now() - 30]

    def _as_of(self, at):
        """The revision and the objects that were in force at a time."""
        for until, revision, objects in self.past:
            if at < until:
                return revision, objects
        return self.revision, self.objects

    # The machines' side.

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            head = reader.head()
            if head is None:
                return
            body = reader.body(head)
            method, target, _ = head.start.split(" ", 2)
            path, _, query = target.partition("?")
            query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
            parts = path.strip("/").split("/")[2:]
            delay = self.delay(method, parts[0] if parts else "")
            if delay:
                time.sleep(delay)
            status, content = self.call(method, parts, query, body)
            fields = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
            close = "close" in (head.get("connection") or "")
            sock.sendall(message(status, fields, json.dumps(content).encode(), close))
            if close:
                return

    def call(self, method, parts, query, body):
        if method == "GET" and len(parts) == 1 and "watch" in query:
            return self.watch(parts[0], int(query["watch"]), int(query.get("wait_ms", "0")))
        if method == "GET" and len(parts) == 1:
            return self.list(parts[0], query.get("after"), "serializable" in query)
        with self.changed:
            kind, name = parts[0], parts[1]
            stored = self.objects.get((kind, name))
            if method == "GET":
                return (200, self.render(name, stored)) if stored else (404, {})
            spec = json.loads(body) if body else {}
            wanted = (spec.get("metadata") or {}).get("revision") or query.get("revision")
            if method == "POST":
                if stored:
                    return 409, self.render(name, stored)
            elif not stored:
                return 404, {}
            if stored and wanted is not None and int(wanted) != stored["revision"]:
                return 409, self.render(name, stored)
            if method == "DELETE":
                self._remove(kind, name)
                return 200, self.render(name, stored)
            if len(parts) == 3:
                stored = self._put(kind, name, stored["spec"], spec.get("status"))
            elif stored and stored["spec"] == spec.get("spec"):
                return 200, self.render(name, stored)
            else:
                stored = self._put(kind, name, spec.get("spec"))
            self.record.write("store: %s %s/%s %s revision=%d" % (
                method, kind, name, json.dumps(spec.get("spec")), stored["revision"]))
            return 200, self.render(name, stored)

    def list(self, kind, after, stale):
        with self.changed:
            age = self.age_of_stale(kind, after) if stale else 0.0
            revision, objects = self._as_of(now() - age)
            names = sorted(n for k, n in objects if k == kind and (after is None or n > after))
            items = [self.render(n, objects[(kind, n)]) for n in names[:self.page]]
            self.record.write("store: list %s after=%s stale=%s -> %d items, has_more=%s, at=%d" % (
                kind, after, stale, len(items), len(names) > self.page, revision))
            return 200, {"items": items, "has_more": len(names) > self.page, "at": revision}

    def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        era = self.era
        with self.changed:
            while True:
                if since > self.revision or since < self.oldest or era != self.era:
                    return 410, {}
                events = [e for e in self.events if e[0] > since and e[1] == kind]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                self.changed.wait(left)
            events = [{"deleted": e[4], "object": self.render(e[2], e[3])} for e in events]
            return 200, {"events": events, "at": self.revision}

    @staticmethod
    def render(name, stored):
        return {"metadata": {"name": name, "revision": stored["revision"],
                             "created": stored["created"], "finalizers": [], "deleting": False},
                "spec": stored["spec"], "status": stored["status"]}


class Replica(Server):
    """A replica of a plain service or, with `version`, of a model service."""

    def __init__(self, store, record, name, service, zone="a", version=None, work=0.06, slots=64):
        self.store = store
        self.record = record
        self.id = name
        self.service = service
        self.zone = zone
        self.version = version
        self.work = work
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.orders = 0
        self.leaving_since = None
        self.runs = []
        self.more_fields = lambda head: []
        super().__init__((free_ip(), 8080))

    def register(self, state="ready"):
        self.sequence += 1
        spec = {"service": self.service, "addr": self.name, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "cold_remaining_ms": 0, "seq": self.sequence,
                "born": self.born}
        if self.version is not None:
            spec["stage"] = "colocated"
            spec["models"] = [{"name": MODEL, "version": self.version, "adapters": []}]
        self.store.put("servers", self.id, spec)
        self.record.write("replica %s: entry %s acknowledged, revision=%d" % (
            self.id, state, self.store.revision))

    def drain(self):
        """Reports `draining`; from then on all answers say that the replica leaves."""
        self.register("draining")
        self.leaving_since = now()

    def fields(self, head):
        fields = list(self.more_fields(head))
        if self.leaving_since is not None:
            fields.append(("Server-Leaving", "1"))
        return fields

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            head = reader.head()
            if head is None:
                return
            body = reader.body(head)
            if not self.answer(sock, reader, head, body):
                return
            if "close" in (head.get("connection") or ""):
                return

    def answer(self, sock, reader, head, body):
        method, target, _ = head.start.split(" ", 2)
        expected = head.get("x-limpetsaddle-expect-instance")
        own = ("X-Limpetsaddle-Instance-Id", self.id)
        if expected is not None and expected != self.id:
            sock.sendall(message(421, [own], b""))
            return True
        if target == "/limpetsaddle/report":
            report = {"stage": "colocated", "busy": False, "seq": self.orders, "queued": 0,
                      "running": 0, "kv_used": 0, "kv_total": 90000, "handles": 0, "born": self.born,
                      "models": [{"name": MODEL, "version": self.version or 1, "adapters": []}]}
            status = 200 if self.version is not None else 404
            sock.sendall(message(status, self.fields(head), json.dumps(report).encode()))
            return True
        if target == "/limpetsaddle/order":
            return self.order(sock, head, json.loads(body))
        return self.run_request(sock, reader, head, body, method, target)

    def order(self, sock, head, order):
        self.orders += 1
        self.version = order["version"]
        self.record.write("replica %s: order %s" % (self.id, json.dumps(order)))
        sock.sendall(message(202, self.fields(head), b"{}"))
        return True

    def run_request(self, sock, reader, head, body, method, target):
        ident = head.get("x-limpetsaddle-request-id")
        self.runs.append((now(), ident, self.leaving_since))
        self.record.write("replica %s: runs %s %s %s tenant=%s" % (
            self.id, ident, method, target, head.get("x-limpetsaddle-tenant")))
        time.sleep(self.work)
        fields = [("X-Limpetsaddle-Request-Id", ident),
                  ("X-Limpetsaddle-Response-Signature", "sig-%s-%s" % (self.id, ident))]
        fields += self.fields(head)
        answer = ("answer of %s to %s" % (self.id, ident)).encode()
        sock.sendall(message(200, fields, answer))
        self.record.write("replica %s: answered %s" % (self.id, ident))
        return True


class Daemon:
    """A machine of the system: the deploy file's program in a process of its own."""

    def __init__(self, name, store, folder, zone="a", lines="", ip=None):
        self.name = name
        self.folder = folder
        self.ip = ip or free_ip()
        self.front = (self.ip, 8000)
        self.ready = (self.ip, 8001)
        self.settings = os.path.join(folder, name + ".conf")
        self.process = None
        self.is_over = False
        self.lock = threading.Lock()
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings(name, self.ip, store.name, zone) + lines)

    def start(self):
        program = os.path.join(ROOT, "target", "release", "limpetsaddle")
        if not os.path.exists(program):
            raise CannotRun("target/release/limpetsaddle is missing: run the build of the deploy file")
        env = {"PATH": os.environ.get("PATH", ""), "LIMPETSADDLE_SETTINGS": self.settings}
        with self.lock:
            if self.is_over:
                return
            with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
                self.process = subprocess.Popen([program, "fleet"], cwd=ROOT, env=env,
                                                stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    def end(self):
        """Kills the process; it isn't started again."""
        with self.lock:
            self.is_over = True
        self.kill()

    def is_ready(self):
        try:
            return request(self.ready, "GET", "/limpetsaddle/ready", [], timeout=1.0).status == 200
        except OSError:
            return False

    def wait_ready(self, timeout=12.0):
        end = now() + timeout
        while now() < end:
            if self.process.poll() is not None:
                raise CannotRun("the daemon has ended; see %s.log" % self.name)
            if self.is_ready():
                return
            time.sleep(0.05)
        raise CannotRun("%s is not ready after %d s" % (self.name, timeout))

    def log(self):
        with open(os.path.join(self.folder, self.name + ".log"), encoding="utf-8",
                  errors="replace") as file:
            return file.read()


def settings(name, ip, store, zone):
    """The settings of a small deployment, as the pages show them."""
    return "\n".join([
        "node=" + name, "role=router", "machine_class=front", "serves=front", "ip=" + ip,
        "zone=" + zone, "region=r", "zones.a=r", "zones.b=r", "listen.front=%s:8000" % ip,
        "listen.ready=%s:8001" % ip, "port_range=7600,7615", "bootstrap=true",
        "limits.cpu_share=0.25", "limits.cores=1", "limits.memory_mb=110", "limits.max_fds=4100",
        "discovery=platform", "entry=virtual_ip", "heartbeat_ms=1200",
        "contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform",
        "fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
        "bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.stable_window_ms=3000",
        "bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000", "bounds.grace_s=8",
        "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250",
        "bounds.max_stretch_ms=5000", "bounds.revoke_strict=true", "bounds.revoke_ms=5000",
        "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.retry_slack=56",
        "bounds.quota_window_s=8", "bounds.quota_overage=0.1", "bounds.quota_slack=110000",
        "bounds.recovery_s=12", "bounds.transit_ms=120", "bounds.retry_after_s=10",
        "bounds.fencing_enforced=false", "bounds.lease_ms=3000", "bounds.thaw_slack_ms=300",
        "bounds.version_ms=6000", "bounds.version_all_ms=8400", "platform.addr=" + store,
        "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000",
        "platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000"]) + "\n"


class Answer:
    def __init__(self, status, head, body, is_complete=True):
        self.status = status
        self.head = head
        self.body = body
        self.is_complete = is_complete


def request(address, method, target, fields, body=b"", timeout=10.0):
    """Sends one request over a new connection and returns the answer."""
    with socket.create_connection(address, timeout=min(timeout, 1.0)) as sock:
        sock.settimeout(timeout)
        lines = ["%s %s HTTP/1.1" % (method, target)]
        if not any(name.lower() == "host" for name, _ in fields):
            lines.append("Host: " + HOST)
        lines += ["%s: %s" % field for field in fields]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        reader = Reader(sock)
        head = reader.head()
        if head is None:
            raise ConnectionError("closed without an answer")
        status = int(head.start.split(" ")[1])
        try:
            content = reader.body(head, until_close=True)
        except (OSError, ConnectionError):
            return Answer(status, head, b"", False)
        return Answer(status, head, content)


def client_fields(ident, key="key-one", deadline=4000):
    return [("X-Limpetsaddle-Request-Id", ident), ("X-Limpetsaddle-Credential", key),
            ("X-Limpetsaddle-Request-Deadline", str(deadline))]


def send(record, daemon, method, route, ident, key="key-one", deadline=4000, body=b"", more=()):
    """Sends a client's request to a machine and records the answer. Returns `None` if the
    connection ends without a complete answer."""
    target = "/%s" % route if "/" in route else "/%s/x" % route
    record.write("client -> %s: %s %s %s key=%s" % (daemon.name, ident, method, target, key))
    try:
        answer = request(daemon.front, method, target,
                         client_fields(ident, key, deadline) + list(more), body,
                         timeout=deadline / 1000 + 2)
    except (OSError, ConnectionError) as error:
        record.write("client <- %s: %s no answer: %s" % (daemon.name, ident, error))
        return None
    record.write("client <- %s: %s %d complete=%s %s" % (
        daemon.name, ident, answer.status, answer.is_complete, answer.body[:80]))
    return answer if answer.is_complete else None


def configuration(version, keys, more_routes=()):
    """The operator's configuration: one plain service and one model service."""
    def route(name, kind, service, **more):
        values = {"name": name, "host": HOST, "path_prefix": "/%s/" % name, "route_type": kind,
                  "service": service, "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2,
                  "max_attempts": 1, "public": False, "sticky": False, "resumable": False}
        values.update(more)
        return values
    return {
        "version": version,
        "routes": [
            route("confirm", "non_idempotent", "orders"),
            route("lookup", "idempotent", "orders", max_attempts=2),
            route("chat", "streaming", "lm", resumable=True, timeout_ms=12000, max_attempts=2,
                  target_latency_ms=400, gap_target_ms=400, sticky=True, priority=0),
            route("sort", "streaming", "lm", timeout_ms=5000, target_latency_ms=600,
                  gap_target_ms=400, sticky=True, priority=1),
        ] + list(more_routes),
        "services": [
            {"name": "orders", "health_path": "/health", "max_conns": 110, "protocol": "h1",
             "tls": False},
            {"name": "lm", "health_path": "/health", "max_conns": 370, "protocol": "h1",
             "tls": False, "engine": {"slots": 64, "kv_capacity": 94570, "kv_token_bytes": 163840,
                                      "link_mbps": 1100000.0, "moves": True, "backups": True,
                                      "models": [{"name": MODEL}]}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "team-one", "api_keys": list(keys), "priority": 1, "unit": "tokens",
                     "uncached_tokens": 200, "isolated": False, "rate_per_s": 127422,
                     "burst": 127422}],
    }


class Case:
    """Runs a case: ends everything, and exits with 0, 1 or 2."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = tempfile.mkdtemp(prefix="review-case-")
        self.daemons = []

    def daemon(self, name, store, **more):
        daemon = Daemon(name, store, self.temporary, **more)
        self.daemons.append(daemon)
        return daemon

    def run(self, body):
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        code = 2
        try:
            self.record.write("disruption: %s" % ("yes" if self.trouble else "no"))
            broken = body(self)
            for line in broken:
                self.record.write("BROKEN: " + line)
            self.record.write("result: %s" % ("the rule was broken" if broken else "the rule held"))
            code = 1 if broken else 0
        except CannotRun as error:
            self.record.write("result: the case could not run: %s" % error)
            print("the case could not run: %s" % error, file=sys.stderr)
        finally:
            for daemon in self.daemons:
                daemon.end()
            if os.environ.get("KEEP_LOGS"):
                for daemon in self.daemons:
                    print(daemon.name, self.temporary, file=sys.stderr)
            else:
                shutil.rmtree(self.temporary, ignore_errors=True)
            self.record.close()
        sys.stdout.flush()
        os._exit(code)

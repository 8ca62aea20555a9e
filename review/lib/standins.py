"""Stand-ins of the users' platform, of replicas and of clients, for the scripts of the review.

They follow the users' pages (PROTOCOL.md, DEPLOY.md and the news pages) and use loopback
addresses only. Python's standard library is enough.
"""

import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "target" / "release" / "limpetsaddle"

BROKEN, HELD, CANNOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case couldn't run."""


def free_port(ip="127.0.0.1"):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


def loopback():
    """A loopback address that hardly anything else uses: the port for metrics is fixed."""
    return f"127.{random.randrange(16, 250)}.{random.randrange(250)}.1"


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def add(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
            self.file.flush()


# ---------------------------------------------------------------- HTTP


class Head:
    def __init__(self, start, fields):
        self.start = start
        self.fields = fields  # names in lower case

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


def read_until(sock, buf, end, limit=1 << 20):
    while end not in buf:
        piece = sock.recv(65536)
        if not piece or len(buf) > limit:
            return None
        buf += piece
    at = buf.index(end) + len(end)
    found = bytes(buf[:at])
    del buf[:at]
    return found


def read_head(sock, buf):
    text = read_until(sock, buf, b"\r\n\r\n")
    if text is None:
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            fields[key.strip().lower()] = value.strip()
    return Head(lines[0], fields)


def read_exactly(sock, buf, length):
    while len(buf) < length:
        piece = sock.recv(min(1 << 20, length - len(buf)))
        if not piece:
            return None
        buf += piece
    body = bytes(buf[:length])
    del buf[:length]
    return body


def read_request(sock, buf):
    """Returns (head, body), or None at the end of the connection."""
    head = read_head(sock, buf)
    if head is None:
        return None
    body = read_exactly(sock, buf, int(head.get("content-length", "0")))
    if body is None:
        return None
    return head, body


def listener(ip, port):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind((ip, port))
    s.listen(512)
    return s


def serve(sock, handle):
    """Serves each connection in a thread of its own, as long as the process lives."""

    def accept():
        while True:
            try:
                conn, _ = sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=run, args=(conn,), daemon=True).start()

    def run(conn):
        try:
            handle(conn)
        except OSError:
            pass
        finally:
            conn.close()

    threading.Thread(target=accept, daemon=True).start()


def answer(conn, status, body=b"", fields=None, close=False):
    reason = {200: "OK", 201: "Created", 202: "Accepted", 404: "Not Found", 409: "Conflict",
              410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'Status')}"]
    lines += [f"{key}: {value}" for key, value in (fields or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    conn.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


# ---------------------------------------------------------------- the platform's store


class Store:
    """The platform's store in the form `objects`."""

    def __init__(self, ip="127.0.0.1"):
        self.changed = threading.Condition()
        self.revision = 1
        self.oldest = 0
        self.objects = {}  # (kind, name) -> (revision, spec)
        self.events = []  # (revision, kind, name, spec, deleted)
        self.era = None  # the header is sent once it is set
        self.away = False
        self.on_write = lambda kind, name, spec: None
        self.socket = listener(ip, 0)
        self.address = "%s:%d" % self.socket.getsockname()
        serve(self.socket, self.connection)

    def put(self, kind, name, spec):
        with self.changed:
            return self._put(kind, name, spec)

    def _put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known and known[1] == spec:
            return known[0]
        self.revision += 1
        self.objects[(kind, name)] = (self.revision, spec)
        self.events.append((self.revision, kind, name, spec, False))
        self.changed.notify_all()
        return self.revision

    def remove(self, kind, name):
        with self.changed:
            self._remove(kind, name)

    def _remove(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known:
            self.revision += 1
            self.events.append((self.revision, kind, name, known[1], True))
            self.changed.notify_all()

    def copy(self):
        with self.changed:
            return self.revision, dict(self.objects)

    def restore(self, copy):
        """Comes back from an older copy: what was written since is lost."""
        with self.changed:
            self.revision, objects = copy
            self.objects = dict(objects)
            self.events = [e for e in self.events if e[0] <= self.revision]
            self.era = (self.era or 0) + 1
            self.changed.notify_all()

    @staticmethod
    def document(name, revision, spec):
        metadata = {"name": name, "revision": revision, "created": 1, "finalizers": [],
                    "deleting": False}
        return {"metadata": metadata, "spec": spec, "status": None}

    def connection(self, conn):
        buf = bytearray()
        while True:
            req = read_request(conn, buf)
            if req is None:
                return
            if self.away:
                return
            head, body = req
            status, result = self.call(head, body)
            if self.away:
                return
            fields = {"Content-Type": "application/json"}
            if self.era is not None:
                fields["Store-Era"] = self.era
            answer(conn, status, json.dumps(result).encode(), fields)

    def call(self, head, body):
        method, target, _ = head.start.split(" ", 2)
        path, _, query = target.partition("?")
        query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        parts = path.strip("/").split("/")
        if parts[:2] != ["limpetsaddle", "objects"]:
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if method == "GET" and name is None and "watch" in query:
            return self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")))
        with self.changed:
            if method == "GET" and name is None:
                after = query.get("after", "")
                found = sorted((n, o) for (k, n), o in self.objects.items() if k == kind and n > after)
                items = [self.document(n, *o) for n, o in found[:500]]
                return 200, {"items": items, "has_more": len(found) > 500, "at": self.revision}
            known = self.objects.get((kind, name))
            if method == "GET":
                return (200, self.document(name, *known)) if known else (404, {})
            if method == "DELETE":
                if not known:
                    return 404, {}
                if "revision" in query and int(query["revision"]) != known[0]:
                    return 409, self.document(name, *known)
                self._remove(kind, name)
                return 200, self.document(name, *known)
            document = json.loads(body)
            expected = document.get("metadata", {}).get("revision")
            if method == "PUT" and not known:
                return 404, {}
            if known and (method == "POST" or expected not in (None, known[0])):
                return 409, self.document(name, *known)
            revision = self._put(kind, name, document.get("spec"))
            self.on_write(kind, name, document.get("spec"))
            return 200, self.document(name, revision, document.get("spec"))

    def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        era = self.era
        with self.changed:
            while True:
                if since > self.revision or since < self.oldest or era != self.era:
                    return 410, {}
                events = [e for e in self.events if e[0] > since and e[1] == kind]
                left = end - time.monotonic()
                if events or left <= 0 or self.away:
                    events = [{"object": self.document(e[2], e[0], e[3]), "deleted": e[4]}
                              for e in events]
                    return 200, {"events": events, "at": self.revision}
                self.changed.wait(min(left, 0.2))


# ---------------------------------------------------------------- processes


class Processes:
    """The processes of a run, all of which are ended at its end."""

    def __init__(self):
        self.all = []
        self.folder = tempfile.TemporaryDirectory(prefix="review-")

    def start(self, command, **options):
        process = subprocess.Popen(command, **options)
        self.all.append(process)
        return process

    def end(self):
        for process in self.all:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.folder.cleanup()


class Instance:
    """An instance of the system under test, as the deploy file starts it."""

    def __init__(self, processes, store, name, ip, zone="a", extra=""):
        self.processes, self.name, self.ip = processes, name, ip
        self.front, self.ready = free_port(ip), free_port(ip)
        self.settings = Path(processes.folder.name) / f"{name}.conf"
        self.log_path = Path(processes.folder.name) / f"{name}.log"
        self.settings.write_text(
            f"node={name}\nrole=router\nmachine_class=front\nserves=front\nip={ip}\nzone={zone}\n"
            f"region=r\nlisten.front={ip}:{self.front}\nlisten.ready={ip}:{self.ready}\n"
            f"port_range=7600,7615\nlimits.cpu_share=0.25\nlimits.memory_mb=110\n"
            f"limits.max_fds=4100\ndiscovery=platform\nplatform.addr={store.address}\n"
            f"platform.form=objects\nbounds.stable_window_ms=3000\nbounds.drain_ms=2000\n"
            f"bounds.grace_s=8\nbounds.config_apply_ms=2000\nbounds.revoke_strict=true\n"
            f"bounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
            f"bounds.retry_slack=56\nbounds.quota_window_s=8\nbounds.quota_overage=0.1\n"
            f"bounds.quota_slack=110000\nbounds.fencing_enforced=false\nbounds.lease_ms=3000\n"
            f"bounds.thaw_slack_ms=300\nbounds.version_ms=6000\n" + extra
        )
        self.process = None

    def start(self):
        if not PROGRAM.exists():
            raise CannotRun("target/release/limpetsaddle is missing: build it first")
        log = open(self.log_path, "ab")
        env = {"PATH": os.environ.get("PATH", ""), "LIMPETSADDLE_SETTINGS": str(self.settings)}
        self.process = self.processes.start(
            [str(PROGRAM), "fleet"], env=env, cwd=ROOT, stdout=log, stderr=log
        )
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ready), 1) as conn:
                conn.sendall(b"GET /limpetsaddle/ready HTTP/1.1\r\nHost: balancer\r\n\r\n")
                head = read_head(conn, bytearray())
                return head is not None and " 200" in head.start
        except OSError:
            return False

    def wait_ready(self, limit=15):
        wait_for(self.is_ready, limit, f"{self.name} to be ready")

    def log(self):
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""


def wait_for(condition, limit, what):
    end = time.monotonic() + limit
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(f"waited in vain for {what}")
        time.sleep(0.02)


# ---------------------------------------------------------------- clients


class Answer:
    """What a client got: a status, fields and a body, and whether it looks complete."""

    def __init__(self):
        self.status, self.fields, self.body = None, {}, b""
        self.complete = False
        self.end = "no answer"

    def __str__(self):
        state = "complete" if self.complete else f"not complete ({self.end})"
        return f"{self.status}, {len(self.body)} bytes, {state}"


def request(address, method, target, fields, body=b"", timeout=20, on_piece=None):
    """Sends a request over a new connection and reads the answer to its end."""
    result = Answer()
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{key}: {value}" for key, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    try:
        with socket.create_connection(address, 1) as conn:
            conn.settimeout(timeout)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            conn.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            read_answer(conn, bytearray(), result, on_piece)
    except OSError as error:
        result.end = type(error).__name__
    return result


def read_answer(conn, buf, result, on_piece=None):
    head = read_head(conn, buf)
    if head is None:
        result.end = "closed before the head"
        return
    result.status, result.fields = int(head.start.split(" ")[1]), head.fields

    def add(piece):
        result.body += piece
        if on_piece:
            on_piece(piece)

    if head.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = read_until(conn, buf, b"\r\n")
            if line is None:
                result.end = "closed within a chunked body"
                return
            size = int(line.split(b";")[0], 16)
            piece = read_exactly(conn, buf, size + 2)
            if piece is None:
                result.end = "closed within a chunk"
                return
            if size == 0:
                break
            add(piece[:-2])
    elif head.get("content-length") is not None:
        left = int(head.get("content-length"))
        while left:
            if not buf:
                piece = conn.recv(65536)
                if not piece:
                    result.end = "closed within a body with a length"
                    return
                buf += piece
            piece = bytes(buf[:left])
            del buf[:left]
            left -= len(piece)
            add(piece)
    else:
        result.end = "neither a length nor chunks"
        return
    result.complete, result.end = True, "complete"


def run_case(main):
    """Runs a case and exits with its result."""
    processes = Processes()
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"disruption: {'yes' if trouble else 'no'}")
    code = CANNOT_RUN
    try:
        broken = main(processes, record, trouble)
        code = BROKEN if broken else HELD
        record.add("the rule was broken" if broken else "the rule held")
    except CannotRun as error:
        record.add(f"the case couldn't run: {error}")
        print(f"the case couldn't run: {error}", file=sys.stderr)
    except Exception as error:  # a fault of the script is no result
        record.add(f"the script failed: {error!r}")
        print(f"the script failed: {error!r}", file=sys.stderr)
    finally:
        processes.end()
    print({BROKEN: "the rule was broken", HELD: "the rule held"}.get(code, "not run"))
    os._exit(code)


class ReplicaProcess:
    """A replica in a process of its own, and what it has told."""

    def __init__(self, processes, record, **options):
        self.options, self.record = options, record
        self.events, self.address, self.born = [], None, None
        path = Path(__file__).resolve().parent / "replica.py"
        self.process = processes.start(
            [sys.executable, "-u", str(path), json.dumps(options)],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )
        threading.Thread(target=self.read, daemon=True).start()
        wait_for(lambda: self.address, 10, f"replica {options['id']}")

    def read(self):
        for line in self.process.stdout:
            event = json.loads(line) | {"at": time.monotonic()}
            if "address" in event:
                self.born, self.address = event["born"], event["address"]
            self.events.append(event)
            if "event" not in event:
                self.record.add(f"replica {self.options['id']}: {line.strip()}")

    def change(self, **options):
        self.process.stdin.write(json.dumps(options) + "\n")
        self.process.stdin.flush()

    def kill(self):
        self.process.kill()
        self.process.wait()

    def told(self, key):
        return [event for event in list(self.events) if key in event]

    def entry(self, service, state="ready", seq=1):
        """The replica's entry in the store."""
        entry = {"service": service, "addr": self.address, "zone": "a", "version": "v1",
                 "slots": 64, "state": state, "cold_remaining_ms": 0, "seq": seq,
                 "stage": "colocated", "born": self.born, "models": []}
        if self.options["kind"] == "engine":
            version = self.options.get("version", 1)
            entry["models"] = [{"name": "m", "version": version, "adapters": []}]
        return entry


# ---------------------------------------------------------------- a small deployment

HOST = "shop.example"
KEYS = {"team-one": "key-one", "team-two": "key-two"}


def configuration(version, isolated=(), max_body_bytes=4194304):
    """A configuration like the one that `fleetbench wire` shows."""

    def route(name, kind, service, timeout, target, attempts, more=None):
        fields = {"name": name, "host": HOST, "path_prefix": f"/{name}/", "route_type": kind,
                  "timeout_ms": timeout, "target_latency_ms": target, "priority": 1,
                  "service": service, "max_attempts": attempts, "public": False,
                  "sticky": kind == "streaming", "resumable": False}
        return fields | (more or {})

    tenants = [{"name": name, "api_keys": [key], "priority": 1, "unit": "tokens",
                "uncached_tokens": 200, "isolated": name in isolated,
                "rate_per_s": 127422, "burst": 127422} for name, key in KEYS.items()]
    return {
        "version": version,
        "routes": [
            route("sort", "streaming", "lm", 5000, 600, 1, {"gap_target_ms": 400}),
            route("reply", "streaming", "lm", 12000, 400, 2,
                  {"gap_target_ms": 400, "resumable": True}),
            route("confirm", "non_idempotent", "desk", 4000, 300, 1),
            route("lookup", "idempotent", "desk", 4000, 300, 2),
        ],
        "services": [
            {"name": "lm", "health_path": "/health", "max_conns": 370, "protocol": "h1",
             "tls": False, "engine": {"slots": 64, "kv_capacity": 94570, "kv_token_bytes": 163840,
             "link_mbps": 1100000.0, "moves": True, "backups": True, "stride": 6,
             "max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
             "models": [{"name": "m"}]}},
            {"name": "desk", "health_path": "/health", "max_conns": 110, "protocol": "h1",
             "tls": False},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": tenants,
    }


def prompt_fields(name, key="key-one", deadline=12000, prefix=None, usage="826,49"):
    return {"Host": HOST, "X-Limpetsaddle-Request-Id": name, "X-Limpetsaddle-Model": "m",
            "X-Limpetsaddle-Token-Usage": usage,
            "X-Limpetsaddle-Prompt-Prefix": prefix or f"5c1e07a2:119,91bd3f06:79,{name}:628",
            "X-Limpetsaddle-Request-Deadline": deadline, "X-Limpetsaddle-Credential": key}


def plain_fields(name, key="key-one", deadline=4000):
    return {"Host": HOST, "X-Limpetsaddle-Request-Id": name,
            "X-Limpetsaddle-Request-Deadline": deadline, "X-Limpetsaddle-Credential": key}


def all_threads(targets):
    threads = [threading.Thread(target=target) for target in targets]
    for thread in threads:
        thread.start()
    return threads

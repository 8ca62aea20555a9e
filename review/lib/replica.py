"""A stand-in of one replica, in a process of its own.

    python3 replica.py '{"id": "e-1", "ip": "127.0.0.1", "kind": "engine", ...}'

It prints a line of JSON for all that happens, the first of which names its address. Lines on
standard input change its options: {"leaving": true}.

Options: kind (engine | plain), framing (chunks | length | close), events, first_ms (until the
first event), pause_ms (between two events), silence_after and silence_ms (a pause after the event
of that number), full (new requests are rejected), work_ms (before a plain answer), hold_ms (silence between the halves of a plain answer),
harmful (prompts with this part end the process) and crash_ms (that long after their arrival),
crash_begun (first the head and an event are sent),
leaving (each answer says `Server-Leaving: 1`), version (of the weights).
"""

import json
import os
import signal
import sys
import threading
import time

import standins

options = json.loads(sys.argv[1])
lock = threading.Lock()
started = int(time.time() * 1000)
orders = 0


def tell(**event):
    with lock:
        print(json.dumps(event), flush=True)


def listen_to_script():
    for line in sys.stdin:
        options.update(json.loads(line))
        tell(options=json.loads(line))


def framing_fields(length):
    if options["framing"] == "length":
        return {"Content-Length": length}
    if options["framing"] == "chunks":
        return {"Transfer-Encoding": "chunked"}
    return {}


def send_head(conn, status, fields):
    lines = [f"HTTP/1.1 {status} OK"] + [f"{k}: {v}" for k, v in fields.items()]
    if options.get("leaving"):
        lines.append("Server-Leaving: 1")
    conn.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")


def send_piece(conn, piece):
    if options["framing"] == "chunks":
        piece = b"%x\r\n%s\r\n" % (len(piece), piece)
    conn.sendall(piece)


def end_body(conn):
    if options["framing"] == "chunks":
        conn.sendall(b"0\r\n\r\n")


def connection(conn):
    buf = bytearray()
    while True:
        req = standins.read_request(conn, buf)
        if req is None:
            return
        head, body = req
        expected = head.get("x-limpetsaddle-expect-instance")
        if expected not in (None, options["id"]):
            standins.answer(conn, 421, fields={"X-Limpetsaddle-Instance-Id": options["id"]})
            continue
        if not handle(conn, head, body):
            return


def handle(conn, head, body):
    global orders
    target = head.start.split(" ")[1]
    leaving = {"Server-Leaving": "1"} if options.get("leaving") else {}
    if target == "/limpetsaddle/report":
        report = {"stage": "colocated", "busy": False, "seq": orders, "queued": 0, "running": 0,
                  "kv_used": 0, "kv_total": 90000, "handles": 0, "born": started,
                  "models": [{"name": "m", "version": options.get("version", 1), "adapters": []}]}
        standins.answer(conn, 200, json.dumps(report).encode(), leaving)
        return True
    if target == "/limpetsaddle/order":
        order = json.loads(body)
        accepted = order.get("precondition") in (None, orders)
        tell(order=order, accepted=accepted)
        if accepted:
            orders += 1
            options["version"] = order["version"]
        standins.answer(conn, 202 if accepted else 409, fields=leaving)
        return True
    name = head.get("x-limpetsaddle-request-id")
    if options.get("full"):
        tell(rejects=name, after=head.get("last-event-id"))
        standins.answer(conn, 503, fields=leaving | {"X-Limpetsaddle-Not-Executed": "1",
                                                     "X-Limpetsaddle-Request-Id": name})
        return True
    tell(runs=name, target=target, salt=head.get("x-limpetsaddle-cache-salt"),
         prefix=head.get("x-limpetsaddle-prompt-prefix"),
         tenant=head.get("x-limpetsaddle-tenant"), after=head.get("last-event-id"))
    fields = {"X-Limpetsaddle-Request-Id": name,
              "X-Limpetsaddle-Response-Signature": f"sig-{options['id']}-{name}",
              "X-Limpetsaddle-Instance-Id": options["id"]}
    if options["kind"] == "engine":
        return stream(conn, head, name, fields)
    return plain(conn, name, fields)


def stream(conn, head, name, fields):
    parts = [part.split(":")[0] for part in head.get("x-limpetsaddle-prompt-prefix", "").split(",")]
    if options.get("harmful") in parts[:-1]:
        tell(harmed=name)
        if options.get("crash_begun"):
            send_head(conn, 200, fields | framing_fields(0) | {"Content-Type": "text/event-stream"})
            send_piece(conn, b"id: 1\ndata: piece 1 of %s\n\n" % name.encode())
        time.sleep(options["crash_ms"] / 1000)
        os.kill(os.getpid(), signal.SIGKILL)
    fields["Content-Type"] = "text/event-stream"
    fields["X-Limpetsaddle-Weight-Versions"] = str(options.get("version", 1))
    if options["framing"] != "length":
        fields.update(framing_fields(0))
    first = int(head.get("last-event-id", "0")) + 1
    time.sleep(options.get("first_ms", 20) / 1000)
    send_head(conn, 200, fields)
    for event in range(first, options["events"] + 1):
        send_piece(conn, b"id: %d\ndata: piece %d of %s\n\n" % (event, event, name.encode()))
        tell(event=event, of=name)
        time.sleep(options["pause_ms"] / 1000)
        if event == options.get("silence_after"):
            tell(silent=name, ms=options["silence_ms"])
            time.sleep(options["silence_ms"] / 1000)
    end_body(conn)
    tell(ended=name)
    return options["framing"] != "close"


def plain(conn, name, fields):
    text = b"answer to %s: " % name.encode() + b"x" * 780
    time.sleep(options.get("work_ms", 60) / 1000)
    fields.update(framing_fields(len(text)))
    send_head(conn, 200, fields)
    half = len(text) // 2
    send_piece(conn, text[:half])
    tell(half=name, bytes=half, whole=len(text))
    time.sleep(options.get("hold_ms", 0) / 1000)
    send_piece(conn, text[half:])
    end_body(conn)
    tell(ended=name)
    return options["framing"] != "close"


def main():
    sock = standins.listener(options["ip"], 0)
    standins.serve(sock, connection)
    tell(address="%s:%d" % sock.getsockname(), born=started)
    listen_to_script()
    # Lives on until it is killed.
    threading.Event().wait()


main()

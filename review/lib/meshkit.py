"""Stand-ins for the review scripts: the platform's store, application instances, clients, and the
node processes of a small deployment. Everything listens on loopback addresses and free ports.

The stand-ins follow PROTOCOL.md; where it is silent they behave like a sound peer.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODE_PROGRAM = os.path.join("target", "release", "ibisrouted")

# Answer time of the platform's store (4 ms an answer on the site's sheet).
STORE_ANSWER_S = 0.004
# Bounds and figures of kbtb-mesh.
HEARTBEAT_S = 1.5
GRACE_S = 6
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0

START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1 << 16)

    def line(self, kind, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{now():9.4f} {kind} {text}\n")

    def close(self):
        self.file.flush()
        self.file.close()


class HttpError(Exception):
    pass


async def read_head(reader):
    """Returns the start line and the headers, names in lower case; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if e.partial.strip():
            raise HttpError("head cut") from e
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def put(self, table, key, value):
        """A write of the operator."""
        await self.apply([(table, key, value)])
        self.record.line("operator", wrote=f"{table}/{key}", row=self.version)

    async def apply(self, puts):
        async with self.changed:
            self.version += 1
            for table, key, value in puts:
                self.rows[(table, key)] = (value, self.version)
            self.changed.notify_all()

    def row(self, table, key):
        value, version = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "resource_version": version,
                "value": base64.b64encode(value).decode()}

    def reply(self, **fields):
        fields.setdefault("resource_version", self.version)
        fields.setdefault("now_s", now())
        return json.dumps(fields).encode()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                status, answer = await self.answer(method, target, body)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(answer)) + answer)
                await writer.drain()
        except (OSError, HttpError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        self.calls += 1
        path, _, query = target.partition("?")
        args = dict(p.partition("=")[::2] for p in query.split("&") if p)
        await asyncio.sleep(STORE_ANSWER_S)
        if method == "POST" and path == "/-/rows-tx":
            tx = json.loads(body)
            expect, puts = tx.get("expect", []), tx.get("puts", [])
            if any(p["table"] in ("op", "servers") for p in puts):
                return 403, b"{}"
            for e in expect:
                key = (e["table"], e["key"])
                if self.rows.get(key, (None, 0))[1] != e["resource_version"]:
                    rows = [self.row(x["table"], x["key"]) for x in expect
                            if (x["table"], x["key"]) in self.rows]
                    return 412, self.reply(rows=rows)
            await self.apply([(p["table"], p["key"], base64.b64decode(p["value"])) for p in puts])
            for p in puts:
                self.record.line("store", wrote=f"{p['table']}/{p['key']}", row=self.version,
                                 value=base64.b64decode(p["value"]).decode("latin-1"))
            return 200, self.reply()
        if path == "/-/rows-get":
            start = args.get("from", "").replace("%00", "\0")
            keys = sorted(k for t, k in self.rows if t == args["table"] and k >= start)
            return 200, self.reply(rows=[self.row(args["table"], k) for k in keys], has_more=False)
        if path == "/-/rows-feed":
            table, after = args["table"], int(args["after"])
            end = time.monotonic() + int(args["wait_ms"]) / 1000
            while True:
                rows = [self.row(t, k) for (t, k), (_, v) in self.rows.items()
                        if t == table and v > after]
                left = end - time.monotonic()
                if rows or left <= 0:
                    rows.sort(key=lambda r: r["resource_version"])
                    return 200, self.reply(rows=rows)
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        return 404, b"{}"


class Instance:
    """An application instance: `slots` requests at a time, a short queue, heartbeats to its node."""

    def __init__(self, record, node, service, slots=12, queue=48, work_s=0.06, version="v1"):
        self.record, self.node, self.service, self.version = record, node, service, version
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.slot_free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.received = {}
        self.ran = {}
        # Called with the request's head before the answer is written; returns True if it has taken over
        # the connection, which is closed afterwards.
        self.misbehave = None
        self.state = "ready"
        # Share of the requests that end with a failure of the instance.
        self.fail_share = 0.0
        self.connections = set()
        # Where heartbeats go; a relay may stand in front of the node.
        self.control = node.listen["targets"]

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.node.ip, 0)
        self.address = "%s:%d" % (self.node.ip, self.server.sockets[0].getsockname()[1])
        self.beats = asyncio.ensure_future(self.beat_forever())

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    async def beat(self):
        self.sequence += 1
        body = json.dumps({
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": self.version, "zone": self.node.zone,
                     "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "cold_remaining_s": 0},
        }).encode()
        return await control_call(self.control, "PUT", f"/-/instances/{self.id}", body)

    def stop(self):
        """Ends at once."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def leave(self):
        """Tells the node that the instance leaves, without a `draining` before; returns the status. No
        heartbeat follows."""
        self.beats.cancel()
        return await control_call(self.control, "DELETE", f"/-/instances/{self.id}")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if not await self.handle(head, body, reader, writer):
                    break
        except (OSError, HttpError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, head, body, reader, writer):
        headers = head[1]
        request_id = headers.get("request-id", "")
        common = (f"Request-Id: {request_id}\r\nServer-Load: {self.running},{self.waiting},{self.slots}"
                  f"\r\nKeep-Alive: timeout=10\r\n")
        if headers.get("target-instance", self.id) != self.id:
            writer.write(f"HTTP/1.1 421 X\r\nInstance-Id: {self.id}\r\n{common}"
                         "Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        if self.waiting >= self.queue:
            writer.write(f"HTTP/1.1 503 X\r\nNot-Executed: 1\r\n{common}"
                         "Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        self.received[request_id] = now()
        self.waiting += 1
        async with self.slot_free:
            self.waiting -= 1
            self.running += 1
            try:
                self.ran[request_id] = self.ran.get(request_id, 0) + 1
                self.record.line("run", id=request_id, instance=self.id, service=self.service,
                                 version=self.version, bytes=len(body))
                work = self.work_s() if callable(self.work_s) else self.work_s
                await asyncio.sleep(work)
                if self.misbehave and await self.misbehave(self, head, writer):
                    return False
                answer = f"{self.service} {self.id} {request_id}\n".encode() * 20
                status = "500 X" if random.random() < self.fail_share else "200 OK"
                writer.write(f"HTTP/1.1 {status}\r\nResponse-Signature: s.{self.id}.{request_id}\r\n{common}"
                             f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
                return True
            finally:
                self.running -= 1


async def control_call(address, method, path, body=b""):
    """A call to a node's own interface; returns the status, or None without an answer in a second."""
    async def call():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
                         f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            head = await read_head(reader)
            return int(head[0].split(" ")[1]) if head else None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(call(), 1.0)
    except (OSError, HttpError, asyncio.TimeoutError):
        return None


class Relay:
    """A proxy between an instance and its node that can deliver a call late."""

    def __init__(self, record, ip, target):
        self.record, self.ip, self.target = record, ip, target
        self.delay_s = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % (self.ip, self.server.sockets[0].getsockname()[1])

    async def serve(self, reader, writer):
        delay_s = self.delay_s
        try:
            request = await read_head(reader)
            if request is None:
                return
            body = await read_body(reader, request[1])
            if delay_s:
                self.record.line("relay", holds=request[0].replace(" ", "_"), s=delay_s)
                await asyncio.sleep(delay_s)
            method, path, _ = request[0].split(" ")
            status = await control_call(self.target, method, path, body)
            if delay_s:
                self.record.line("relay", delivers=request[0].replace(" ", "_"), status=status)
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\n{}" % (status or 504))
            await writer.drain()
        except (OSError, HttpError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def free_ports(ip, count):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind((ip, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Node:
    """A machine: its loopback address and its node process, started with the command of the deploy
    file and settings like those of its template."""

    def __init__(self, mesh, index, zone, service):
        self.mesh, self.name = mesh, f"sidecar-{zone}-{index}"
        self.zone, self.service = zone, service
        self.ip = f"127.{mesh.net[0]}.{mesh.net[1]}.{index + 1}"
        names = ("callers", "targets", "ready", "peers", "metrics")
        self.listen = {n: f"{self.ip}:{p}" for n, p in zip(names, free_ports(self.ip, len(names)))}
        self.process = None
        self.starts = 0
        self.own_ends = []
        self.peak_mb = 0

    def start(self, first):
        settings = {
            "node": self.name, "data_centre": self.zone, "service": self.service,
            "listen": self.listen,
            "store": {"request_timeout_ms": 2200, "address": self.mesh.store.address},
            "bounds": {"retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58, "grace_s": GRACE_S},
            "link": {"mbps": 1000.0}, "memory": {"limit_mb": self.mesh.memory_mb},
        }
        if first:
            settings["first_start"] = True
        path = os.path.join(self.mesh.folder, self.name + ".json")
        with open(path, "w") as f:
            json.dump(settings, f)
        self.starts += 1
        log = open(os.path.join(self.mesh.folder, f"{self.name}.{self.starts}.log"), "w")
        self.process = subprocess.Popen([NODE_PROGRAM, "--mesh", "--settings", path], cwd=ROOT,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.mesh.record.line("start", node=self.name, pid=self.process.pid)

    def rss_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm") as f:
                return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
        except (AttributeError, OSError, IndexError, ValueError):
            # The process is being started again.
            return 0.0

    async def ready(self):
        return await control_call(self.listen["ready"], "GET", "/-/ready") == 200


class Mesh:
    """Store, nodes and instances of a small deployment."""

    def __init__(self, record, memory_mb=110):
        self.record, self.memory_mb = record, memory_mb
        self.folder = tempfile.mkdtemp(prefix="ibis-review-")
        self.net = (random.randint(2, 250), random.randint(0, 250))
        self.store = Store(record)
        self.nodes, self.instances, self.leaving = [], [], []
        self.machines = 0
        self.ending = False

    def node(self, zone, service):
        node = Node(self, self.machines, zone, service)
        self.machines += 1
        self.nodes.append(node)
        return node

    async def start(self):
        for node in self.nodes:
            node.start(first=True)
        self.watcher = asyncio.ensure_future(self.watch_processes())

    async def wait_ready(self, limit_s=15):
        end = now() + limit_s
        for node in self.nodes:
            while not await node.ready():
                if now() > end:
                    raise RuntimeError(f"{node.name} was not ready in {limit_s} s")
                await asyncio.sleep(0.1)

    async def watch_processes(self):
        """The platform's part: kills a process that exceeds its memory, and starts again one that
        has ended, after a short delay."""
        while not self.ending:
            for node in self.nodes:
                if node.process is None:
                    continue
                rss = node.rss_mb()
                node.peak_mb = max(node.peak_mb, rss)
                if rss > self.memory_mb:
                    node.process.kill()
                if node.process.poll() is not None and not self.ending:
                    node.own_ends.append(now())
                    self.record.line("ended-by-itself", node=node.name, rss_mb=f"{rss:.0f}",
                                     status=node.process.returncode)
                    node.process = None
                    asyncio.ensure_future(self.restart(node))
            await asyncio.sleep(0.01)

    async def restart(self, node):
        await asyncio.sleep(0.5)
        if not self.ending:
            node.start(first=False)

    async def term_and_start_again(self, node):
        """Planned work: SIGTERM, SIGKILL after the grace period, and a new start."""
        process, node.process = node.process, None
        self.record.line("sigterm", node=node.name)
        process.send_signal(signal.SIGTERM)
        end = now() + GRACE_S
        while process.poll() is None:
            if now() > end:
                process.kill()
            await asyncio.sleep(0.02)
        self.record.line("ended", node=node.name, status=process.returncode)
        node.start(first=False)

    def remove(self, node):
        """Takes a machine away, with SIGTERM."""
        process, node.process = node.process, None
        self.nodes.remove(node)
        self.leaving.append(process)
        self.record.line("sigterm", node=node.name)
        process.send_signal(signal.SIGTERM)

    def stop(self):
        self.ending = True
        for process in self.leaving:
            if process.poll() is None:
                process.kill()
            process.wait()
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
        for node in self.nodes:
            if node.process:
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, timeout_s, target_s, priority, host="ficu95.example"):
    return {"resource_type": "routes", "metadata": {"name": name}, "spec": {
        "host": host, "prefix": prefix, "type": kind, "timeout_s": timeout_s,
        "target_latency_s": target_s, "priority": priority, "service": service, "max_attempts": 2}}


def config(version, routes, services):
    resources = list(routes)
    for name in services:
        resources.append({"resource_type": "services", "metadata": {"name": name}, "spec": {
            "health_check_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}})
    resources.append({"resource_type": "limits", "metadata": {}, "spec": {
        "max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3,
        "idle_timeout_s": 15}})
    return json.dumps({"version": version, "resources": resources}).encode()


class Sent:
    """A request of a client and its end: `status` of the answer, or None if the connection ended without
    one, and whether the client itself gave up."""

    __slots__ = ("id", "node", "path", "at", "ended", "status", "kept", "gave_up", "body")

    def __init__(self, request_id, node, path, kept):
        self.id, self.node, self.path, self.kept = request_id, node, path, kept
        self.at, self.ended, self.status, self.gave_up, self.body = now(), None, None, False, b""


class Client:
    """A client of a machine; keeps its connection open for many requests."""

    def __init__(self, record, node, host="ficu95.example"):
        self.record, self.node, self.host = record, node, host
        self.reader = self.writer = None

    async def send(self, method, path, deadline_s, body=b"", headers=()):
        kept = self.writer is not None
        if not kept:
            host, port = self.node.listen["callers"].rsplit(":", 1)
            try:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port)), 1.0)
            except (OSError, asyncio.TimeoutError):
                self.reader = self.writer = None
                return None
        sent = Sent(f"{random.getrandbits(64):016x}", self.node, path, kept)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.host}", f"Request-Id: {sent.id}",
                 f"Deadline-Ms: {int(deadline_s * 1000)}"]
        lines += [f"{n}: {v}" for n, v in headers]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        try:
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            status, answer_headers, answer = await asyncio.wait_for(self.answer(), deadline_s + 0.5)
            sent.status, sent.body = status, answer
            if answer_headers.get("connection", "").lower() == "close":
                self.close()
        except asyncio.TimeoutError:
            sent.gave_up = True
            self.close()
        except (OSError, HttpError, asyncio.IncompleteReadError):
            self.close()
        sent.ended = now()
        self.record.line("sent", id=sent.id, node=self.node.name, method=method, path=path,
                         at=f"{sent.at:.4f}", kept=kept, status=sent.status, gave_up=sent.gave_up)
        return sent

    async def answer(self):
        head = await read_head(self.reader)
        if head is None:
            raise HttpError("closed without an answer")
        status = int(head[0].split(" ")[1])
        return status, head[1], await read_body(self.reader, head[1])

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def run_case(folder, main):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line("case", trouble=trouble)
    result, mesh = 2, None

    def stopped(*_):
        # The processes of the case end with it, also when it is stopped from outside.
        if mesh:
            mesh.stop()
        os._exit(2)

    signal.signal(signal.SIGTERM, stopped)
    signal.signal(signal.SIGALRM, stopped)
    signal.alarm(117)
    try:
        if not os.path.exists(os.path.join(ROOT, NODE_PROGRAM)):
            raise RuntimeError(f"{NODE_PROGRAM} is missing: build it with the command of the deploy file")
        mesh = Mesh(record)

        async def bounded():
            return await asyncio.wait_for(main(mesh, record, trouble), 112)
        # The other tasks aren't waited for: the process ends.
        broken, text = asyncio.new_event_loop().run_until_complete(bounded())
        result = 1 if broken else 0
    except Exception as e:  # the case could not run
        text = f"could not run: {e!r}"
    finally:
        if mesh:
            mesh.stop()
    print(text, flush=True)
    record.line("result", exit=result, text=text.replace("\n", "; "))
    record.close()
    # Connections that are still open need no orderly end.
    os._exit(result)

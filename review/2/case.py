"""Some instances send bytes without end in place of a body, until the caller closes."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import meshkit as kit  # noqa: E402

SERVICES = ("tempahan", "dokumen")
# As `garble` on kbtb-mesh with `how = "unframed"`: x = 0.05 for 5 s on share = 0.5 (the default) of a
# service's instances.
GARBLE_SHARE, GARBLE_X, GARBLE_S = 0.5, 0.05, 5.0
# The trouble may come more than once; it comes twice.
GARBLE_AT_S = (4.0, 13.0)
TRAFFIC_S = 22.0
CLIENTS_PER_NODE = 20


async def endless(instance, head, writer):
    """A 200 without a length whose bytes don't end; returns when the caller has closed."""
    start = kit.now()
    head_text = (f"HTTP/1.1 200 OK\r\nRequest-Id: {head[1].get('request-id')}\r\n"
                 f"Response-Signature: s.{instance.id}\r\n\r\n")
    writer.write(head_text.encode())
    chunk = b"\x55" * 65536
    sent = 0
    try:
        while kit.now() - start < 10:
            writer.write(chunk)
            sent += len(chunk)
            await writer.drain()
    except OSError:
        pass
    instance.record.line("endless-answer", id=head[1].get("request-id"), instance=instance.id,
                         bytes_sent=sent, s=f"{kit.now() - start:.3f}")
    return True


async def client(mesh, record, node, end, results):
    connection = kit.Client(record, node)
    while kit.now() < end:
        # The mix of the sheet: status checks, bookings, uploads.
        kind = random.choices(("status", "booking", "drawing"), (5.7, 1.7, 0.63))[0]
        if kind == "status":
            sent = await connection.send("GET", "/status/1", 0.8)
        elif kind == "booking":
            sent = await connection.send("POST", "/booking/1", 1.0, b"b" * 1200)
        else:
            sent = await connection.send("POST", "/drawing/1", 1.2, b"d" * 280_000)
        if sent is None:
            await asyncio.sleep(0.1)
            continue
        results.append(sent)
        await asyncio.sleep(random.uniform(0.05, 0.25))


async def main(mesh, record, trouble):
    await mesh.store.start()
    await mesh.store.put("op", "config", kit.config(3, [
        kit.route("r-status", "/status/", "safe", "tempahan", 0.8, 0.2, 2),
        kit.route("r-booking", "/booking/", "unsafe", "tempahan", 1.0, 0.25, 1),
        kit.route("r-drawing", "/drawing/", "upload", "dokumen", 1.2, 0.3, 1),
    ], SERVICES))
    for i in range(6):
        mesh.node("my-central-" + "ab"[i % 2], SERVICES[0] if i < 4 else SERVICES[1])
    await mesh.start()
    await mesh.wait_ready()
    for node in mesh.nodes:
        instance = kit.Instance(record, node, node.service,
                                work_s=lambda: random.expovariate(1 / 0.06) + 0.005)
        await instance.start()
        mesh.instances.append(instance)
    await asyncio.sleep(2)
    results = []
    end = kit.now() + TRAFFIC_S
    tasks = [asyncio.ensure_future(client(mesh, record, node, end, results))
             for node in mesh.nodes for _ in range(CLIENTS_PER_NODE)]
    faulty = set()
    began = kit.now()

    async def misbehave(instance, head, writer):
        return random.random() < GARBLE_X and await endless(instance, head, writer)

    of_service = [i for i in mesh.instances if i.service == "tempahan"]
    spoiling = random.sample(of_service, int(len(of_service) * GARBLE_SHARE))
    for at in GARBLE_AT_S if trouble else ():
        await asyncio.sleep(began + at - kit.now())
        faulty.update(i.id for i in spoiling)
        record.line("trouble", began=sorted(faulty))
        for instance in spoiling:
            instance.misbehave = misbehave
        await asyncio.sleep(GARBLE_S)
        for instance in spoiling:
            instance.misbehave = None
        record.line("trouble", ended="")
    await asyncio.gather(*tasks)
    # LOST: a request on a kept connection was passed on to a sound instance, and its connection closed
    # without an answer.
    sound = [i for i in mesh.instances if i.id not in faulty]
    lost = [s for s in results if s.kept and s.status is None and not s.gave_up
            and any(s.id in i.received for i in sound)]
    ends = [(n.name, len(n.own_ends)) for n in mesh.nodes if n.own_ends]
    for s in lost:
        record.line("lost", id=s.id, node=s.node.name, path=s.path, at=f"{s.at:.3f}", closed=f"{s.ended:.3f}")
    peaks = " ".join(f"{n.peak_mb:.0f}" for n in mesh.nodes)
    served = sum(s.status == 200 for s in results)
    text = (f"{len(results)} requests, {served} served; {len(lost)} passed on from a kept connection to a "
            f"sound instance and closed without an answer (LOST allows 3)\n"
            f"processes that ended by themselves over {mesh.memory_mb} MB: {ends}\n"
            f"peak memory by node, MB: {peaks}")
    return len(lost) > 3, text


kit.run_case(HERE, main)

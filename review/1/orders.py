"""Not part of the case: another effect of its cause. The operator orders moves of both services 10 ms apart,
and the second one's new version is bad. Run it with `python3 orders.py`."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import meshkit as kit  # noqa: E402

ROUNDS = 11
MOVE_S = 8.0
SECOND_AFTER_S = 0.01
SERVICES = ("tempahan", "dokumen")
# As rollout_bad on kbtb-mesh with how = "errors": half of the new version's answers are failures.
BAD_SHARE = 0.5
EXPOSE_SHARE, EXPOSE_SLACK = 0.1, 50


async def client(record, node, stop):
    connection = kit.Client(record, node)
    while not stop.is_set() and node.process:
        await connection.send("GET", random.choice(("/status/1", "/drawing/1")), 0.8)
        await asyncio.sleep(random.uniform(0.03, 0.09))
    connection.close()


async def main(mesh, record, trouble):
    await mesh.store.start()
    await mesh.store.put("op", "config", kit.config(3, [
        kit.route("r-status", "/status/", "safe", "tempahan", 0.8, 0.2, 2),
        kit.route("r-drawing", "/drawing/", "safe", "dokumen", 0.8, 0.2, 1),
    ], SERVICES))
    for i in range(8):
        mesh.node("my-central-" + "abcd"[i % 4], SERVICES[i % 2])
    first_nodes = list(mesh.nodes)
    await mesh.start()
    await mesh.wait_ready()

    async def start_instance(node, software):
        instance = kit.Instance(record, node, node.service, version=software,
                                work_s=lambda: random.uniform(0.03, 0.09))
        await instance.start()
        mesh.instances.append(instance)
        return instance

    for node in first_nodes:
        await start_instance(node, "v1")
    await asyncio.sleep(2)
    stop = asyncio.Event()
    tasks = [asyncio.ensure_future(client(record, n, stop)) for n in first_nodes for _ in range(3)]
    serving = {s: [i for i in mesh.instances if i.service == s] for s in SERVICES}
    lines, broken = [], False
    for number in range(ROUNDS):
        software = f"v{number + 2}"
        began = kit.now()
        if began > 92:
            break
        moved = [("dokumen", False)] if trouble else []
        moved.append(("tempahan", True))
        for service, is_bad in moved:
            order = kit.json.dumps({"service": service, "to": software, "duration_s": MOVE_S})
            await mesh.store.put("op", f"rollout/{service}", order.encode())
            if not is_bad:
                await asyncio.sleep(SECOND_AFTER_S)
        ordered = kit.now()
        new = {}
        for service, is_bad in moved:
            nodes = [mesh.node("my-central-" + "abcd"[i], service) for i in range(2)]
            for node in nodes:
                node.start(first=False)
            new[service] = nodes
        await mesh.wait_ready()
        for service, is_bad in moved:
            new[service] = [await start_instance(n, software) for n in new[service]]
            for instance in new[service]:
                instance.fail_share = BAD_SHARE if is_bad else 0.0
        pending = {service for service, _ in moved}
        verdicts = {}
        while pending and kit.now() < ordered + MOVE_S:
            for service in list(pending):
                row = mesh.store.rows.get(("status", f"rollout/{service}"))
                status = kit.json.loads(row[0]) if row else {}
                if status.get("to") != software or status["state"] == "running":
                    continue
                pending.discard(service)
                verdicts[service] = status["state"]
                completed = status["state"] == "completed"
                # At `completed` the old instances stop at once; at `rolled_back` the new ones drain some
                # seconds later.
                leaving = serving[service] if completed else new[service]
                if completed:
                    serving[service] = new[service]
                    for instance in leaving:
                        instance.stop()
                        if instance.node not in first_nodes:
                            mesh.remove(instance.node)
                else:
                    asyncio.ensure_future(drain(mesh, leaving))
            await asyncio.sleep(0.02)
        if trouble and verdicts.get("tempahan") == "completed":
            await asyncio.sleep(max(0, ordered + MOVE_S - kit.now()))
        deadline = min(kit.now(), ordered + MOVE_S)

        def reached(instances):
            return sum(ordered < t < deadline for i in instances for t in i.received.values())
        total = reached(i for i in mesh.instances if i.service == "tempahan")
        bad = reached(i for i in mesh.instances if i.service == "tempahan" and i.version == software)
        allowed = EXPOSE_SHARE * total + EXPOSE_SLACK
        lines.append(f"move {number + 1}: {verdicts.get('tempahan', 'no verdict by its deadline')}; the bad version "
                     f"got {bad} of {total} requests, {allowed:.0f} allowed")
        record.line("move", text=lines[-1].replace(" ", "_"))
        if bad > allowed:
            broken = True
            break
        await asyncio.sleep(max(0, began + 8.5 - kit.now()))
    stop.set()
    await asyncio.gather(*tasks)
    return broken, "\n".join(lines)


async def drain(mesh, instances):
    await asyncio.sleep(2)
    for instance in instances:
        instance.state = "draining"
        await instance.beat()
    await asyncio.sleep(kit.DRAIN_S + 1)
    for instance in instances:
        await instance.leave()
        instance.stop()
        mesh.remove(instance.node)


kit.run_case(HERE, main)

"""The operator orders a move to a new version and changes the configuration 15 ms later. Nothing fails.

Each change moves a route to the other service. Requests that are sent later than config_apply_s after
the store's acknowledgement have to be run by the new service.
"""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import meshkit as kit  # noqa: E402

ROUNDS = 9
MOVE_S = 8.0
CHANGE_AFTER_S = 0.015
# Time after the change for which its effect is watched, before the next round.
WATCH_S = 5.0
# A move of MOVE_S ends well before this.
ROUND_S = 11.0
SERVICES = ("tempahan", "dokumen")


def configuration(version, plan_service):
    return kit.config(version, [
        kit.route("r-status", "/status/", "safe", "tempahan", 0.8, 0.2, 2),
        kit.route("r-drawing", "/drawing/", "safe", "dokumen", 0.8, 0.2, 1),
        kit.route("r-plan", "/plan/", "safe", plan_service, 0.8, 0.2, 1),
    ], SERVICES)


async def client(record, node, stop, results):
    connection = kit.Client(record, node)
    while not stop.is_set() and node.process:
        path = random.choice(("/status/1", "/drawing/1", "/plan/1", "/plan/1"))
        sent = await connection.send("GET", path, 0.8)
        if sent and path == "/plan/1":
            results.append(sent)
        await asyncio.sleep(random.uniform(0.03, 0.08))
    connection.close()


async def main(mesh, record, trouble):
    await mesh.store.start()
    plan_service, version = "dokumen", 3
    await mesh.store.put("op", "config", configuration(version, plan_service))
    for i in range(8):
        mesh.node("my-central-" + "abcd"[i % 4], SERVICES[i % 2])
    await mesh.start()
    await mesh.wait_ready()

    async def start_instance(node, software):
        instance = kit.Instance(record, node, node.service, version=software,
                                work_s=lambda: random.uniform(0.03, 0.09))
        await instance.start()
        mesh.instances.append(instance)
        return instance

    for node in mesh.nodes:
        await start_instance(node, "v1")
    await asyncio.sleep(2)
    stop, results, changes = asyncio.Event(), [], []
    tasks = [asyncio.ensure_future(client(record, n, stop, results)) for n in mesh.nodes for _ in range(2)]
    # The moved service is tempahan; its new instances run on machines that are added for them.
    old = [i for i in mesh.instances if i.service == "tempahan"]
    for number in range(ROUNDS if trouble else 4):
        began = kit.now()
        new = []
        if trouble:
            software = f"v{number + 2}"
            order = kit.json.dumps({"service": "tempahan", "to": software, "duration_s": MOVE_S})
            await mesh.store.put("op", "rollout/tempahan", order.encode())
            await asyncio.sleep(CHANGE_AFTER_S)
        plan_service = SERVICES[1 - SERVICES.index(plan_service)]
        version += 3
        await mesh.store.put("op", "config", configuration(version, plan_service))
        changes.append((kit.now(), plan_service))
        record.line("acknowledged", config=version, plan=plan_service)
        if trouble:
            for i in range(2):
                node = mesh.node("my-central-" + "abcd"[i], "tempahan")
                node.start(first=False)
                new.append(node)
            await mesh.wait_ready()
            instances = [await start_instance(n, software) for n in new]
            tasks += [asyncio.ensure_future(client(record, n, stop, results)) for n in new]
            while kit.now() < began + ROUND_S:
                row = mesh.store.rows.get(("status", "rollout/tempahan"))
                status = kit.json.loads(row[0]) if row else {}
                if status.get("to") == software and status["state"] == "completed":
                    break
                await asyncio.sleep(0.05)
            else:
                record.line("move", not_completed=software)
            # At `completed` the old instances stop; their machines' nodes get SIGTERM and go, but for
            # the machines that were there from the start, which go on taking requests of clients.
            for instance in old:
                instance.stop()
                if instance.node not in mesh.nodes[:8]:
                    mesh.remove(instance.node)
            old = instances
        await asyncio.sleep(max(0.2, began + WATCH_S - kit.now()))
        if kit.now() > 96:
            break
    stop.set()
    await asyncio.gather(*tasks)
    ran = {}
    for instance in mesh.instances:
        for request_id in instance.ran:
            ran.setdefault(request_id, set()).add(instance.service)
    stale = []
    for i, (acked, service) in enumerate(changes):
        until = changes[i + 1][0] - 0.1 if i + 1 < len(changes) else kit.now()
        for s in results:
            if acked + kit.CONFIG_APPLY_S < s.at < until and ran.get(s.id, {service}) != {service}:
                stale.append((i, s))
    for i, s in stale:
        record.line("stale", id=s.id, node=s.node.name, change=i, sent=f"{s.at:.3f}",
                    acked=f"{changes[i][0]:.3f}", ran_by="+".join(ran[s.id]), status=s.status)
    rounds = sorted({i for i, _ in stale})
    nodes = len({s.node.name for _, s in stale})
    text = (f"{len(changes)} changes, {len(results)} requests on the moved route; {len(stale)} were sent later "
            f"than config_apply_s = {kit.CONFIG_APPLY_S} s after the acknowledgement and run by the old service, "
            f"through {nodes} nodes, after changes {rounds}")
    return bool(stale), text


kit.run_case(HERE, main)

"""Case 10: an entry goes while a gateway's channels to the store are silent."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

import standins as s  # noqa: E402

STABLE_S = s.BOUNDS["stable_window_ms"] / 1000
DRAIN_S = s.BOUNDS["drain_ms"] / 1000


async def scenario(record, directory, gateways, has_trouble):
    store = s.Store(record)
    path = s.Path(await store.start())
    store.put("keyed.op", "config", s.config(1))
    arrivals = []
    sent_at = {}

    def on_begin(replica, request, fields):
        arrivals.append((record.now(), replica.name, request))
        record.write("run %s at %s" % (request, replica.name))

    replicas = [
        s.Replica("i-desk%d" % number, "order-desk", store, record, 6, on_begin)
        for number in range(3)
    ]
    for replica in replicas:
        await replica.start()
    gateway = s.Gateway("front-waco-a-1", await path.start(), directory)
    gateways.append(gateway)
    await gateway.start()
    record.write("the gateway is ready")
    is_over = False

    async def one(number):
        request = "plain%06d" % number
        sent_at[request] = record.now()
        answer = await s.send(
            gateway.front,
            "POST",
            "/ping/a",
            [(s.HEADER + "Attempt-Id", request), (s.HEADER + "Deadline-Ms", "1200")],
            b"x",
            2,
        )
        record.write(
            "sent %s at %.3f, answered %d" % (request, sent_at[request], answer.status)
        )

    async def clients():
        number = 0
        tasks = []
        while not is_over:
            number += 1
            tasks.append(asyncio.ensure_future(one(number)))
            await asyncio.sleep(0.04)
        await asyncio.gather(*tasks)

    client_task = asyncio.ensure_future(clients())
    await asyncio.sleep(6)
    silent_at = record.now()
    if has_trouble:
        record.write("%d channels to the store go silent" % path.silence())
    await asyncio.sleep(0.1)
    leaving = replicas[2]
    leaving.unregister()
    gone_at = record.now()
    record.write("the store has accepted the removal of %s" % leaving.name)
    await asyncio.sleep(8)
    is_over = True
    await client_task
    late = [
        (at, request)
        for at, name, request in arrivals
        if name == leaving.name
        and at > gone_at + DRAIN_S
        and sent_at[request] > silent_at + STABLE_S
    ]
    last = max((at for at, name, _ in arrivals if name == leaving.name), default=0)
    record.write(
        "%d requests reached %s later than %.1f s after its removal, sent by a machine "
        "in touch; the last request there %.3f s after it"
        % (len(late), leaving.name, DRAIN_S, last - gone_at)
    )
    return bool(late)


sys.exit(s.run(FOLDER, scenario))

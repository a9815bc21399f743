"""Items whose service has no replica left keep the items of another service,
whose replicas are idle, from starting."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
sys.dont_write_bytecode = True

from batch_client import make_item, read_results, submit
from deployment import (BOUNDS, Gateway, batch_route, has_trouble, put_config,
                        run_case)
from replica import Replica, whole_text
from store import Store

EVENTS = 40
EVENT_S = 0.05
# Submissions of each route, and items of each submission.
FIRST = 8
FIRST_ITEMS = 4
SECOND = 4
SECOND_ITEMS = 30
HEARTBEAT_S = 1.2


async def lose_for_good(replica, store, record):
    """The replica crashes; its entry is removed after three check-in
    intervals of silence."""
    await replica.stop()
    record("replica %s is lost for good" % replica.name)
    await asyncio.sleep(3 * HEARTBEAT_S)
    await store.put("keyed.servers", replica.name, None)
    record("store: the entry of %s is removed" % replica.name)


async def case(record, folder, addresses):
    store = Store(addresses.next() + ":8142")
    await store.start()

    def make_replica(name, service):
        return Replica(name, service, addresses.next() + ":8147", store, record,
                       events=EVENTS, event_s=EVENT_S)

    lost = make_replica("i-0", "label-models")
    kept = [make_replica("i-%d" % i, "proof-models") for i in (1, 2)]
    for replica in [lost] + kept:
        await replica.start()
    await put_config(store, 7, [batch_route("label-batch", "label-models"),
                                batch_route("proof-batch", "proof-models")],
                     ["label-models", "proof-models"], record)
    gateways = [Gateway("front-waco-a-%d" % i, addresses.next(), store.address,
                        folder, record) for i in range(2)]
    read = {}
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                return 2
        await asyncio.sleep(BOUNDS["stable_window_ms"] / 1000 + 0.5)
        if has_trouble():
            await lose_for_good(lost, store, record)
        submissions = [("f%015x" % i, "/label-batch/x", FIRST_ITEMS)
                       for i in range(FIRST)]
        submissions += [("a%015x" % i, "/proof-batch/x", SECOND_ITEMS)
                        for i in range(SECOND)]
        for number, (name, path, count) in enumerate(submissions):
            items = [make_item("%s.%d" % (name, i), path)
                     for i in range(count)]
            if await submit(gateways[number % 2], name, path, items,
                            record) != 202:
                return 2
        # Traffic has ended. The work takes the replicas of proof-models 20 s.
        work_s = SECOND * SECOND_ITEMS * EVENTS * EVENT_S / 12
        await asyncio.sleep(work_s + BOUNDS["complete_s"])
        now = time.monotonic()
        idle_for = min(now - replica.last_busy for replica in kept)
        running = sum(len(replica.running) for replica in kept)
        for name, path, count in submissions:
            read[name] = await read_results(gateways[0], name, record)
    finally:
        for gateway in gateways:
            await gateway.stop()
        for replica in [lost] + kept:
            await replica.stop()
        await store.stop()
    record("the replicas of proof-models have been idle for %.1f s; %d run" %
           (idle_for, running))
    unlisted = 0
    for name, path, count in submissions:
        results = read[name]
        if results is None:
            return 2
        record("%s on %s: %d of %d items are listed, %d abandoned" %
               (name, path, len(results), count,
                sum(state == "abandoned" for state, _ in results.values())))
        if path.startswith("/label-batch/") and has_trouble():
            # No replica can do these.
            continue
        unlisted += count - len(results)
        if any(state != "completed" or text != whole_text(item, EVENTS)
               for item, (state, text) in results.items()):
            record("%s has a wrong result" % name)
            return 1
    is_excused = running > 0 or idle_for < 5.0
    return 0 if not unlisted else 2 if is_excused else 1


if __name__ == "__main__":
    run_case(case, __file__)

"""Items of an accepted batch submission are never listed once a config has
dropped their route."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
sys.dont_write_bytecode = True

from batch_client import make_item, read_results, submit
from deployment import (BOUNDS, Gateway, batch_route, has_trouble,
                        online_route, put_config, run_case)
from replica import Replica, whole_text
from store import Store

ITEMS = 60
EVENTS = 40
EVENT_S = 0.05
SUBMISSION = "7c41e09b52d6a3f8"


async def case(record, folder, addresses):
    store = Store(addresses.next() + ":8142")
    await store.start()
    replicas = [Replica("i-%d" % i, "proof-models", addresses.next() + ":8147",
                        store, record, events=EVENTS, event_s=EVENT_S)
                for i in range(2)]
    for replica in replicas:
        await replica.start()
    online = online_route("name-proof", "streaming", "proof-models")
    batch = batch_route("store-batch", "proof-models")
    await put_config(store, 7, [online, batch], ["proof-models"], record)
    gateways = [Gateway("front-waco-a-%d" % i, addresses.next(), store.address,
                        folder, record) for i in range(2)]
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                return 2
        await asyncio.sleep(BOUNDS["stable_window_ms"] / 1000 + 0.5)
        items = [make_item("item%04d" % i, "/store-batch/x")
                 for i in range(ITEMS)]
        if await submit(gateways[0], SUBMISSION, "/store-batch/x", items,
                        record) != 202:
            return 2
        await asyncio.sleep(2.0)
        # The operator removes the route, or writes another config with it.
        routes = [online] if has_trouble() else [online, batch]
        await put_config(store, 12, routes, ["proof-models"], record)
        # Traffic has ended; batch submissions have complete_s more.
        await asyncio.sleep(BOUNDS["complete_s"])
        now = time.monotonic()
        idle_for = min(now - replica.last_busy for replica in replicas)
        running = sum(len(replica.running) for replica in replicas)
        read = [await read_results(gateway, SUBMISSION, record)
                for gateway in gateways]
        await asyncio.sleep(BOUNDS["complete_s"])
        read += [await read_results(gateway, SUBMISSION, record)
                 for gateway in gateways]
    finally:
        for gateway in gateways:
            await gateway.stop()
        for replica in replicas:
            await replica.stop()
        await store.stop()
    record("after complete_s no item has run at a replica for %.1f s; %d run" %
           (idle_for, running))
    unlisted = 0
    for results in read:
        if results is None:
            return 2
        wrong = [item for item, (state, text) in results.items()
                 if state == "completed" and text != whole_text(item, EVENTS)]
        record("listed: %d of %d items, %d abandoned, %d with a wrong text" %
               (len(results), ITEMS,
                sum(state == "abandoned" for state, _ in results.values()),
                len(wrong)))
        unlisted = max(unlisted, ITEMS - len(results))
    is_excused = idle_for < 5.0 or running > 0
    return 1 if unlisted and not is_excused else 2 if unlisted else 0


if __name__ == "__main__":
    run_case(case, __file__)

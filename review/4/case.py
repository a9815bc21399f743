"""The body of a waiting item can't be read once the store has forgotten its
history, if it is larger than a page of newest records."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
sys.dont_write_bytecode = True

from batch_client import make_item, read_body, read_results, submit
from deployment import (BOUNDS, Gateway, batch_route, has_trouble, put_config,
                        run_case)
from replica import Replica, whole_text
from store import Store

FIRST_ITEMS = 40
EVENTS = 40
EVENT_S = 0.05
FIRST = "1111e09b52d6a3f8"
SECOND = "2222e09b52d6a3f8"
LARGE_ITEM = "large001"
LARGE_BODY = bytes(i * 7 % 251 for i in range(1_500_000))


async def case(record, folder, addresses):
    store = Store(addresses.next() + ":8142")
    await store.start()
    replicas = [Replica("i-%d" % i, "proof-models", addresses.next() + ":8147",
                        store, record, events=EVENTS, event_s=EVENT_S)
                for i in range(2)]
    for replica in replicas:
        await replica.start()
    await put_config(store, 7, [batch_route("store-batch", "proof-models")],
                     ["proof-models"], record)
    gateways = [Gateway("front-waco-a-%d" % i, addresses.next(), store.address,
                        folder, record) for i in range(2)]
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                return 2
        await asyncio.sleep(BOUNDS["stable_window_ms"] / 1000 + 0.5)
        first = [make_item("item%04d" % i, "/store-batch/x")
                 for i in range(FIRST_ITEMS)]
        second = [make_item(LARGE_ITEM, "/store-batch/x", LARGE_BODY)]
        for submission, items in ((FIRST, first), (SECOND, second)):
            if await submit(gateways[0], submission, "/store-batch/x", items,
                            record) != 202:
                return 2
        await asyncio.sleep(0.5)
        if has_trouble():
            await store.forget_history()
            record("store: the history is forgotten")
        statuses = []
        end = time.monotonic() + BOUNDS["complete_s"] + 5
        read = None
        while time.monotonic() < end:
            await asyncio.sleep(1.0)
            read = await read_results(gateways[1], SECOND, record)
            if read is not None and LARGE_ITEM in read:
                break
            status, body = await read_body(gateways[1], SECOND, LARGE_ITEM)
            statuses.append(status)
            record("client reads the body of %s: %d, %d bytes" %
                   (LARGE_ITEM, status, len(body)))
            if status == 200 and body != LARGE_BODY:
                record("the body has other bytes")
                return 1
        now = time.monotonic()
        idle_for = min(now - replica.last_busy for replica in replicas)
        others = await read_results(gateways[1], FIRST, record)
    finally:
        for gateway in gateways:
            await gateway.stop()
        for replica in replicas:
            await replica.stop()
        await store.stop()
    if read is None or others is None or len(others) < FIRST_ITEMS:
        return 2
    record("the other submission: %d of %d items listed; the replicas have "
           "been idle for %.1f s" % (len(others), FIRST_ITEMS, idle_for))
    if LARGE_ITEM in read:
        state, text = read[LARGE_ITEM]
        record("%s is listed as %s" % (LARGE_ITEM, state))
        return 0 if text == whole_text(LARGE_ITEM, EVENTS) else 1
    record("%s is not listed after complete_s; its body was answered %s" %
           (LARGE_ITEM, sorted(set(statuses))))
    return 1 if idle_for >= 5.0 else 2


if __name__ == "__main__":
    run_case(case, __file__)

"""Sound clients of batch submissions, after PROTOCOL.md."""

import base64
import json

from deployment import HOST
from http_wire import call


def make_item(item_id, path, body=b"q", tokens=940):
    return {"id": item_id, "path": path,
            "headers": {"X-Crocussaddle-Model": "m",
                        "X-Crocussaddle-Token-Count": "%d,%d" %
                                                      (tokens - 400, 400),
                        "X-Crocussaddle-Prompt-Prefix":
                            "9c2e41:300,%s:240" % item_id},
            "body": base64.b64encode(body).decode(), "tokens": tokens}


async def submit(gateway, submission, path, items, record, tries=5):
    """Sends the submission until it has a 202; the last status otherwise."""
    status = 0
    for _ in range(tries):
        status, _, _ = await call(
            gateway.front, "POST", path,
            [("Host", HOST), ("X-Crocussaddle-Attempt-Id", submission),
             ("Content-Type", "application/json")],
            json.dumps({"items": items}).encode(), timeout=4.0)
        record("client submits %s with %d items at %s: %d" %
               (submission, len(items), gateway.name, status))
        if status == 202:
            break
    return status


async def read_results(gateway, submission, record):
    """All results that the gateway lists: {item id: (state, text)}; None if a
    read fails."""
    found = {}
    position = 0
    total = None
    while total is None or position < total:
        status, _, body = await call(
            gateway.front, "GET",
            "/-/lots/%s?after=%d" % (submission, position), [("Host", HOST)],
            timeout=2.5)
        if status != 200:
            record("client reads %s from %d at %s: %d" %
                   (submission, position, gateway.name, status))
            return None
        page = json.loads(body)
        total = page["total"]
        for result in page["results"]:
            found[result["id"]] = (result["state"], result["text"])
        if page["next_token"] == position:
            break
        position = page["next_token"]
    return found


async def read_body(gateway, submission, item_id):
    status, _, body = await call(
        gateway.front, "GET", "/-/items/%s?id=%s" % (submission, item_id),
        [("Host", HOST)], timeout=2.5)
    return status, body

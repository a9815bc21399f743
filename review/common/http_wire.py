"""A small HTTP/1.1 reader and writer for the stand-ins of the review."""

import asyncio


class Broken(Exception):
    """The channel ended, or its bytes are no message."""


class Message:
    def __init__(self, start_line, fields):
        self.start_line = start_line
        self.fields = fields
        self.body = b""

    def field(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.start_line.split(" ")[0]

    @property
    def target(self):
        return self.start_line.split(" ")[1]

    @property
    def path(self):
        return self.target.split("?")[0]

    @property
    def status(self):
        return int(self.start_line.split(" ")[1])

    def query(self, name, default=""):
        _, _, query = self.target.partition("?")
        for pair in query.split("&"):
            key, _, value = pair.partition("=")
            if key == name:
                return percent_decoded(value)
        return default


def percent_decoded(text):
    out = bytearray()
    i = 0
    while i < len(text):
        if text[i] == "%":
            out.append(int(text[i + 1:i + 3], 16))
            i += 3
        else:
            out.append(ord(text[i]))
            i += 1
    return out.decode()


async def read_head(reader):
    """The head of the next message; None if the channel ends before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Broken("the channel ended inside a head")
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise Broken(str(error))
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name, value.strip()))
    return Message(lines[0], fields)


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises Broken without its end."""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return
            yield data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Broken("the body ended early: " + type(error).__name__)


async def read_body(reader, message):
    if "chunked" in message.field("Transfer-Encoding").lower():
        parts = [part async for part in read_chunks(reader)]
        return b"".join(parts)
    length = int(message.field("Content-Length", "0"))
    try:
        return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        raise Broken("the body ended early")


async def read_request(reader):
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message)
    return message


def response_bytes(status, fields=(), body=b""):
    text = "HTTP/1.1 %d Status\r\n" % status
    for name, value in fields:
        text += "%s: %s\r\n" % (name, value)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


def request_bytes(method, target, fields=(), body=b""):
    text = "%s %s HTTP/1.1\r\n" % (method, target)
    for name, value in fields:
        text += "%s: %s\r\n" % (name, value)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


async def call(address, method, target, fields=(), body=b"", timeout=3.0):
    """One request on a new channel. Returns (status, fields, body); status 0
    stands for no complete answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_bytes(method, target, fields, body))
            message = await read_head(reader)
            if message is None:
                return 0, [], b"closed"
            message.body = await read_body(reader, message)
            return message.status, message.fields, message.body
    except TimeoutError:
        return 0, [], b"no answer in time"
    except (OSError, Broken) as error:
        return 0, [], str(error).encode()
    finally:
        if writer is not None:
            writer.close()

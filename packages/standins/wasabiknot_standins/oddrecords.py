"""Records that another writer leaves among those of the backend servers."""

import msgspec

DEPTH = 100_000
_RIGHT = {
    "service": "desk",
    "addr": "127.0.0.1:9",
    "zone": "here",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmupLeftMs": 0,
    "seq": 1,
}


def _build(**changes):
    return msgspec.json.encode({**_RIGHT, **changes})


def _build_number(name):
    # A whole number of 400 digits, which JSON libraries don't write.
    return _build(**{name: 0}).replace(
        f'"{name}":0'.encode(), b'"%s":%s' % (name.encode(), b"9" * 400)
    )


# Key and value of each record.
RECORDS = (
    ("odd-deep", b"[" * DEPTH + b"]" * DEPTH),
    ("odd-endless", b"[" * DEPTH),
    ("odd-unused", _build()[:-1] + b',"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}"),
    ("odd-slots", _build_number("slots")),
    ("odd-born", _build_number("born")),
    ("odd-warm-up", _build_number("warmupLeftMs")),
    ("odd-digit", _build(addr="127.0.0.1:\u00b2")),
    ("odd-port", _build(addr="127.0.0.1:99999")),
    ("odd-host", _build(addr="nowhere.example:80")),
    ("odd\r\nname: value", _build()),
    ("odd-bytes", b"\xff\xfe{"),
    ("odd-state", _build(state="odd")),
    ("odd-service", _build(service=7)),
    ("odd-missing", b"{}"),
)

"""Datagrams of digests, in full or as changes of a full one.

They are in MessagePack, and compressed unless they are small. Entries of earlier
versions send and understand only JSON, see ``members.Bundle``.
"""

import typing
import zlib

import msgspec

from wasabiknot_kernel import members

# First byte of a datagram. Those of earlier versions begin with a bracket.
PLAIN = b"\x02"
COMPRESSED = b"\x03"
COMPRESSION_LEVEL = 6
# Smaller datagrams are not compressed.
MIN_COMPRESSED_BYTES = 120
# Bound on a datagram after decompression.
MAX_DATAGRAM_BYTES = 1024 * 1024


# Names and types of the fields of a digest; changes refer to them by their index.
FIELDS = members.Digest.__struct_fields__
TYPES = typing.get_type_hints(members.Digest)
MAPPINGS = frozenset(name for name in FIELDS if typing.get_origin(TYPES[name]) is dict)
# Counter of tokens, of which the increase is sent.
USED = "used"
EVIDENCE = "evidence"
CUSTOMER_WORK = "customer_work"
# Counters that only grow: where they are left out, they stay as they were told before.
COUNTERS = frozenset({USED, EVIDENCE, CUSTOMER_WORK})
# Reports that a receiver keeps: where they are left out, there is no news.
PACES = "paces"
# What identifies a stream or is in every change.
HEADER = frozenset({"name", "run", "sequence", "group"})


def _list_rows():
    rows = {}
    for name in FIELDS:
        item_type = (*typing.get_args(TYPES[name]), None)[0]
        if typing.get_origin(TYPES[name]) is not tuple or item_type is str:
            continue
        fields = msgspec.structs.fields(item_type)
        rows[name] = [
            index for index, field in enumerate(fields) if _is_text(field.type)
        ]
    return rows


def _is_text(field_type):
    return getattr(field_type, "__supertype__", field_type) is str


# Fields that list structures, and the positions of the texts in these.
ROWS = _list_rows()

# Identifies the digests, or the summaries of one kind, of one run of an entry.
StreamId = typing.NewType("StreamId", int)


def compute_stream_id(digest):
    """Computes the id of the stream that a digest belongs to.

    :param digest: ``members.Digest``.
    :return: ``StreamId``, a checksum that is shorter than the names.
    """
    return StreamId(zlib.crc32(f"{digest.run}/{digest.group}".encode()))


class FullDigest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A digest to which later changes refer.

    :param digest: ``members.Digest``.
    :param keys: texts that changes refer to by their index.
    :param is_repeated: whether it is sent again to a receiver that lacks it. It is then
        not the present state of the sender.
    """

    digest: members.Digest
    keys: tuple[str, ...] = ()
    is_repeated: bool = False


class ChangedDigest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """What differs from a full digest.

    :param stream: ``StreamId``.
    :param sequence: sequence number of the digest.
    :param base: sequence number of the full digest.
    :param changes: pairs of the index of a field and its value; for a mapping, the
        changed items and the removed keys.
    """

    stream: StreamId
    sequence: int
    base: int
    changes: list[tuple[int, typing.Any]]


class FullDigestRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a sender for its last full digest.

    :param stream: ``StreamId``.
    """

    stream: StreamId


Item = FullDigest | ChangedDigest | FullDigestRequest

_decoder = msgspec.msgpack.Decoder(list[Item])
_encoder = msgspec.msgpack.Encoder()


def measure(item):
    """Measures an item, or a part of one, without compression.

    :param item: ``FullDigest``, ``ChangedDigest`` or the value of a field.
    :return: size in bytes.
    """
    return len(_encoder.encode(item))


def encode_datagram(items):
    """Encodes what one datagram carries.

    :param items: list of ``FullDigest``, ``ChangedDigest`` and ``FullDigestRequest``.
    :return: bytes.
    """
    content = _encoder.encode(items)
    if len(content) < MIN_COMPRESSED_BYTES:
        return PLAIN + content
    compressor = zlib.compressobj(COMPRESSION_LEVEL, wbits=-zlib.MAX_WBITS)
    return COMPRESSED + compressor.compress(content) + compressor.flush()


def is_datagram(data):
    """Tells whether a datagram has this format.

    :param data: bytes.
    """
    return data[:1] in (PLAIN, COMPRESSED)


def decode_datagram(data):
    """Decodes a datagram.

    :param data: bytes.
    :return: list of items.
    :raises msgspec.MsgspecError: if it is malformed.
    """
    content = data[1:]
    if data[:1] == COMPRESSED:
        content = _decompress(content)
    try:
        return _decoder.decode(content)
    except RecursionError:
        raise msgspec.DecodeError("nested too deeply") from None
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError(str(error)) from None


def _decompress(data):
    decompressor = zlib.decompressobj(wbits=-zlib.MAX_WBITS)
    try:
        content = decompressor.decompress(data, MAX_DATAGRAM_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from None
    if not decompressor.eof:
        raise msgspec.DecodeError("incomplete, or longer than the bound")
    return content

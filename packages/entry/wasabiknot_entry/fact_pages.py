"""Serves facts to peers and decodes what peers have served.

Entries of earlier versions ask for and send JSON, which has binary values in base64.
"""

import zlib

import msgspec

from wasabiknot_entry import peer_traffic
from wasabiknot_kernel import decoding, facts

PATH = "/facts"
# Parameter by which an entry asks for MessagePack.
FORMAT_PARAMETER = "format"
MESSAGE_PACK = "2"
JSON_CONTENT_TYPE = b"application/zlib"
MESSAGE_PACK_CONTENT_TYPE = b"application/x-msgpack-zlib"
# All group members fetch a large configuration at once, over narrow links.
COMPRESSION_LEVEL = 6
# Bound on the facts of a peer after decompression.
MAX_UPDATES_BYTES = 32 * 1024 * 1024

_decoder = msgspec.msgpack.Decoder(list[facts.TopicUpdate])


def create_handler(deployment, traffic):
    """Creates the handler of the page with facts.

    :param deployment: ``deployments.Deployment``.
    :param traffic: ``peer_traffic.PeerTraffic``.
    :return: function of a request that returns the content.
    """

    def serve(request):
        content = _serve(deployment, request)
        traffic.count(peer_traffic.Kind.FACTS, len(content))
        return content

    return serve


def _serve(deployment, request):
    updates = []
    for name, topic in deployment.topics.items():
        value = request.args.get(name.encode(), [b"0"])[0]
        since = int(value) if value.isdigit() else 0
        is_known = 0 < topic.change_position <= since
        if topic.is_loaded and not is_known:
            updates.append(topic.build_update_since(since))
    formats = request.args.get(FORMAT_PARAMETER.encode(), [])
    if MESSAGE_PACK.encode() in formats:
        request.setHeader(b"content-type", MESSAGE_PACK_CONTENT_TYPE)
        content = msgspec.msgpack.encode(updates)
    else:
        request.setHeader(b"content-type", JSON_CONTENT_TYPE)
        content = msgspec.json.encode(updates)
    return zlib.compress(content, COMPRESSION_LEVEL)


def build_target(topics):
    """Builds the path and query by which an entry asks for what it lacks.

    :param topics: iterable of ``facts.Topic``.
    :return: text.
    """
    fields = [
        f"{topic.name}={topic.change_position if topic.is_loaded else 0}"
        for topic in topics
    ]
    fields.append(f"{FORMAT_PARAMETER}={MESSAGE_PACK}")
    return f"{PATH}?{'&'.join(fields)}"


def decode(response):
    """Decodes the facts that a peer has sent.

    :param response: ``calls.Response``.
    :return: list of ``facts.TopicUpdate``.
    :raises zlib.error: if the content can't be decompressed.
    :raises msgspec.MsgspecError: if it is malformed.
    """
    content = _decompress(response.body)
    if (b"content-type", MESSAGE_PACK_CONTENT_TYPE) not in response.headers:
        return decoding.decode_json(content, list[facts.TopicUpdate])
    try:
        return _decoder.decode(content)
    except RecursionError:
        raise msgspec.DecodeError("nested too deeply") from None
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError(str(error)) from None


def _decompress(data):
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_UPDATES_BYTES)
    if not decompressor.eof:
        raise zlib.error("incomplete, or longer than the bound")
    return content

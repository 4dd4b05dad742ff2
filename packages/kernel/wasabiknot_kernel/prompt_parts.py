"""Parts of prompts that requests share, and the keys under which crashes count."""

import string

import xxhash

# Parts that a line of the log names, and characters of an id that it quotes.
MAX_LOGGED = 8
MAX_LOGGED_LENGTH = 32
# Parts of one request that are considered.
MAX_PARTS = 512
# Longer ids and names, and those of other characters, are replaced by their hash in
# keys, as the platform's store takes 255 bytes.
MAX_ID_LENGTH = 32
MAX_SERVICE_LENGTH = 64
KEY_PREFIX = "part:"
_HEX_DIGITS = frozenset(string.hexdigits)


def list_shared(arrival):
    """Lists the parts of a prompt that other requests may have as well.

    The last part belongs to the request or to its session alone.

    :param arrival: ``arrivals.Arrival``.
    :return: tuple of at most ``MAX_PARTS`` ``arrivals.PromptPart`` items.
    """
    return arrival.parts[:-1][:MAX_PARTS]


def describe(arrival):
    """Names the first shared parts of a prompt, for the log.

    :param arrival: ``arrivals.Arrival``.
    :return: ids, separated by commas; empty for none.
    """
    parts = list_shared(arrival)[:MAX_LOGGED]
    return ",".join(part.name[:MAX_LOGGED_LENGTH] for part in parts)


def build_key(service, name):
    """Builds the key under which the crashes of a part count.

    Services run different models, so a part counts for each of them by itself.

    :param service: name of the service.
    :param name: id of the part.
    :return: text without slashes.
    """
    if len(name) > MAX_ID_LENGTH or not _HEX_DIGITS.issuperset(name):
        name = xxhash.xxh64_hexdigest(name.encode())
    return f"{KEY_PREFIX}{name.lower()}:{build_scope(service)}"


def build_scope(service):
    """Builds the part of a key that stands for the service.

    :param service: name of the service.
    :return: text without slashes, at which the keys of records are split.
    """
    if len(service) > MAX_SERVICE_LENGTH or not service.isascii():
        return xxhash.xxh64_hexdigest(service.encode())
    return service.replace("/", "_")


def list_keys(ticket):
    """Lists the keys of the shared parts of a request.

    :param ticket: ``arrivals.Ticket``.
    :return: tuple of texts.
    """
    if ticket.part_keys is None:
        names = (part.name for part in list_shared(ticket.arrival))
        ticket.part_keys = tuple(build_key(ticket.service, name) for name in names)
    return ticket.part_keys


def is_key(key):
    """Tells the key of a part from the fingerprint of a request.

    :param key: text.
    """
    return key.startswith(KEY_PREFIX) and ":" in key[len(KEY_PREFIX) :]


def split_key(key):
    """Splits the key of a part.

    :param key: text.
    :return: id of the part, and what stands for its service.
    """
    _, name, service = key.split(":", 2)
    return name, service

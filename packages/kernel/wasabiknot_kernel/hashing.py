"""Hashing: content hashes and rendezvous choice."""

import xxhash


def hash_bytes(data):
    """Hashes content.

    :param data: bytes.
    :return: 128-bit hash as hexadecimal text.
    """
    return xxhash.xxh3_128_hexdigest(data)


def rank_nodes(key, names):
    """Orders names by their rendezvous score for a key, best first.

    :param key: text to place.
    :param names: candidate names.
    :return: list of names.
    """
    return sorted(names, key=lambda name: (-_score(key, name), name))


def choose_node(key, names):
    """Chooses the best name for a key.

    :param key: text to place.
    :param names: candidate names, at least one.
    :return: the chosen name.
    """
    return max(names, key=lambda name: (_score(key, name), name))


def _score(key, name):
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())

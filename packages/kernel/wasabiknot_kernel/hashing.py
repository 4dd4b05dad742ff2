"""Content hashes and rendezvous hashing."""

import xxhash


def hash_bytes(data):
    """Hashes content.

    :param data: content as bytes.
    :return: 128-bit hash as hexadecimal text.
    """
    return xxhash.xxh3_128_hexdigest(data)


def rank_nodes(key, names):
    """Sorts names by their rendezvous score for a key, highest first.

    :param key: text to assign.
    :param names: names of the candidates.
    :return: list of names.
    """
    return sorted(names, key=lambda name: (-_score(key, name), name))


def choose_node(key, names):
    """Chooses the name with the highest rendezvous score for a key.

    :param key: text to assign.
    :param names: names of the candidates, at least one.
    :return: the chosen name.
    """
    return max(names, key=lambda name: (_score(key, name), name))


def _score(key, name):
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())

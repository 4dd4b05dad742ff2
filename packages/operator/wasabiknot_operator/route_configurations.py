"""Loads configurations of routes: from a file, or the one in force from the store."""

import pathlib

import msgspec
import treq
from twisted.internet import reactor

from wasabiknot_entry import agents
from wasabiknot_kernel import exceptions
from wasabiknot_platform import configurations, stores

TIMEOUT_S = 2.0


class LoadError(exceptions.WasabiknotError):
    """A configuration could not be read or decoded."""


def load_file(path):
    """Loads a configuration from a file.

    :param path: path of the JSON file.
    :return: ``routes.Configuration``.
    :raises LoadError: if the file cannot be read or decoded.
    """
    try:
        return _decode(pathlib.Path(path).read_bytes(), path)
    except OSError as error:
        raise LoadError(f"{path}: {error}") from error


async def fetch_in_force(address):
    """Fetches the newest configuration from the store.

    :param address: host and port of the store.
    :return: ``routes.Configuration``.
    :raises LoadError: if the store can't be reached or holds none.
    """
    client = agents.create_client(reactor, TIMEOUT_S)
    after = None
    while True:
        page = await _fetch_page(client, address, after)
        data = find_configuration(page)
        if data is not None:
            return _decode(data, address)
        if not page.has_more or not page.records:
            raise LoadError(f"{address}: the store holds no configuration")
        after = page.last_key


async def _fetch_page(client, address, after):
    call = stores.build_list_call(stores.OPERATOR_TOPIC, after)
    try:
        response = await client.get(f"http://{address}{call.target}", timeout=TIMEOUT_S)
        body = await treq.content(response)
        if response.code != stores.OK:
            raise LoadError(f"{address}: status {response.code}")
        return stores.decode_listing(body)
    except LoadError:
        raise
    except Exception as error:
        raise LoadError(f"{address}: {error}") from error


def find_configuration(page):
    """Finds the newest configuration in a page of the operators' records.

    :param page: ``stores.Page``.
    :return: its bytes; ``None`` if it is on another page.
    """
    for record in page.records:
        if record.key == configurations.CONFIGURATION_KEY:
            return record.value
    return None


def _decode(data, source):
    try:
        return configurations.decode_configuration(data)
    except msgspec.MsgspecError as error:
        raise LoadError(f"{source}: {error}") from error

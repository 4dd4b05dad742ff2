"""Loads the site file, which contains the addresses of a deployment."""

import pathlib
import typing

import msgspec
from returns import result

from wasabiknot_kernel import documents

DEFAULT_FILE = "site.yaml"


class Site(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of a deployment.

    :param log_url: base URL of the log service.
    :param controls: control addresses of some entries, tried in this order.
    """

    log_url: typing.Annotated[str, msgspec.Meta(pattern=r"^http://[^/]+$")]
    controls: typing.Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]


def load_site(path):
    """Loads and validates a site file.

    :param path: path of the file.
    :return: ``Success(Site)`` or ``Failure(DocumentError)``.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        fault = documents.Fault(str(path), 1, "document", f"expected a file: {error}")
        return documents.fail([fault])
    loaded = documents.read_document(text, Site, str(path))
    return loaded.bind(lambda document: result.Success(document.value))

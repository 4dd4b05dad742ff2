"""The site file: where the operators' program finds the system."""

import pathlib
import typing

import msgspec
from returns import result

from wasabiknot_kernel import documents

DEFAULT_FILE = "site.yaml"


class Site(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of a deployment.

    :param log_url: base URL of the log service.
    :param controls: control addresses of some entries; the first that answers is
        asked.
    """

    log_url: typing.Annotated[str, msgspec.Meta(pattern=r"^http://[^/]+$")]
    controls: typing.Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]


def load_site(path):
    """Reads a site file.

    :param path: its path.
    :return: ``Success(Site)`` or ``Failure(DocumentError)``.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        fault = documents.Fault(str(path), 1, "document", f"expected a file: {error}")
        return documents.fail([fault])
    read = documents.read_document(text, Site, str(path))
    return read.bind(lambda document: result.Success(document.value))

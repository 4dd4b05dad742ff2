"""Reads the files of a deployment and checks them together."""

import pathlib

from returns import pipeline, result

from wasabiknot_kernel import documents, services
from wasabiknot_operator import sites

DEPLOYMENT_FILE = "deployment.yaml"
PATTERN = "*.yaml"


def list_files(directory):
    """Lists the configuration files below a directory.

    :param directory: path of the directory.
    :return: sorted paths, without the site file.
    """
    paths = sorted(pathlib.Path(directory).rglob(PATTERN))
    return [path for path in paths if path.name != sites.DEFAULT_FILE]


def load_configuration(paths):
    """Reads and checks a deployment file and its service files.

    :param paths: paths of the files.
    :return: ``Success(Configuration)`` or ``Failure(DocumentError)`` with the
        faults of all files.
    """
    deployments = []
    members = []
    faults = []
    for path in paths:
        is_deployment = pathlib.Path(path).name == DEPLOYMENT_FILE
        schema = services.Deployment if is_deployment else services.Service
        read = _read(path, schema)
        if not pipeline.is_successful(read):
            faults.extend(read.failure().faults)
        elif is_deployment:
            deployments.append(read.unwrap())
        else:
            members.append(read.unwrap())
    if not faults:
        faults.extend(_check_together(deployments, members))
    if faults:
        return documents.fail(faults)
    return result.Success(
        services.Configuration(
            deployment=deployments[0].value,
            services=tuple(document.value for document in members),
        )
    )


def _read(path, schema):
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        expected = f"expected a readable text file: {error}"
        return documents.fail([documents.Fault(str(path), 1, "document", expected)])
    return documents.read_document(text, schema, str(path))


def _check_together(deployments, members):
    if len(deployments) != 1:
        expected = f"expected one {DEPLOYMENT_FILE} (found {len(deployments)})"
        return [documents.Fault(DEPLOYMENT_FILE, 1, "document", expected)]
    if not members:
        expected = "expected at least one service file beside it"
        return [documents.Fault(DEPLOYMENT_FILE, 1, "document", expected)]
    return services.check_configuration(deployments[0], members)


def check_single(path):
    """Checks one file by itself.

    :param path: its path.
    :return: ``Success(Document)`` or ``Failure(DocumentError)``.
    """
    is_deployment = pathlib.Path(path).name == DEPLOYMENT_FILE
    return _read(path, services.Deployment if is_deployment else services.Service)

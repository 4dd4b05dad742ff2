"""Loads and validates the configuration files of a deployment."""

import pathlib

from returns import pipeline, result

from wasabiknot_kernel import documents, services
from wasabiknot_operator import sites

DEPLOYMENT_FILE = "deployment.yaml"
PATTERN = "*.yaml"


def list_files(directory):
    """Lists the configuration files below a directory.

    :param directory: path of the directory, which is searched recursively.
    :return: sorted paths, without the site file.
    """
    paths = sorted(pathlib.Path(directory).rglob(PATTERN))
    return [path for path in paths if path.name != sites.DEFAULT_FILE]


def load_configuration(paths):
    """Loads a deployment file and its service files and validates them together.

    :param paths: paths of the files.
    :return: ``Success(Configuration)`` or ``Failure(DocumentError)`` with the
        faults of all files.
    """
    deployment_documents = []
    service_documents = []
    faults = []
    for path in paths:
        is_deployment = pathlib.Path(path).name == DEPLOYMENT_FILE
        schema = services.Deployment if is_deployment else services.Service
        loaded = _load_document(path, schema)
        if not pipeline.is_successful(loaded):
            faults.extend(loaded.failure().faults)
        elif is_deployment:
            deployment_documents.append(loaded.unwrap())
        else:
            service_documents.append(loaded.unwrap())
    if not faults:
        faults.extend(_check_together(deployment_documents, service_documents))
    if faults:
        return documents.fail(faults)
    return result.Success(
        services.Configuration(
            deployment=deployment_documents[0].value,
            services=tuple(document.value for document in service_documents),
        )
    )


def _load_document(path, schema):
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        expected = f"expected a readable text file: {error}"
        return documents.fail([documents.Fault(str(path), 1, "document", expected)])
    return documents.read_document(text, schema, str(path))


def _check_together(deployment_documents, service_documents):
    if len(deployment_documents) != 1:
        expected = f"expected one {DEPLOYMENT_FILE} (found {len(deployment_documents)})"
        return [documents.Fault(DEPLOYMENT_FILE, 1, "document", expected)]
    if not service_documents:
        expected = "expected at least one service file beside it"
        return [documents.Fault(DEPLOYMENT_FILE, 1, "document", expected)]
    return services.check_configuration(deployment_documents[0], service_documents)


def check_single(path):
    """Validates one file on its own.

    :param path: path of the file.
    :return: ``Success(Document)`` or ``Failure(DocumentError)``.
    """
    is_deployment = pathlib.Path(path).name == DEPLOYMENT_FILE
    return _load_document(
        path, services.Deployment if is_deployment else services.Service
    )

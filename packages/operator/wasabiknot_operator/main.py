"""Command-line interface for operators."""

import enum
import pathlib
import sys

import defopt
import msgspec
from returns import pipeline
from twisted.internet import defer, task

from wasabiknot_kernel import configuration_changes, configuration_checks
from wasabiknot_operator import (
    configurations,
    formats,
    publications,
    route_configurations,
    sites,
    systems,
)

DEFAULT_WAIT_S = 10.0


class ExitCode(enum.IntEnum):
    """Exit codes of the commands."""

    OK = 0
    BAD_INPUT = 2
    CONFLICT = 3
    NOT_IN_FORCE = 4
    UNREACHABLE = 5
    NOT_FOUND = 6
    HAS_WARNINGS = 7


PUBLISH_CODES = {
    publications.PublishState.IN_FORCE: ExitCode.OK,
    publications.PublishState.CONFLICT: ExitCode.CONFLICT,
    publications.PublishState.LAGGING: ExitCode.NOT_IN_FORCE,
    publications.PublishState.UNKNOWN: ExitCode.NOT_IN_FORCE,
}


class CheckReport(msgspec.Struct, frozen=True):
    """The result of the ``check`` command.

    :param faults: all faults; empty if the files are valid.
    """

    faults: tuple


def check(*files: pathlib.Path, json: bool = False):
    """Validate configuration files, together if deployment.yaml is among them.

    Each fault is printed as FILE:LINE: FIELD: EXPECTED VALUE.
    Exit codes: 0 the files are valid, 2 there are faults.

    :param files: service files; add deployment.yaml to validate them together
    :param json: print JSON
    """
    if not files:
        print("expected at least one file", file=sys.stderr)
        return ExitCode.BAD_INPUT
    together = any(path.name == configurations.DEPLOYMENT_FILE for path in files)
    if together:
        results = [configurations.load_configuration(files)]
    else:
        results = [configurations.check_single(path) for path in files]
    failed = [item for item in results if not pipeline.is_successful(item)]
    faults = tuple(fault for item in failed for fault in item.failure().faults)
    lines = [str(fault) for fault in faults] or [f"{len(files)} files are valid"]
    _print(CheckReport(faults), lines, json)
    return ExitCode.BAD_INPUT if faults else ExitCode.OK


class RouteCheckReport(msgspec.Struct, frozen=True):
    """The result of the ``check-routes`` command.

    :param problems: all ``configuration_checks.Problem``; empty if there are none.
    :param changes: ``configuration_changes.Change`` against the other version, in
        the order of the fields; ``None`` if there is none to compare with.
    """

    problems: tuple
    changes: tuple | None = None


def check_routes(
    file: pathlib.Path,
    *,
    against: pathlib.Path | None = None,
    store: str | None = None,
    json: bool = False,
):
    """Check a configuration of routes before it is sent, and compare it.

    Each problem is printed as PLACE: KIND: TEXT, each difference as PLACE: OLD -> NEW.
    Exit codes: 0 no problems, 2 errors, 5 the store can't be reached, 7 warnings only:
    entries that never match or values that contradict each other.

    :param file: the configuration, as JSON
    :param against: file with another version to compare with
    :param store: host and port of the store, to compare with the version in force
    :param json: print JSON
    """
    try:
        configuration = route_configurations.load_file(file)
        other = route_configurations.load_file(against) if against else None
    except route_configurations.LoadError as error:
        print(error, file=sys.stderr)
        return ExitCode.BAD_INPUT
    if store is None:
        return _report_routes(configuration, other, json)

    async def report_with_store(reactor):
        try:
            in_force = await route_configurations.fetch_in_force(store)
        except route_configurations.LoadError as error:
            print(error, file=sys.stderr)
            return ExitCode.UNREACHABLE
        return _report_routes(configuration, in_force, json)

    return _run_in_reactor(report_with_store)


def _report_routes(configuration, other, json):
    problems = configuration_checks.list_problems(configuration)
    lines = [str(problem) for problem in problems] or ["no problems"]
    changes = None
    if other is not None:
        changes = tuple(configuration_changes.list_changes(other, configuration))
        lines.append(f"differences from version {other.version}: {len(changes)}")
        lines.extend(str(change) for change in changes)
    _print(RouteCheckReport(tuple(problems), changes), lines, json)
    kinds = {problem.kind for problem in problems}
    if configuration_checks.ProblemKind.ERROR in kinds:
        return ExitCode.BAD_INPUT
    return ExitCode.HAS_WARNINGS if kinds else ExitCode.OK


def publish(
    directory: pathlib.Path,
    *,
    site: pathlib.Path = pathlib.Path(sites.DEFAULT_FILE),
    wait_s: float = DEFAULT_WAIT_S,
    json: bool = False,
):
    """Publish all files below a directory and wait until they are in force.

    Nothing is published unless all files are valid together. Exit codes:
    0 in force at all entries, 2 there are faults, 3 another operator published
    first, 4 not in force at all entries before the timeout, 5 log service or entries
    unreachable.

    :param directory: directory with deployment.yaml and the service files
    :param site: file with the addresses of the deployment
    :param wait_s: timeout until the files are in force, in seconds
    :param json: print JSON
    """
    paths = configurations.list_files(directory)
    loaded = configurations.load_configuration(paths)
    if not pipeline.is_successful(loaded):
        print(loaded.failure(), file=sys.stderr)
        return ExitCode.BAD_INPUT

    async def publish_loaded(reactor, client):
        return await publications.publish(client, loaded.unwrap(), wait_s, reactor)

    return _run(site, publish_loaded, json, lambda report: PUBLISH_CODES[report.state])


def status(
    *, site: pathlib.Path = pathlib.Path(sites.DEFAULT_FILE), json: bool = False
):
    """Show the configuration in force and the state of each traffic move.

    Exit codes: 0 shown, 5 no entry responds.

    :param site: file with the addresses of the deployment
    :param json: print JSON
    """
    return _run(site, lambda reactor, client: client.fetch_status(), json)


def vms(*, site: pathlib.Path = pathlib.Path(sites.DEFAULT_FILE), json: bool = False):
    """Show the entries and backend servers as one entry reports them.

    Exit codes: 0 shown, 5 no entry responds.

    :param site: file with the addresses of the deployment
    :param json: print JSON
    """
    return _run(site, lambda reactor, client: client.fetch_vms(), json)


def explain(
    request: str,
    *,
    site: pathlib.Path = pathlib.Path(sites.DEFAULT_FILE),
    json: bool = False,
):
    """Show the trace of a request.

    Exit codes: 0 shown, 5 no entry responds, 6 no entry has a trace of the request.

    :param request: id from the header Wasabiknot-Request-Id
    :param site: file with the addresses of the deployment
    :param json: print JSON
    """
    return _run(
        site,
        lambda reactor, client: client.fetch_trace(request),
        json,
        lambda lines: ExitCode.OK if lines else ExitCode.NOT_FOUND,
    )


def _run(site_path, fetch_report, json, choose_code=lambda report: ExitCode.OK):
    site = sites.load_site(site_path)
    if not pipeline.is_successful(site):
        print(site.failure(), file=sys.stderr)
        return ExitCode.BAD_INPUT

    async def main(reactor):
        try:
            report = await fetch_report(reactor, systems.SystemClient(site.unwrap()))
        except systems.SystemUnreachableError as error:
            print(error, file=sys.stderr)
            return ExitCode.UNREACHABLE
        _print(report, formats.format_lines(report), json)
        return choose_code(report)

    return _run_in_reactor(main)


def _run_in_reactor(main):
    codes = []

    async def run_main(reactor):
        codes.append(await main(reactor))

    try:
        task.react(lambda reactor: defer.ensureDeferred(run_main(reactor)))
    except SystemExit as error:
        if error.code:
            return error.code
    return codes[0]


def _print(report, lines, json):
    if json:
        print(msgspec.json.encode(report).decode())
    else:
        print("\n".join(lines))


def run(arguments=None):
    """Parses the command line, runs a command and exits with its code.

    :param arguments: command-line arguments; those of the process by default.
    """
    code = defopt.run(
        [check, check_routes, publish, status, vms, explain],
        argv=arguments,
        short={},
        argparse_kwargs={
            "prog": "wasabiknot",
            "description": "Publishes configurations and shows a deployment's state.",
        },
    )
    sys.exit(int(code))


if __name__ == "__main__":
    run()

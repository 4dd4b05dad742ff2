"""Bodies of the HTTP interfaces of the platform and the backend servers."""

import msgspec

from wasabiknot_kernel import messages


class LogRecord(msgspec.Struct, frozen=True):
    """A record in a response of the log service.

    :param offset: offset of the record.
    :param time_ms: time of the append in Unix milliseconds.
    :param data: record encoded as JSON text.
    """

    offset: int
    time_ms: int
    data: str


class LogPage(msgspec.Struct, frozen=True):
    """Response of the log service to a read.

    :param oldest: lowest offset that is still retained.
    :param head: offset of the next record to be appended.
    :param time_ms: time of the log service in Unix milliseconds.
    :param records: records in log order.
    """

    oldest: int
    head: int
    time_ms: int
    records: list[LogRecord]


class LogAppend(msgspec.Struct, frozen=True):
    """Request to append a record to the log.

    :param data: record encoded as JSON text.
    """

    data: str


class LogAppended(msgspec.Struct, frozen=True):
    """Response of the log service to an append.

    :param offset: offset of the new record.
    """

    offset: int


class VmList(msgspec.Struct, frozen=True):
    """The platform's list of VMs.

    :param workers: backend servers.
    :param entries: VMs on which entries run.
    """

    workers: tuple[messages.Vm, ...] = ()
    entries: tuple[messages.EntryVm, ...] = ()


class WorkerLoad(msgspec.Struct, frozen=True):
    """The load that a backend server reports.

    :param running: number of requests that it runs.
    :param waiting: number of requests that it has admitted but not started.
    :param taken_ms: time of the report in Unix milliseconds.
    :param boot: id of the server process, which changes with each restart.
    :param leaving: whether it is about to shut down.
    """

    running: int
    waiting: int
    taken_ms: int
    boot: str
    leaving: bool = False


class WorkerCall(msgspec.Struct, frozen=True):
    """Body of a request to a backend server.

    :param id: id of the request.
    :param call: call name.
    :param prompt: prompt, or content of a request to a plain service.
    :param max_tokens: maximum length of the response in tokens; 0 for a plain service.
    """

    id: str
    call: str
    prompt: str
    max_tokens: int = 0


class PlainResponse(msgspec.Struct, frozen=True):
    """Response of a plain service.

    :param id: id of the request.
    :param result: result for the caller.
    :param end: end marker, which shows that the response is complete.
    """

    id: str
    result: str
    end: bool


class StreamEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """An event of an engine's stream.

    :param id: id of the stream, which is that of the request.
    :param n: number of the token, counted from 0; in the end marker, the total number
        of tokens.
    :param text: text of the token.
    :param end: whether this is the end marker.
    """

    id: str
    n: int
    text: str = ""
    end: bool = False

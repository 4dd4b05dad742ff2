"""Bodies of the platform's and the backend servers' HTTP interfaces."""

import msgspec

from wasabiknot_kernel import messages


class LogRecord(msgspec.Struct, frozen=True):
    """A record as the log service returns it.

    :param offset: its offset.
    :param time_ms: time of its append, in Unix milliseconds.
    :param data: its text.
    """

    offset: int
    time_ms: int
    data: str


class LogPage(msgspec.Struct, frozen=True):
    """The log service's answer to a read.

    :param oldest: oldest offset that is still kept.
    :param head: offset that the next append will get.
    :param time_ms: time of the log service.
    :param records: records in order.
    """

    oldest: int
    head: int
    time_ms: int
    records: list[LogRecord]


class LogAppend(msgspec.Struct, frozen=True):
    """Body of an append.

    :param data: text of the record.
    """

    data: str


class LogAppended(msgspec.Struct, frozen=True):
    """The log service's answer to an append.

    :param offset: offset of the new record.
    """

    offset: int


class VmList(msgspec.Struct, frozen=True):
    """The platform's list of VMs.

    :param workers: backend servers.
    :param entries: VMs of the system.
    """

    workers: tuple[messages.Vm, ...] = ()
    entries: tuple[messages.EntryVm, ...] = ()


class WorkerLoad(msgspec.Struct, frozen=True):
    """A backend server's report of its load.

    :param running: requests that it runs.
    :param waiting: requests that it has admitted but not begun.
    :param taken_ms: time at which the report was taken, in Unix milliseconds.
    :param boot: id of the server process.
    :param leaving: whether it is about to leave.
    """

    running: int
    waiting: int
    taken_ms: int
    boot: str
    leaving: bool = False


class WorkerCall(msgspec.Struct, frozen=True):
    """Body of a request to a backend server.

    :param id: id of the request.
    :param call: name of the call.
    :param prompt: prompt or content.
    :param max_tokens: largest answer in tokens; 0 for a plain service.
    """

    id: str
    call: str
    prompt: str
    max_tokens: int = 0


class PlainAnswer(msgspec.Struct, frozen=True):
    """Answer of a plain service.

    :param id: id of the request.
    :param result: result for the caller.
    :param end: end marker of a whole answer.
    """

    id: str
    result: str
    end: bool


class StreamEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of an engine's stream.

    :param id: id of the stream, equal to the request's id.
    :param n: number of the token, counted from 0; for the end marker the number
        of all tokens.
    :param text: text of the token.
    :param end: whether this is the end marker.
    """

    id: str
    n: int
    text: str = ""
    end: bool = False

"""Frequent small messages between entries: digests, demands and evidence."""

import msgspec

from wasabiknot_kernel import records


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """A backend server's own report of its load.

    :param worker: id of the backend server.
    :param running: requests that it runs.
    :param waiting: requests that it has admitted but not begun.
    :param taken_ms: time at which the report was taken, in Unix milliseconds.
    :param leaving: whether it is about to leave.
    :param boot: id of the server process; a new one shows a restart.
    """

    worker: str
    running: int
    waiting: int
    taken_ms: int
    leaving: bool = False
    boot: str = ""


class WorkerUse(msgspec.Struct, frozen=True, array_like=True):
    """What one entry runs on one backend server.

    :param worker: id of the backend server.
    :param running: requests in flight, by tier rank.
    """

    worker: str
    running: tuple[int, ...]


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """What one entry has waiting for one service.

    :param service: service name.
    :param waiting: waiting requests, by tier rank.
    """

    service: str
    waiting: tuple[int, ...]


class Failure(msgspec.Struct, frozen=True, array_like=True):
    """One failed request of a version.

    :param customer: customer name.
    :param content: hash of the content.
    """

    customer: str
    content: str


class Pace(msgspec.Struct, frozen=True, array_like=True):
    """Sums of logarithms of times per unit of work; sums of entries add up.

    :param samples: number of answers.
    :param log_sum: sum of natural logarithms of milliseconds.
    :param log_squares: sum of their squares.
    """

    samples: int = 0
    log_sum: float = 0.0
    log_squares: float = 0.0

    @property
    def mean_log(self):
        """Mean logarithm; 0 without samples."""
        return self.log_sum / self.samples if self.samples else 0.0

    @property
    def log_deviation(self):
        """Standard deviation of the logarithms."""
        if not self.samples:
            return 0.0
        variance = self.log_squares / self.samples - self.mean_log**2
        return max(0.0, variance) ** 0.5


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """What one entry has seen of one version on one route since a move began.

    :param service: service name.
    :param version: version name.
    :param call: call name; the route.
    :param move: offset of the publication that began the move.
    :param good: whole answers.
    :param failures: failed requests with different contents, at most a few.
    :param pace: time per unit of work of the latest answers.
    """

    service: str
    version: str
    call: str
    move: int
    good: int
    failures: tuple[Failure, ...]
    pace: Pace


class Digest(msgspec.Struct, frozen=True, tag="d", tag_field="t"):
    """An entry's regular message to its peers.

    :param entry: name of the sender.
    :param incarnation: its incarnation.
    :param sequence: number of the digest within the incarnation.
    :param offset: last log offset in force at the sender.
    :param publication: offset of the configuration in force at the sender.
    :param stopping: whether the sender is shutting down.
    :param uses: what it runs, by backend server.
    :param demands: what it has waiting, by service.
    :param reports: load reports that it has read itself.
    :param evidence: what it has seen of moving versions.
    """

    entry: str
    incarnation: str
    sequence: int
    offset: int
    publication: int
    stopping: bool = False
    uses: tuple[WorkerUse, ...] = ()
    demands: tuple[Demand, ...] = ()
    reports: tuple[LoadReport, ...] = ()
    evidence: tuple[Evidence, ...] = ()


class YieldDemand(msgspec.Struct, frozen=True, tag="y", tag_field="t"):
    """Asks a peer to cancel less urgent work.

    :param entry: name of the entry that asks.
    :param worker: backend server on which a slot is wanted.
    :param rank: tier rank of the waiting request; only larger ranks give way.
    """

    entry: str
    worker: str
    rank: int


class CrashNotice(msgspec.Struct, frozen=True, tag="c", tag_field="t"):
    """Tells peers of a crash before the log does.

    :param crash: the record.
    """

    crash: records.Crash


AnyDatagram = Digest | YieldDemand | CrashNotice

_decoder = msgspec.json.Decoder(AnyDatagram)
_encoder = msgspec.json.Encoder()


def encode_datagram(message):
    """Encodes a message for UDP.

    :param message: digest, demand or crash news.
    :return: JSON bytes.
    """
    return _encoder.encode(message)


def decode_datagram(data):
    """Decodes a datagram.

    :param data: JSON bytes.
    :return: the message.
    :raises msgspec.MsgspecError: if the data is no such message.
    """
    return _decoder.decode(data)

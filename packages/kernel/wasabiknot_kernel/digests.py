"""Messages that entries exchange by UDP."""

import msgspec

from wasabiknot_kernel import records


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load that a backend server reports.

    :param worker: id of the backend server.
    :param running: number of requests that it runs.
    :param waiting: number of requests that it has admitted but not started.
    :param taken_ms: time of the report in Unix milliseconds.
    :param leaving: whether it is about to shut down.
    :param boot: id of the server process, which changes with each restart.
    """

    worker: str
    running: int
    waiting: int
    taken_ms: int
    leaving: bool = False
    boot: str = ""


class InFlightCounts(msgspec.Struct, frozen=True, array_like=True):
    """The requests in flight from one entry to one backend server.

    :param worker: id of the backend server.
    :param running: number of requests in flight, by tier rank.
    """

    worker: str
    running: tuple[int, ...]


class QueuedCounts(msgspec.Struct, frozen=True, array_like=True):
    """The requests to one service that one entry has queued.

    :param service: service name.
    :param waiting: number of queued requests, by tier rank.
    """

    service: str
    waiting: tuple[int, ...]


class Failure(msgspec.Struct, frozen=True, array_like=True):
    """A failed request to a version.

    :param customer: customer name.
    :param content: hash of the content of the request; if it ended by a crash, the id
        of the crash behind ``poison.CRASH_PREFIX``.
    """

    customer: str
    content: str


class ServiceTimeStats(msgspec.Struct, frozen=True, array_like=True):
    """Distribution of the time per unit of work, on a logarithmic scale.

    It consists of sums, so the values of several entries can be added.

    :param samples: number of responses.
    :param log_sum: sum of the natural logarithms of the times in milliseconds.
    :param log_squares: sum of the squares of these logarithms.
    """

    samples: int = 0
    log_sum: float = 0.0
    log_squares: float = 0.0

    @property
    def mean_log(self):
        """Mean of the logarithms; 0 without samples."""
        return self.log_sum / self.samples if self.samples else 0.0

    @property
    def log_deviation(self):
        """Standard deviation of the logarithms; 0 without samples."""
        if not self.samples:
            return 0.0
        variance = self.log_squares / self.samples - self.mean_log**2
        return max(0.0, variance) ** 0.5


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """Results of one version on one route at one entry since the start of a rollout.

    :param service: service name.
    :param version: version name.
    :param call: call name, which is the route.
    :param move: offset of the publication that started the rollout.
    :param good: number of complete responses.
    :param failures: a few failed requests with distinct contents.
    :param service_times: time per unit of work of the latest complete responses.
    """

    service: str
    version: str
    call: str
    move: int
    good: int
    failures: tuple[Failure, ...]
    service_times: ServiceTimeStats


class Digest(msgspec.Struct, frozen=True, tag="d", tag_field="t"):
    """State that an entry periodically sends to its peers.

    :param entry: name of the sender.
    :param incarnation: incarnation of the sender.
    :param sequence: sequence number of the digest within the incarnation.
    :param offset: last log offset that the sender has applied.
    :param publication: offset of the configuration in force at the sender.
    :param stopping: whether the sender is shutting down.
    :param uses: requests in flight from the sender, by backend server.
    :param demands: requests that the sender has queued, by service.
    :param reports: load reports that the sender got from backend servers.
    :param evidence: results of versions that are being rolled out.
    """

    entry: str
    incarnation: str
    sequence: int
    offset: int
    publication: int
    stopping: bool = False
    uses: tuple[InFlightCounts, ...] = ()
    demands: tuple[QueuedCounts, ...] = ()
    reports: tuple[LoadReport, ...] = ()
    evidence: tuple[Evidence, ...] = ()


class PreemptionRequest(msgspec.Struct, frozen=True, tag="y", tag_field="t"):
    """Asks a peer to preempt one of its requests with lower priority.

    :param entry: name of the requesting entry.
    :param worker: id of the backend server on which a slot is needed.
    :param rank: tier rank of the queued request; only requests of larger rank are
        preempted.
    """

    entry: str
    worker: str
    rank: int


class CrashNotice(msgspec.Struct, frozen=True, tag="c", tag_field="t"):
    """Announces a crash to peers before its record is read from the log.

    :param crash: ``records.Crash``.
    """

    crash: records.Crash


AnyDatagram = Digest | PreemptionRequest | CrashNotice

_decoder = msgspec.json.Decoder(AnyDatagram)
_encoder = msgspec.json.Encoder()


def encode_datagram(message):
    """Encodes a message for UDP.

    :param message: ``Digest``, ``PreemptionRequest`` or ``CrashNotice``.
    :return: JSON bytes.
    """
    return _encoder.encode(message)


def decode_datagram(data):
    """Decodes a datagram.

    :param data: JSON bytes.
    :return: the message.
    :raises msgspec.MsgspecError: if the data is not a valid message.
    """
    return _decoder.decode(data)

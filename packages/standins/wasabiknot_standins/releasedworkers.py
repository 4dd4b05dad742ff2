"""Simulated engines of two versions, which slow down with each request they run."""

import enum
import hashlib

import msgspec
from twisted.internet import reactor

from wasabiknot_standins import platformworkers

# Each further request slows an engine down by this fraction.
SLOWDOWN_PER_REQUEST = 0.06
SLOWNESS = 3.0


class Quality(enum.Enum):
    """How a version responds."""

    GOOD = "good"
    FAILING = "failing"
    SLOW = "slow"
    LATE = "late"
    HANGING = "hanging"


# Fraction of the responses that are bad; all engines are slower for the slow ones.
BAD_SHARES = {
    Quality.GOOD: 0.0,
    Quality.FAILING: 0.3,
    Quality.SLOW: 0.4,
    Quality.LATE: 0.5,
    Quality.HANGING: 0.5,
}
# Time after its start from which a version that turns bad later is bad, in seconds.
LATE_S = 4.0


class BadAnswer(msgspec.Struct, frozen=True):
    """A response that failed, hung or was slow.

    :param request_id: id of the request.
    :param at_s: time in seconds at which its caller had it, or would have had it.
    """

    request_id: str
    at_s: float


class ReleasedWorker(platformworkers.Worker):
    """An engine of one version.

    :param version: name of the version.
    :param quality: ``Quality`` of the version.
    :param bad_answers: list to which it adds each ``BadAnswer``.
    """

    def __init__(self, store, recorder, service, version, quality, bad_answers):
        super().__init__(store, recorder, service, is_engine=True, slots=8)
        self.version = version
        self.quality = quality
        self._bad_answers = bad_answers
        self._started_s = reactor.seconds()

    def _is_bad(self, request_id):
        age_s = reactor.seconds() - self._started_s
        if self.quality is Quality.LATE and age_s < LATE_S:
            return False
        draw = hashlib.sha256(request_id.encode()).digest()[2] / 256
        return draw < BAD_SHARES[self.quality]

    def _find_interval_s(self, request_id):
        interval_s = platformworkers.EVENT_INTERVAL_S
        interval_s *= 1 + SLOWDOWN_PER_REQUEST * (self.running - 1)
        if self.quality is Quality.SLOW:
            interval_s *= 1 + BAD_SHARES[self.quality] * (SLOWNESS - 1)
        return interval_s

    def _start_stream(self, request, request_id, disconnects):
        is_bad = self._is_bad(request_id)
        if is_bad:
            self._bad_answers.append(BadAnswer(request_id, reactor.seconds()))
        if is_bad and self.quality is Quality.HANGING and not disconnects:
            request.notifyFinish().addBoth(lambda _: self._release())
            return
        is_failed = is_bad and self.quality in (Quality.FAILING, Quality.LATE)
        previous, self.fault = self.fault, "errors" if is_failed else self.fault
        super()._start_stream(request, request_id, disconnects)
        self.fault = previous

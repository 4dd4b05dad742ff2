"""Caller that resends a request which ends the backend servers that run it."""

import enum

from twisted.internet import defer, reactor, task

from wasabiknot_standins import platformworkers

SEND_INTERVAL_S = 0.4
CRASHES_BEFORE_REFUSAL = 3
# Time for which the entries may still send the request after its third crash.
SETTLING_S = 3.0
# Sends that may follow even later.
MAX_LATE_SENDS = 3
PREFIX = "harmful-"
# For different requests with a harmful part of their prompts in common.
PART_PREFIX = "part-"
PART_CRASHES_BEFORE_BOUND = 5
HARMLESS_S = 3.0
HARMLESS_SHARE = 4


class Harm(enum.Enum):
    """Which sends end the backend server that runs them.

    ``PART`` is for requests that have only a part of their prompts in common.
    """

    ALWAYS = "always"
    LATER = "later"
    MIXED = "mixed"
    PART = "part"


REQUEST_HARMS = (Harm.ALWAYS, Harm.LATER, Harm.MIXED)


class HarmfulCaller:
    """Sends the same harmful request again and again, and counts its runs.

    :param send: function of a request id that sends the request; returns a deferred.
    :param recorder: ``platformworkers.RunRecorder``.
    :param harm: ``Harm``.
    """

    prefix = PREFIX
    # Number of crashes after which the bound on further sends holds.
    crashes_before_bound = CRASHES_BEFORE_REFUSAL

    def __init__(self, send, recorder, harm=Harm.ALWAYS):
        self._send = send
        self._recorder = recorder
        self._harm = harm
        self._started_s = None
        self._count = 0

    @defer.inlineCallbacks
    def run(self, end_s):
        """Sends the request until a point in time.

        :param end_s: time in seconds of the last send.
        """
        self._started_s = reactor.seconds()
        while reactor.seconds() < end_s:
            self._count += 1
            harmless = platformworkers.HARMLESS_PREFIX
            prefix = self.prefix if self._is_harmful() else harmless
            self._send(f"{prefix}{self._count}")
            yield task.deferLater(reactor, SEND_INTERVAL_S)

    def _is_harmful(self):
        if self._harm is Harm.LATER:
            return reactor.seconds() - self._started_s > HARMLESS_S
        if self._harm is Harm.MIXED:
            return self._count % HARMLESS_SHARE != 1
        return True

    def list_runs(self):
        """Lists the times at which backend servers began to run the request.

        :return: sorted list of seconds.
        """
        return sorted(
            run.at_s
            for request_id, runs in self._recorder.runs.items()
            if request_id.startswith(self.prefix)
            for run in runs
        )

    def has_been_refused(self):
        """Tells whether the request has crashed enough backend servers to be refused.

        :return: ``True`` from the third crash on.
        """
        return len(self.list_runs()) >= CRASHES_BEFORE_REFUSAL

    def list_late_sends(self):
        """Lists the runs that began long after the crash from which the bound holds.

        :return: list of seconds.
        """
        runs = self.list_runs()
        if len(runs) < self.crashes_before_bound:
            return []
        settled_s = runs[self.crashes_before_bound - 1] + SETTLING_S
        return [at_s for at_s in runs if at_s > settled_s]


class PartCaller(HarmfulCaller):
    """Sends different requests with the same harmful part of their prompts."""

    prefix = PART_PREFIX
    crashes_before_bound = PART_CRASHES_BEFORE_BOUND

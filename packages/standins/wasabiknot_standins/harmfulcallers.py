"""Caller that resends a request which ends each backend server that runs it."""

from twisted.internet import defer, reactor, task

SEND_INTERVAL_S = 0.4
CRASHES_BEFORE_REFUSAL = 3
# Time for which the entries may still send the request after its third crash.
SETTLING_S = 3.0
# Sends that may follow even later.
MAX_LATE_SENDS = 3
PREFIX = "harmful-"


class HarmfulCaller:
    """Sends the same harmful request again and again, and counts its runs.

    :param send: function of a request id that sends the request; returns a deferred.
    :param recorder: ``platformworkers.RunRecorder``.
    """

    def __init__(self, send, recorder):
        self._send = send
        self._recorder = recorder
        self._count = 0

    @defer.inlineCallbacks
    def run(self, end_s):
        """Sends the request until a point in time.

        :param end_s: time in seconds of the last send.
        """
        while reactor.seconds() < end_s:
            self._count += 1
            self._send(f"{PREFIX}{self._count}")
            yield task.deferLater(reactor, SEND_INTERVAL_S)

    def list_runs(self):
        """Lists the times at which backend servers began to run the request.

        :return: sorted list of seconds.
        """
        return sorted(
            run.at_s
            for request_id, runs in self._recorder.runs.items()
            if request_id.startswith(PREFIX)
            for run in runs
        )

    def has_been_refused(self):
        """Tells whether the request has crashed enough backend servers to be refused.

        :return: ``True`` from the third crash on.
        """
        return len(self.list_runs()) >= CRASHES_BEFORE_REFUSAL

    def list_late_sends(self):
        """Lists the runs that began long after the third crash.

        :return: list of seconds.
        """
        runs = self.list_runs()
        if not self.has_been_refused():
            return []
        settled_s = runs[CRASHES_BEFORE_REFUSAL - 1] + SETTLING_S
        return [at_s for at_s in runs if at_s > settled_s]

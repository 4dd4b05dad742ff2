"""Checks what callers and backend servers have seen in a soak test."""

import collections
import math

import msgspec

from wasabiknot_standins import entryprocesses, platformworkers

# A fault accounts for an incomplete response if it occurred while the request was in
# flight or up to this long before it was sent.
FAULT_WINDOW_S = 3.0
# Time after which a request without any answer counts though no server got it.
LOSS_SLACK_S = 0.2
# Share of its time after which a request may end during or after a silence.
USED_SHARE = 0.7
# A request that was sent no later than this after a SIGTERM may end without an answer
# in the last sixth of the grace period, if its server is slow or silent.
STOP_ADMISSION_S = 3.0
STOP_SHARE = 5 / 6
# Time within which a revocation is in force everywhere. The bound of the settings is
# 2 s; the rest is for overlapping faults.
MAX_REVOCATION_S = 6.0
MIN_SERVED_SHARE = 0.3
OK = 200
UNAUTHORIZED = 401
NOT_FOUND = 404
RUN_ONCE_ROUTES = ("cash", "draft")
STREAM_ROUTES = ("draft", "summary", "recap")
REPEATABLE_ROUTES = ("lookup", "visit", "summary", "recap")


class Response(msgspec.Struct):
    """The response to one request, as received by the client.

    :param request_id: id of the request.
    :param route: name of the route.
    :param entry: number of the entry that the request was sent to.
    :param sent_s: time in seconds at which the request was sent.
    :param status: HTTP status code; 0 if no response head was received.
    :param headers: response headers.
    :param body: body bytes received so far.
    :param is_complete: whether the end of the response was received.
    :param ended_s: time in seconds at which the request ended.
    :param revoked_key: key that was revoked before the request; empty for a valid one.
    :param process_id: id of the process that the request was sent to.
    :param whole_s: time in seconds at which the last byte of the request was written;
        ``None`` if there was no connection.
    :param timeout_s: time in seconds that the request has.
    :param may_lack_route: whether a version that may be in force lacks its route.
    :param services: services that the versions in force let run it; ``None`` for any.
    """

    request_id: str
    route: str
    entry: int
    sent_s: float
    status: int = 0
    headers: dict[bytes, bytes] = {}
    body: bytes = b""
    is_complete: bool = False
    ended_s: float = 0.0
    revoked_key: str = ""
    process_id: int = 0
    whole_s: float | None = None
    timeout_s: float = 4.0
    may_lack_route: bool = False
    services: frozenset[str] | None = None


class Checker:
    """Checks the responses of one run against what the backend servers ran.

    :param recorder: ``platformworkers.RunRecorder``.
    :param responses: list of ``Response``.
    :param fault_times_s: times in seconds at which faults began or ended.
    :param revoked_s: times in seconds at which keys were revoked, by key and in the
        order of their configurations.
    :param published_s: times in seconds at which keys were first published, by key.
    :param stops: pairs of the number of an entry and the time in seconds of a SIGTERM
        to it.
    """

    def __init__(
        self, recorder, responses, fault_times_s, revoked_s, published_s, stops=()
    ):
        self._recorder = recorder
        self._responses = responses
        self._fault_times_s = fault_times_s
        self._revoked_s = revoked_s
        self._published_s = published_s
        self._stops = stops
        self._reached_ids = {item.request_id for item in recorder.contacts}
        self._violations = []

    def list_violations(self):
        """Lists the broken promises.

        :return: list of texts.
        """
        self._violations = list(self._recorder.violations)
        for response in self._responses:
            self._check_response(response)
        self._check_revoked_keys()
        for request_id, runs in self._recorder.runs.items():
            self._check_runs(request_id, runs)
        self._check_served_share()
        return self._violations

    def _check_served_share(self):
        served = sum(
            response.status == 200 and response.is_complete
            for response in self._responses
        )
        valid = sum(not response.revoked_key for response in self._responses)
        if served < MIN_SERVED_SHARE * valid:
            self._violations.append(f"{served} of {valid} succeeded")

    def _check_revoked_keys(self):
        # Each configuration has one key that no other has, in the order of the keys.
        order = {key: number for number, key in enumerate(self._revoked_s)}
        accepted = collections.defaultdict(list)
        rejected_s = {}
        for response in sorted(self._responses, key=lambda item: item.ended_s):
            if not response.revoked_key:
                continue
            key = response.revoked_key
            process_key = (response.process_id, key)
            number = order[key]
            superseded_s = [
                at_s for other, at_s in accepted[response.process_id] if other > number
            ]
            due_s = min(
                self._revoked_s[key] + MAX_REVOCATION_S,
                rejected_s.get(process_key, math.inf),
                *superseded_s,
            )
            has_run = response.request_id in self._recorder.runs
            if has_run and response.sent_s > due_s:
                late_s = response.sent_s - due_s
                self._violations.append(
                    f"{response.request_id}: entry {response.entry} accepted"
                    f" {key} {late_s:.1f} s too late"
                )
            if has_run:
                accepted[response.process_id].append((number, response.ended_s))
            elif response.status == UNAUTHORIZED:
                # Before it has the configuration of a key, a process rejects it too.
                is_known = any(
                    other >= number for other, _ in accepted[response.process_id]
                )
                known_s = self._published_s[key] + MAX_REVOCATION_S
                if is_known or response.sent_s > known_s:
                    rejected_s.setdefault(process_key, response.ended_s)

    def _check_services(self, response, runs):
        if response.services is None:
            return
        for run in runs:
            if run.service and run.service not in response.services:
                allowed = ", ".join(sorted(response.services)) or "none"
                self._violations.append(
                    f"{response.request_id} ({response.route}): entry {response.entry}"
                    f" sent it to {run.service}, in force are {allowed}"
                )

    def _check_runs(self, request_id, runs):
        responses = [item for item in self._responses if item.request_id == request_id]
        route = responses[0].route if responses else ""
        if responses:
            self._check_services(responses[0], runs)
        if route in RUN_ONCE_ROUTES and len(runs) > 1:
            self._violations.append(f"{request_id} ({route}) ran {len(runs)} times")
        if route in RUN_ONCE_ROUTES and responses[0].status in (429, 503) and runs:
            is_from_entry = b"x-wasabiknot-server-stamp" not in responses[0].headers
            if is_from_entry:
                self._violations.append(f"{request_id} ({route}) was refused but ran")

    def _check_response(self, response):
        if response.status != 200 or not response.is_complete:
            self._check_failed_response(response)
            return
        if b"x-wasabiknot-server-stamp" not in response.headers:
            self._violations.append(
                f"{response.request_id}: success without server stamp"
            )
        is_flooded = response.request_id in self._recorder.flooded_ids
        if not is_flooded and response.body != _build_expected_body(response):
            self._violations.append(f"{response.request_id}: unexpected body")

    def _overlaps_fault(self, response):
        start_s = response.sent_s - FAULT_WINDOW_S
        return any(start_s <= at_s <= response.ended_s for at_s in self._fault_times_s)

    def list_lost(self):
        """Lists the requests that ended without a complete response and an excuse.

        :return: list of ``Response``.
        """
        return [item for item in self._responses if self._is_lost(item)]

    def _is_lost(self, response):
        if response.is_complete or self._overlaps_fault(response):
            return False
        if not response.status and not self._was_read(response):
            return False
        return not self._is_excused(response)

    def _was_read(self, response):
        # A request that crosses the close of its connection is not read.
        if response.whole_s is None:
            return False
        is_late = response.ended_s > response.whole_s + LOSS_SLACK_S
        return is_late or response.request_id in self._reached_ids

    def _is_excused(self, response):
        # A silence alone excuses nothing, but its end may come too late. Streams
        # without a silence are short, so nothing excuses them.
        overlaps_silence = any(
            item.start_s <= response.ended_s and response.sent_s <= item.end_s
            for item in self._recorder.silences
        )
        used_s = response.ended_s - response.sent_s
        if overlaps_silence and used_s >= USED_SHARE * response.timeout_s:
            return True
        may_be_slow = overlaps_silence or not response.status
        return may_be_slow and self._ends_with_its_entry(response)

    def _ends_with_its_entry(self, response):
        return any(
            number == response.entry
            and response.sent_s <= at_s + STOP_ADMISSION_S
            and response.ended_s >= at_s + STOP_SHARE * entryprocesses.SHUTDOWN_GRACE_S
            for number, at_s in self._stops
        )

    def _check_failed_response(self, response):
        if self._is_lost(response):
            took_s = response.ended_s - response.sent_s
            self._violations.append(
                f"{response.request_id} ({response.route}, {response.status}):"
                f" incomplete without a fault, after {took_s:.2f} s"
            )
        events = response.body.split(b"\n\n")[:-1]
        is_stream = response.route in STREAM_ROUTES
        is_flooded = response.request_id in self._recorder.flooded_ids
        if response.status == 200 and is_stream and not is_flooded:
            expected = _build_expected_body(response).split(b"\n\n")[: len(events)]
            if events != expected:
                self._violations.append(f"{response.request_id}: unexpected events")
        if response.status == UNAUTHORIZED and response.revoked_key:
            return
        if response.status == NOT_FOUND and response.may_lack_route:
            return
        if response.status in (UNAUTHORIZED, 403, NOT_FOUND):
            self._violations.append(
                f"{response.request_id}: rejected with {response.status}"
            )


def _build_expected_body(response):
    if response.route not in STREAM_ROUTES:
        return platformworkers.build_body(response.request_id)
    count = platformworkers.count_events(response.request_id)
    return b"".join(
        platformworkers.build_event(response.request_id, event_id)
        for event_id in range(1, count + 1)
    )

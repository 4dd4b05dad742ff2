"""Tells from lost responses and ended backend servers which requests crash servers."""

import collections

import msgspec

from wasabiknot_kernel import attribution, crash_records, prompt_parts

# Interval between two searches for crashes that no longer count.
EXPIRY_INTERVAL_S = 60.0


# Time after a complete response in which an end of its backend server may still be its
# own fault, and in which it speaks for no prompt part.
RESPONSE_PROBATION_S = 0.15


class Answer(msgspec.Struct, frozen=True):
    """A complete response, which speaks for the prompt parts of its request.

    :param at_s: time in seconds.
    :param server: id of the backend server and its start time.
    :param service: name of the service.
    :param parts: keys of the parts.
    :param possible_loss: ``attribution.Loss`` that it is if its server has ended, for
        a response that ended with its connection.
    """

    at_s: float
    server: str
    service: str
    parts: tuple[str, ...]
    possible_loss: attribution.Loss | None


class CrashMonitor:
    """Records the crashes that this entry and its peers observe.

    :param register: ``crashes.CrashRegister``.
    """

    def __init__(self, register):
        self._register = register
        self._attribution = attribution.Attribution()
        self._ids_by_address = {}
        self._expired_s = None
        # Complete responses whose servers may have ended right after them.
        self._answers = collections.deque()

    def record_loss(self, ticket, server, now_s):
        """Records that a request was sent and got no complete response.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param now_s: current time in seconds.
        """
        server_key = self._attribution.get_server_key(server.registration)
        if ticket.is_trial:
            # Without waiting for evidence: the next trial must not repeat a crash.
            crash = _build_crash(ticket.trial_key, server_key, ticket.fingerprint)
            self._register.record(crash, now_s, crash_records.Evidence.TRIAL)
            return
        loss = self._build_loss(ticket, server_key)
        if self._attribution.record_loss(loss, now_s):
            self._record_crash(loss, now_s, crash_records.Evidence.ENDED_BEFORE)

    def _build_loss(self, ticket, server_key):
        parts = self._register.select_parts(ticket)
        return attribution.Loss(ticket.fingerprint, parts, server_key)

    def _record_crash(self, loss, now_s, evidence):
        for key in (loss.fingerprint, *loss.parts):
            crash = _build_crash(key, loss.server, loss.fingerprint)
            self._register.record(crash, now_s, evidence)

    def should_check(self, server, now_s):
        """Tells whether to check that a backend server still accepts connections.

        :param server: ``servers.Server`` that has lost a connection.
        :param now_s: current time in seconds.
        :return: ``True`` if there was no such check shortly before.
        """
        server_key = self._attribution.get_server_key(server.registration)
        return self._attribution.should_check(server_key, now_s)

    def record_failed_connection(self, server, is_refused, now_s):
        """Records that a connection to a backend server could not be opened.

        If it refused the connection, requests whose responses it lost shortly before
        count as having crashed it. If it did not respond, it may be silent for a while
        or unreachable for this entry alone: that shows no end.

        :param server: ``servers.Server``.
        :param is_refused: whether it refused the connection.
        :param now_s: current time in seconds.
        """
        if not is_refused:
            return
        server_key = self._attribution.get_server_key(server.registration)
        self._attribution.record_refusal(server_key, now_s)
        self._record_end(server.registration, now_s, crash_records.Evidence.REFUSED)

    def record_response(
        self, ticket, server, is_success, now_s, ends_with_connection=False
    ):
        """Records bytes of a response.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param is_success: whether the response is complete and a success.
        :param now_s: current time in seconds.
        :param ends_with_connection: whether the connection was closed with its end.
        """
        self._attribution.record_life(server.registration, now_s)
        if not is_success:
            return
        self._register.record_response(ticket.fingerprint, ticket.is_trial)
        server_key = self._attribution.get_server_key(server.registration)
        loss = None
        if ends_with_connection:
            loss = self._build_loss(ticket, server_key)
        parts = prompt_parts.list_keys(ticket)
        self._answers.append(Answer(now_s, server_key, ticket.service, parts, loss))

    def record_restart(self, server, now_s):
        """Records that a backend server is registered with another start time.

        :param server: ``servers.Server`` with its previous registration.
        :param now_s: current time in seconds.
        """
        self._record_end(server.registration, now_s, crash_records.Evidence.RESTARTED)

    def record_start(self, registration, previous, now_s):
        """Records the first registration of a start of a backend server.

        :param registration: ``registrations.Registration``.
        :param previous: ``servers.Server`` that had its address, or ``None``.
        :param now_s: current time in seconds.
        """
        self._ids_by_address[registration.address] = registration.server_id
        if previous is not None:
            self._record_end(
                previous.registration, now_s, crash_records.Evidence.REPLACED
            )

    def find_previous_id(self, registration):
        """Finds the backend server that was registered at the same address before.

        :param registration: ``registrations.Registration``.
        :return: id of another backend server, or ``None``.
        """
        server_id = self._ids_by_address.get(registration.address)
        return None if server_id == registration.server_id else server_id

    def record_replacement(self, server, now_s):
        """Records that another backend server answers at the address of this one.

        :param server: ``servers.Server`` that has ended.
        :param now_s: current time in seconds.
        """
        if server.is_ending:
            return
        server_key = self._attribution.get_server_key(server.registration)
        self._attribution.record_refusal(server_key, now_s)
        self._record_end(server.registration, now_s, crash_records.Evidence.REPLACED)

    def record_removal(self, server, now_s):
        """Records that a backend server is no longer registered.

        :param server: ``servers.Server``.
        :param now_s: current time in seconds.
        """
        registration = server.registration
        # One that has announced its end may break off what it still runs.
        if not server.is_ending:
            self._record_end(registration, now_s, crash_records.Evidence.REMOVED)
        self._attribution.forget(registration)
        if self._ids_by_address.get(registration.address) == registration.server_id:
            del self._ids_by_address[registration.address]

    def _record_end(self, registration, now_s, evidence):
        server_key = self._attribution.get_server_key(registration)
        self._record_crashes(server_key, now_s, evidence)

    def _record_crashes(self, server_key, now_s, evidence):
        lost = self._attribution.record_end(server_key, now_s)
        for answer in self._answers:
            if answer.server == server_key and answer.possible_loss is not None:
                lost.append(answer.possible_loss)
        self._answers = collections.deque(
            answer for answer in self._answers if answer.server != server_key
        )
        for loss in lost:
            self._record_crash(loss, now_s, evidence)

    def _record_due_answers(self, now_s):
        while self._answers:
            answer = self._answers[0]
            if now_s - answer.at_s < RESPONSE_PROBATION_S:
                return
            self._answers.popleft()
            self._register.record_answered_parts(
                answer.service, answer.parts, answer.at_s
            )

    def apply_digest(self, source, digest, now_s):
        """Applies what a peer or group reports.

        :param source: name of the peer or group.
        :param digest: ``members.Digest``.
        :param now_s: current time in seconds.
        """
        channel = digest.find_channel()
        for crash in digest.recent_crashes:
            self._register.add(crash, now_s, channel)
        self._register.apply_responses(source, digest.responses, now_s)
        refused = self._attribution.apply_report(source, digest.refused_servers)
        for server_key in refused:
            self._record_crashes(server_key, now_s, crash_records.Evidence.PEER_REFUSED)

    def list_refused(self, now_s):
        """Lists the backend servers that have recently refused a connection.

        :param now_s: current time in seconds.
        :return: tuple of ids with start times.
        """
        return self._attribution.list_refused(now_s)

    def tick(self, now_s, is_reader):
        """Drops what is too old to matter.

        :param now_s: current time in seconds.
        :param is_reader: whether this entry also deletes crashes that no longer count
            from the store.
        """
        self._record_due_answers(now_s)
        # A change of verdict is logged also while no request asks for it.
        self._register.list_refused_parts(now_s)
        for loss in self._attribution.drop_expired(now_s):
            crash = crash_records.Crash(loss.fingerprint, loss.server)
            self._register.record_unattributed(crash)
        if self._expired_s is None:
            self._expired_s = now_s
        elif now_s - self._expired_s > EXPIRY_INTERVAL_S:
            self._expired_s = now_s
            self._register.drop_expired(now_s, is_reader)


def _build_crash(key, server_key, fingerprint):
    request = fingerprint if prompt_parts.is_key(key) else ""
    return crash_records.Crash(key, server_key, request=request)

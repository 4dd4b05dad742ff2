"""Writes the crashes that requests have caused to the store and to the log."""

import time

import msgspec
from twisted.internet import defer

from wasabiknot_entry import calls, followers, journal
from wasabiknot_kernel import crash_records, events, prompt_parts
from wasabiknot_platform import stores

RETRY_DELAY_S = 1.0


class CrashWriter:
    """Writes the crashes that are due and deletes those that no longer count.

    Writing or deleting a record twice changes nothing, so a write whose response was
    lost is repeated.

    :param reactor: Twisted reactor.
    :param deployment: ``deployments.Deployment``.
    :param store: ``followers.StoreClient``.
    """

    def __init__(self, reactor, deployment, store):
        self._reactor = reactor
        self._deployment = deployment
        self._store = store
        self._is_writing = False
        self._retry_from_s = 0.0

    def check(self):
        """Starts a write if something is due and none is in progress."""
        now_s = self._reactor.seconds()
        if self._is_writing or now_s < self._retry_from_s:
            return
        register = self._deployment.crashes
        is_reader = self._deployment.should_read_store(now_s)
        due = register.list_due(now_s, is_reader)
        deletions = register.list_deletions()
        if not due and not deletions:
            return
        self._is_writing = True
        written = self._write(due, deletions)
        written.addErrback(journal.log_failure, "write crashes")

    @defer.inlineCallbacks
    def _write(self, due, deletions):
        values = {crash.key: _encode(crash) for crash in due}
        values.update(dict.fromkeys(deletions, b""))
        try:
            response = yield self._store.call(
                stores.build_batch_call(stores.CRASH_TOPIC, values)
            )
            if response.status != stores.OK:
                raise followers.StoreError(f"status {response.status}")
        except (calls.CallError, followers.StoreError) as error:
            self._retry_from_s = self._reactor.seconds() + RETRY_DELAY_S
            journal.write(events.Event.STORE_LOST, call="crashes", error=str(error))
            return
        finally:
            self._is_writing = False
        self._deployment.crashes.mark_stored(due)
        self._deployment.crashes.mark_deleted(deletions)
        journal.write(
            events.Event.CRASHES_WRITTEN, count=len(due), deleted=len(deletions)
        )


def _encode(crash):
    # The only clock that the reader of a record shares with this VM.
    return msgspec.json.encode(msgspec.structs.replace(crash, at_s=time.time()))


def log_observations(register, metrics):
    """Logs what the register has learnt and decided since the last call.

    :param register: ``crashes.CrashRegister``.
    :param metrics: ``crash_metrics.CrashMetrics``.
    """
    for observation in register.pop_observations():
        is_crash = observation.evidence is not crash_records.Evidence.NONE
        if is_crash:
            metrics.count_crash(observation.crash, observation.evidence)
        event = (
            events.Event.CRASH_RECORDED if is_crash else events.Event.LOSS_UNATTRIBUTED
        )
        journal.write(
            event,
            fingerprint=observation.crash.fingerprint,
            server=observation.crash.server,
            evidence=observation.evidence.value,
            count=observation.count,
        )
    for clearance in register.pop_clearances():
        journal.write(
            events.Event.REQUEST_CLEARED,
            fingerprint=clearance.fingerprint,
            count=clearance.count,
            responses=clearance.responses,
            reason=clearance.reason.value,
        )
    for verdict in register.pop_verdicts():
        metrics.count_verdict(verdict)
        _log_verdict(verdict)


def _log_verdict(verdict):
    part, service = prompt_parts.split_key(verdict.key)
    event = (
        events.Event.PART_REFUSED if verdict.is_refused else events.Event.PART_SERVED
    )
    journal.write(
        event,
        part=part,
        service=service,
        fingerprint=verdict.key,
        count=verdict.count,
        responses=verdict.responses,
    )

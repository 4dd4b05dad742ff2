"""Writes the phases of releases to the store.

Every entry can write them; normally only the leader of the first group does.
Each write is conditional on the end offset of its topic, which the entry reads
just before. If two entries write at the same time, or a stalled entry resumes, only
one write succeeds.
"""

import time

import msgspec
from twisted.internet import defer, task

from wasabiknot_entry import calls, followers, journal
from wasabiknot_kernel import decoding, events, registrations, release_records
from wasabiknot_platform import configurations, stores

CHECK_INTERVAL_S = 0.2
# Delay per group whose name sorts before this entry's group, so that normally only the
# leader of the first group writes.
GROUP_DELAY_S = 1.0
# Results of a write, as they appear in logs.
_WRITTEN = "written"
_KNOWN = "known"

_STATES = {
    release_records.Phase.CANARY: registrations.ReleaseState.RUNNING,
    release_records.Phase.PROMOTED: registrations.ReleaseState.RUNNING,
    release_records.Phase.FINISHED: registrations.ReleaseState.FINISHED,
    release_records.Phase.ROLLED_BACK: registrations.ReleaseState.ROLLED_BACK,
}


class ReleaseWriter:
    """Checks the releases and writes each phase change that is due.

    :param reactor: Twisted reactor.
    :param deployment: ``deployments.Deployment``.
    :param store: ``followers.StoreClient``.
    :param apply_facts: function of a topic name, a list of changed facts and the
        name of their source.
    """

    def __init__(self, reactor, deployment, store, apply_facts):
        self._reactor = reactor
        self._deployment = deployment
        self._store = store
        self._apply_facts = apply_facts
        self._due_since_s = {}
        self._is_writing = False

    def start(self):
        """Starts the periodic check of the releases."""
        loop = task.LoopingCall(self._check)
        loop.clock = self._reactor
        loop.start(CHECK_INTERVAL_S, now=False).addErrback(
            journal.log_failure, "duties"
        )

    def _check(self):
        tracked_releases = self._deployment.releases
        for blocked in tracked_releases.block_bad_versions():
            journal.write(
                events.Event.RELEASE_CONDEMNED,
                service=blocked.order.service,
                target=blocked.order.target,
                reason=blocked.reason,
                evidence=tracked_releases.describe_evidence(blocked.order.service),
            )
        now_s = self._reactor.seconds()
        for order in tracked_releases.list_active():
            running = self._deployment.count_running_on_old_versions(order)
            now_ms = round(time.time() * 1_000)
            due = tracked_releases.find_due_record(
                order.service, now_s, now_ms, running
            )
            if due is None:
                self._due_since_s.pop(order.service, None)
            else:
                self._write_if_designated(due, now_s)
        for release in tracked_releases.list_lost_records():
            self._write_if_designated(release, now_s)

    def _write_if_designated(self, release, now_s):
        if self._is_writing or not self._is_designated(release.service, now_s):
            return
        self._is_writing = True
        written = self._write(release)
        written.addErrback(journal.log_failure, "write release")

    def _is_designated(self, service, now_s):
        roster = self._deployment.roster
        if self._deployment.is_stopping or not roster.is_leader(now_s):
            return False
        since_s = self._due_since_s.setdefault(service, now_s)
        names = sorted(group.name for group in roster.list_other_groups())
        preceding = sum(name < roster.group.name for name in names)
        return now_s - since_s >= GROUP_DELAY_S * preceding

    @defer.inlineCallbacks
    def _write(self, due):
        try:
            result = yield self._write_record(due)
            if result in (_WRITTEN, _KNOWN):
                self._deployment.releases.mark_stored(due.service)
            journal.write(
                events.Event.RELEASE_WRITTEN,
                service=due.service,
                target=due.target,
                phase=due.phase.value,
                result=result,
                evidence=self._deployment.releases.describe_evidence(due.service),
            )
        except (calls.CallError, followers.StoreError, msgspec.MsgspecError) as error:
            journal.write(events.Event.STORE_LOST, call="release", error=str(error))
        finally:
            self._is_writing = False

    @defer.inlineCallbacks
    def _write_state(self, due):
        key = f"{stores.STATUS_PREFIX}{due.service}"
        page = yield self._list(stores.STATUS_TOPIC)
        state = _STATES[due.phase]
        status = registrations.ReleaseStatus(due.service, due.target, state)
        value = configurations.encode_status(status)
        if any(record.key == key and record.value == value for record in page.records):
            # An earlier write succeeded, but its response was lost.
            return _WRITTEN
        call = stores.build_append_call(stores.STATUS_TOPIC, key, value, page.end)
        response = yield self._store.call(call)
        return _describe_result(response)

    @defer.inlineCallbacks
    def _write_record(self, due):
        page = yield self._list(stores.RELEASE_TOPIC)
        for record in page.records:
            if record.key == due.service and self._is_superseded(record, due):
                return _KNOWN
        result = yield self._write_state(due)
        if result != _WRITTEN:
            return result
        call = stores.build_append_call(
            stores.RELEASE_TOPIC, due.service, msgspec.json.encode(due), page.end
        )
        response = yield self._store.call(call)
        return _describe_result(response)

    def _is_superseded(self, record, due):
        stored = decoding.decode_json(record.value, release_records.Release)
        if not stored.has_same_order(due):
            return stored.order > due.order
        if due.is_beyond(stored):
            return False
        topic = self._deployment.get_topic(stores.RELEASE_TOPIC)
        fact = followers.build_fact(record, self._store.era)
        changed = topic.apply([fact], 0)
        self._apply_facts(stores.RELEASE_TOPIC, changed, "store")
        return True

    @defer.inlineCallbacks
    def _list(self, topic):
        response = yield self._store.call(stores.build_list_call(topic))
        if response.status != stores.OK:
            raise followers.StoreError(f"status {response.status}")
        return stores.decode_listing(response.body)


def _describe_result(response):
    if response.status == stores.OK:
        return _WRITTEN
    return f"status {response.status}"

"""The task that writes the phases of releases to the store.

Any entry may do it; the first of the live ones does. Every write is conditional
on the end of its topic, which the entry has read just before: two writers, or
one that was paused, cannot both succeed.
"""

import time

import msgspec
from twisted.internet import defer, task

from wasabiknot_entry import calls, followers, journal
from wasabiknot_kernel import events, facts, registrations, releases
from wasabiknot_platform import configurations, stores

CHECK_S = 0.2
# Delay for each group before this one, so that the first one writes alone.
GROUP_DELAY_S = 1.0

_STATES = {
    releases.Phase.CANARY: registrations.ReleaseState.RUNNING,
    releases.Phase.FINISHED: registrations.ReleaseState.FINISHED,
    releases.Phase.ROLLED_BACK: registrations.ReleaseState.TAKEN_BACK,
}


class Duties:
    """Reviews the releases and writes what is due.

    :param reactor: Twisted reactor.
    :param deployment: ``deployments.Deployment``.
    :param store: ``followers.Store``.
    :param take_facts: function that takes a topic's changed facts and source.
    """

    def __init__(self, reactor, deployment, store, take_facts):
        self._reactor = reactor
        self._deployment = deployment
        self._store = store
        self._take_facts = take_facts
        self._due_since_s = {}
        self._is_writing = False

    def start(self):
        """Starts to review the releases."""
        loop = task.LoopingCall(self._check)
        loop.clock = self._reactor
        loop.start(CHECK_S, now=False).addErrback(journal.log_failure, "duties")

    def _check(self):
        known = self._deployment.releases
        for condemned in known.block_bad_versions():
            journal.write(
                events.Event.RELEASE_CONDEMNED,
                service=condemned.order.service,
                target=condemned.order.target,
                reason=condemned.reason,
            )
        now_s = self._reactor.seconds()
        for order in known.list_active():
            running = self._deployment.count_old_running(order)
            now_ms = round(time.time() * 1_000)
            due = known.find_due_record(order.service, now_s, now_ms, running)
            if due is None:
                self._due_since_s.pop(order.service, None)
            elif self._is_own_turn(order.service, now_s) and not self._is_writing:
                self._is_writing = True
                written = self._write(due)
                written.addErrback(journal.log_failure, "write release")

    def _is_own_turn(self, service, now_s):
        roster = self._deployment.roster
        if self._deployment.is_stopping or not roster.is_leader(now_s):
            return False
        since_s = self._due_since_s.setdefault(service, now_s)
        groups = sorted(group.name for group in roster.list_other_groups())
        before = sum(name < roster.group.name for name in groups)
        return now_s - since_s >= GROUP_DELAY_S * before

    @defer.inlineCallbacks
    def _write(self, due):
        try:
            result = yield self._write_state(due)
            if result == "written":
                result = yield self._write_record(due)
            journal.write(
                events.Event.RELEASE_WRITTEN,
                service=due.service,
                target=due.target,
                phase=due.phase.value,
                result=result,
                paces=self._deployment.releases.describe_evidence(due.service),
            )
        except (calls.CallError, followers.StoreError, msgspec.MsgspecError) as error:
            journal.write(events.Event.STORE_LOST, call="release", error=str(error))
        finally:
            self._is_writing = False

    @defer.inlineCallbacks
    def _write_state(self, due):
        state = _STATES.get(due.phase)
        if state is None:
            return "written"
        key = f"{stores.STATUS_PREFIX}{due.service}"
        page = yield self._list(stores.STATUS_TOPIC)
        status = registrations.ReleaseStatus(due.service, due.target, state)
        value = configurations.encode_status(status)
        if any(item.key == key and item.value == value for item in page.records):
            # An earlier write was lost only on its way back.
            return "written"
        call = stores.build_append(stores.STATUS_TOPIC, key, value, page.end)
        response = yield self._store.call(call)
        return _describe(response)

    @defer.inlineCallbacks
    def _write_record(self, due):
        page = yield self._list(stores.RELEASE_TOPIC)
        for item in page.records:
            if item.key == due.service and self._is_taken(item, due):
                return "known"
        call = stores.build_append(
            stores.RELEASE_TOPIC, due.service, msgspec.json.encode(due), page.end
        )
        response = yield self._store.call(call)
        return _describe(response)

    def _is_taken(self, item, due):
        known = msgspec.json.decode(item.value, type=releases.Release)
        is_ended = known.phase in (releases.Phase.FINISHED, releases.Phase.ROLLED_BACK)
        if known.order != due.order or not (is_ended or known.phase is due.phase):
            return known.order > due.order
        topic = self._deployment.find_topic(stores.RELEASE_TOPIC)
        changed = topic.take([facts.Fact(item.key, item.value, item.offset)], 0)
        self._take_facts(stores.RELEASE_TOPIC, changed, "store")
        return True

    @defer.inlineCallbacks
    def _list(self, topic):
        response = yield self._store.call(stores.build_newest(topic))
        if response.status != stores.OK:
            raise followers.StoreError(f"status {response.status}")
        return stores.decode_newest(response.body)


def _describe(response):
    if response.status == stores.OK:
        return "written"
    return f"status {response.status}"

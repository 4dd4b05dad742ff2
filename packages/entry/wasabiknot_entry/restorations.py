"""Reacts when the store was put back to an older copy."""

from wasabiknot_entry import journal
from wasabiknot_kernel import events, store_reads
from wasabiknot_platform import stores

# Each entry writes its member record again within this time, so that a large system
# does not write all of them at once.
MAX_REWRITE_DELAY_S = 2.0
# Time after which a restored topic is listed once more. Lapsed registrations have been
# removed then, and what was lost has been written again.
RECONCILE_DELAY_S = 5.0
SETTLE_RETRY_S = 0.5


class RestorationHandler:
    """Has what the store lost written again, and drops what nobody writes again.

    :param reactor: Twisted reactor.
    :param rng: random number generator.
    :param deployment: ``deployments.Deployment``.
    :param apply_facts: function of a topic name, a list of changed facts and the
        name of their source.
    :param publish_member: function that writes the member record of this entry.
    """

    def __init__(self, reactor, rng, deployment, apply_facts, publish_member):
        self._reactor = reactor
        self._rng = rng
        self._deployment = deployment
        self._apply_facts = apply_facts
        self._publish_member = publish_member
        self._followers = {}
        self._era = None

    def add_follower(self, topic_name, follower):
        """Adds the follower of a topic.

        :param topic_name: name of the topic.
        :param follower: ``followers.Follower``.
        """
        self._followers[topic_name] = follower

    def check_era(self):
        """Writes the records of this entry again if the era has risen.

        Entries that do not read the store learn of a new era from their peers.
        """
        previous, self._era = self._era, self._deployment.find_era()
        if previous is None or self._era == previous:
            return
        journal.write(events.Event.STORE_RESTORED, previous=previous, era=self._era)
        self._deployment.releases.record_restoration()
        delay_s = self._rng.uniform(0, MAX_REWRITE_DELAY_S)
        self._reactor.callLater(delay_s, self._publish_member)

    def check_topic(self, name):
        """Handles the first listing of a topic in a new era, if there was one.

        :param name: name of the topic.
        """
        restoration = self._deployment.get_topic(name).pop_restoration()
        if restoration is None:
            return
        journal.write(
            events.Event.TOPIC_RESTORED,
            topic=name,
            era=restoration.era,
            listed=restoration.listed,
            kept=restoration.kept,
            missing=len(restoration.missing),
            outdated=len(restoration.outdated),
        )
        if name == stores.CRASH_TOPIC:
            register = self._deployment.crashes
            register.mark_lost(restoration.missing, self._reactor.seconds())
            register.delete(restoration.outdated)
        elif name == stores.SERVER_TOPIC:
            delay_s = store_reads.REMOVAL_GRACE_S
            self._reactor.callLater(delay_s, self._settle_servers)
        self._reactor.callLater(RECONCILE_DELAY_S, self._followers[name].list_again)

    def _settle_servers(self):
        if self._deployment.store_reads.is_unavailable(self._reactor.seconds()):
            self._reactor.callLater(SETTLE_RETRY_S, self._settle_servers)
            return
        topic = self._deployment.get_topic(stores.SERVER_TOPIC)
        removed = topic.remove_unconfirmed()
        if removed:
            after_ms = round(store_reads.REMOVAL_GRACE_S * 1_000)
            journal.write(
                events.Event.SERVERS_LOST, count=len(removed), after_ms=after_ms
            )
        self._apply_facts(stores.SERVER_TOPIC, removed, "restoration")

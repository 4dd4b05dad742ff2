"""Follows the topics of the store that an entry needs."""

from wasabiknot_entry import followers, start_copies
from wasabiknot_platform import configurations, stores

# Long-poll waits: without a new record, a read of the store returns after this time.
CONFIGURATION_LONG_POLL_MS = 800
RELEASE_LONG_POLL_MS = 5_000
# Digests tell of crashes sooner, and are sent to the known address of a restarted peer.
RARE_LONG_POLL_MS = 10_000
# Pauses before the next long-poll, so that records written within it, as when many
# entries start, are read with one call.
READ_INTERVAL_S = 0.25
RARE_READ_INTERVAL_S = 0.5

_LONG_POLL_MS = {
    stores.OPERATOR_TOPIC: CONFIGURATION_LONG_POLL_MS,
    stores.MEMBER_TOPIC: RARE_LONG_POLL_MS,
    stores.RELEASE_TOPIC: RELEASE_LONG_POLL_MS,
    stores.CRASH_TOPIC: RARE_LONG_POLL_MS,
}


def follow_topics(
    reactor, store, deployment, apply_facts, health, reader_role, rng, copy_facts
):
    """Starts to follow all topics.

    :param reactor: Twisted reactor.
    :param store: ``followers.StoreClient``.
    :param deployment: ``deployments.Deployment``.
    :param apply_facts: function of a topic name, a list of changed facts and the
        name of their source.
    :param health: ``followers.StoreHealth``.
    :param reader_role: ``followers.ReaderRole``.
    :param rng: random number generator.
    :param copy_facts: function of a ``members.Member`` that copies its facts; returns a
        deferred.
    :return: mapping of topic names to ``followers.Follower``.
    """
    operator_topic = deployment.get_topic(stores.OPERATOR_TOPIC)
    operator_topic.find_version = configurations.find_version

    def compute_interval_s():
        return READ_INTERVAL_S if deployment.roster.has_several_groups else 0.0

    intervals = {
        stores.OPERATOR_TOPIC: compute_interval_s,
        stores.RELEASE_TOPIC: compute_interval_s,
        stores.MEMBER_TOPIC: lambda: RARE_READ_INTERVAL_S,
        stores.CRASH_TOPIC: lambda: RARE_READ_INTERVAL_S,
        # The registrations change all the time, so they are polled.
        stores.SERVER_TOPIC: lambda: deployment.policy.poll_interval_s,
    }

    # In a small system each topic is tried on its own, so that one that can't be read
    # delays no other.
    reader_role.is_probing = lambda: (
        deployment.roster.has_several_groups
        and (health.is_lost or deployment.store_reads.is_unavailable(reactor.seconds()))
    )

    def build_follower(name):
        return followers.Follower(
            reactor,
            store,
            deployment.get_topic(name),
            lambda changed, source: apply_facts(name, changed, source),
            health,
            _LONG_POLL_MS.get(name, 0),
            reader_role,
            intervals[name],
        )

    followed = {name: build_follower(name) for name in intervals}
    others = [item for name, item in followed.items() if name != stores.MEMBER_TOPIC]
    copier = start_copies.StartCopier(reactor, deployment, rng, copy_facts)
    copier.start(followed[stores.MEMBER_TOPIC], others)
    return followed

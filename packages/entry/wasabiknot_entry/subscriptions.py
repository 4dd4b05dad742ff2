"""Follows the topics of the store that an entry needs."""

from wasabiknot_entry import followers
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


def follow_topics(reactor, store, deployment, apply_facts, health, reader_role):
    """Starts to follow all topics.

    :param reactor: Twisted reactor.
    :param store: ``followers.StoreClient``.
    :param deployment: ``deployments.Deployment``.
    :param apply_facts: function of a topic name, a list of changed facts and the
        name of their source.
    :param health: ``followers.StoreHealth``.
    :param reader_role: ``followers.ReaderRole``.
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

    def follow(name):
        follower = followers.Follower(
            reactor,
            store,
            deployment.get_topic(name),
            lambda changed, source: apply_facts(name, changed, source),
            health,
            _LONG_POLL_MS.get(name, 0),
            reader_role,
            intervals[name],
        )
        follower.start()
        return follower

    return {name: follow(name) for name in intervals}

"""Loads the topics of an entry that starts: from a peer where there are many entries.

The records of the members are listed from the store. If they show several groups, the
other topics are copied from a peer, so that a restart of many entries costs few calls
to the store. They are listed from the store as well once that has taken too long.
"""

from wasabiknot_entry import journal
from wasabiknot_kernel import events

# Longest time to wait for the listing of the members.
MEMBER_WAIT_S = 0.2
# Range of the time for which topics are requested from peers. It is random, as all
# entries may start together after a loss of power: the first ones that list the topics
# from the store then serve the others.
MIN_COPY_S = 0.3
MAX_COPY_S = 0.9
RETRY_DELAY_S = 0.05


class StartCopier:
    """Loads all topics once.

    :param reactor: Twisted reactor.
    :param deployment: ``deployments.Deployment``.
    :param rng: random number generator.
    :param copy_facts: function of a ``members.Member`` that copies its facts; returns a
        deferred that fires when this has ended.
    """

    def __init__(self, reactor, deployment, rng, copy_facts):
        self._reactor = reactor
        self._deployment = deployment
        self._rng = rng
        self._copy_facts = copy_facts
        self._followers = ()
        self._has_begun = False
        self._started_s = 0.0
        self._deadline_s = 0.0

    def start(self, member_follower, other_followers):
        """Starts to load the topics.

        :param member_follower: ``followers.Follower`` of the members.
        :param other_followers: list of ``followers.Follower`` of the other topics.
        """
        self._followers = other_followers
        self._started_s = self._reactor.seconds()
        member_follower.handle_listed = self._begin
        self._reactor.callLater(MEMBER_WAIT_S, self._begin)
        member_follower.start()

    def _begin(self):
        if self._has_begun:
            return
        self._has_begun = True
        if not self._deployment.roster.has_several_groups:
            self._start_followers()
            return
        copy_s = self._rng.uniform(MIN_COPY_S, MAX_COPY_S)
        self._deadline_s = self._reactor.seconds() + copy_s
        self._reactor.callLater(copy_s, self._start_followers)
        self._copy()

    def _copy(self):
        if not self._followers or self._reactor.seconds() >= self._deadline_s:
            return
        peers = [peer.member for peer in self._deployment.roster]
        member = self._rng.choice(peers)
        copied = self._copy_facts(member)
        copied.addCallback(lambda _: self._check(member))
        copied.addErrback(journal.log_failure, "copy facts")

    def _check(self, member):
        if not all(follower.is_loaded for follower in self._followers):
            self._reactor.callLater(RETRY_DELAY_S, self._copy)
            return
        if self._followers:
            elapsed_s = self._reactor.seconds() - self._started_s
            journal.write(
                events.Event.START_COPIED,
                peer=member.name,
                elapsed_ms=round(elapsed_s * 1_000),
            )
        self._start_followers()

    def _start_followers(self):
        # A follower whose topic is loaded lists it only when it is the reader.
        is_large = self._deployment.roster.has_several_groups
        started, self._followers = self._followers, ()
        for follower in started:
            follower.start(may_be_copied=is_large)

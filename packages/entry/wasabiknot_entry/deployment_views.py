"""The part of the state of an entry that the gateway uses."""

from twisted.internet import reactor

from wasabiknot_entry import journal
from wasabiknot_kernel import events

CONNECT_TIMEOUT_S = 0.4


class DeploymentView:
    """The part of the deployment state that the gateway uses.

    :param deployment: ``deployments.Deployment``.
    """

    connect_timeout_s = CONNECT_TIMEOUT_S

    def __init__(self, deployment):
        self._deployment = deployment
        self.get_dispatcher = deployment.get_dispatcher
        self.list_dispatchers = deployment.list_dispatchers
        self.member = deployment.member
        self.paths = deployment.paths
        self.helpers = deployment.helpers
        self.hedging = deployment.hedging
        self.find_peer = deployment.find_peer
        self.choose_helper = deployment.choose_helper
        self.choose_slot_owner = deployment.choose_slot_owner
        self.is_path_lost = deployment.is_path_lost
        self.record_answer = deployment.record_answer
        self.record_path_failure = deployment.record_path_failure
        self.record_broken_connection = deployment.record_broken_connection
        self.get_budget = deployment.get_budget
        self.allowances = deployment.allowances
        self.crashes = deployment.crashes
        self.crash_monitor = deployment.crash_monitor
        self.record_evidence = deployment.record_evidence
        self.record_response = deployment.record_response
        self.try_start_trial = deployment.try_start_trial
        self.record_load = deployment.record_load
        self.record_statement = deployment.record_statement

    @property
    def table(self):
        """The active route table, or ``None`` before the first configuration."""
        return self._deployment.table

    @property
    def is_ready(self):
        """Whether the route table and the registrations have been read."""
        return self._deployment.is_ready

    @property
    def is_held(self):
        """Whether the entry has just gone on after a pause, and takes no requests."""
        check_pause(self._deployment)
        return self._deployment.pauses.is_held(reactor.seconds())

    def compute_read_age_ms(self):
        """Returns the age of this entry's last read of the store.

        :return: milliseconds, or -1 before the first read.
        """
        return self._deployment.store_reads.compute_age_ms(reactor.seconds())

    def compute_known_age_ms(self):
        """Returns the age of the last read of the store by any entry, as known here.

        :return: milliseconds, or -1 before the first read.
        """
        return self._deployment.store_reads.compute_known_age_ms(reactor.seconds())


def check_pause(deployment):
    """Detects that the process has stood still, and logs it.

    :param deployment: ``deployments.Deployment``.
    """
    paused_s = deployment.pauses.check(reactor.seconds())
    if paused_s:
        deployment.paths.forget_failures()
        journal.write(events.Event.RESUMED, paused_ms=round(paused_s * 1_000))

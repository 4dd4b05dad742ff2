"""Random faults and planned operations in a soak test."""

import collections
import math
import signal

from twisted.internet import defer, reactor, task

from wasabiknot_standins import entryprocesses, proxies

MAX_COPIES = 4
MAX_STORE_FAULT_S = 2.0


class Faults:
    """Injects faults into one run.

    :param rng: ``random.Random``.
    :param store: ``keyedlogs.Store``.
    :param configurations: ``soakconfigurations.Configurations``.
    :param start_harmful_caller: function that starts a caller whose request crashes
        backend servers.
    """

    def __init__(self, rng, store, configurations, start_harmful_caller):
        self._rng = rng
        self._store = store
        self._configurations = configurations
        self._start_harmful_caller = start_harmful_caller
        self._copies = collections.deque(maxlen=MAX_COPIES)
        # Filled by the run.
        self.entries = []
        self.proxies = []
        self.workers = []
        # Times in seconds at which faults began or ended.
        self.times_s = []
        # Pairs of the number of an entry and the time in seconds of a signal to it.
        self.signals = []
        # The same for each SIGTERM.
        self.stops = []
        # Time in seconds until which only planned operations take place.
        self.calm_until_s = -math.inf
        self.violations = []
        self.actions = collections.Counter()
        self.is_over = False

    def run_random_action(self):
        """Draws an action and carries it out."""
        actions = (
            self.stop_entry,
            self._kill_entry,
            self._pause_entry,
            self.send_sighup,
            self._start_proxy_fault,
            self._start_worker_fault,
            self._crash_worker,
            self._replace_worker,
            self._start_store_fault,
            self._truncate_topics,
            self._restore_store,
            self._start_harmful_caller,
            self._publish,
        )
        action = self._rng.choice(actions)
        # Planned operations must not interrupt any response.
        if action not in (self._publish, self.send_sighup, self.stop_entry):
            if reactor.seconds() < self.calm_until_s:
                return
            self.record_fault()
        self.actions[action.__name__.strip("_")] += 1
        action()

    def record_fault(self):
        """Records that a fault begins or ends now."""
        self.times_s.append(reactor.seconds())

    def _record_signal(self, entry):
        self.signals.append((entry.number, reactor.seconds()))

    def stop_entry(self):
        """Stops an entry and starts it again."""
        self.stop(self._rng.choice(self.entries))

    def stop(self, entry):
        """Sends SIGTERM to an entry and starts it again once it has ended.

        :param entry: ``entryprocesses.EntryProcess``.
        :return: deferred that fires when this is done.
        """
        self._record_signal(entry)
        entry.stopped_s = reactor.seconds()
        self.stops.append((entry.number, entry.stopped_s))
        entry.send_signal(signal.SIGTERM)
        return self.restart(entry)

    def _kill_entry(self):
        self.kill(self._rng.choice(self.entries))

    def kill(self, entry):
        """Kills an entry and starts it again.

        :param entry: ``entryprocesses.EntryProcess``.
        :return: deferred that fires when this is done.
        """
        self._record_signal(entry)
        entry.send_signal(signal.SIGKILL)
        return self.restart(entry)

    @defer.inlineCallbacks
    def restart(self, entry):
        """Starts an entry again once the process that was signalled has ended.

        :param entry: ``entryprocesses.EntryProcess``.
        :return: deferred that fires when this is done.
        """
        # Restarts may overlap: each one waits for the process that it signalled.
        process = entry.process
        watch = entryprocesses.StallWatch(reactor.seconds())
        deadline_s = reactor.seconds() + entryprocesses.SHUTDOWN_GRACE_S + 1.0
        while process.poll() is None and reactor.seconds() < deadline_s:
            yield task.deferLater(reactor, entryprocesses.CHECK_INTERVAL_S)
            watch.check(reactor.seconds())
            if entry.is_paused:
                deadline_s = reactor.seconds() + entryprocesses.SHUTDOWN_GRACE_S + 1.0
        if process.poll() is None:
            self.violations.append(
                f"entry {entry.number} exceeded its grace period: "
                f"{entry.describe_state()}; the soak itself stalled for at most "
                f"{watch.longest_s:.2f} s"
            )
            self.record_fault()
            process.kill()
            process.wait()
        if entry.process is process and not self.is_over:
            self._record_signal(entry)
            entry.start()

    def _pause_entry(self):
        entry = self._rng.choice(self.entries)
        self.pause(entry, self._rng.uniform(0.2, 2.5))

    def pause(self, entry, duration_s):
        """Pauses an entry.

        :param entry: ``entryprocesses.EntryProcess``.
        :param duration_s: time in seconds.
        :return: deferred that fires when it goes on.
        """
        self._record_signal(entry)
        entry.paused_s = reactor.seconds()
        entry.is_paused = True
        entry.send_signal(signal.SIGSTOP)
        return task.deferLater(reactor, duration_s, self._resume_entry, entry)

    def _resume_entry(self, entry):
        self._record_signal(entry)
        entry.paused_s = reactor.seconds()
        entry.is_paused = False
        entry.send_signal(signal.SIGCONT)

    def send_sighup(self):
        """Sends SIGHUP to an entry."""
        self._rng.choice(self.entries).send_signal(signal.SIGHUP)

    def _start_proxy_fault(self):
        proxy = self._rng.choice(self.proxies)
        faults = [item for item in proxies.Fault if item is not proxies.Fault.NONE]
        proxy.set_fault(self._rng.choice(faults))
        reactor.callLater(
            self._rng.uniform(0.3, 2.0),
            self._end_proxy_fault,
            proxy,
            proxies.Fault.NONE,
        )

    def _end_proxy_fault(self, proxy, fault):
        self.record_fault()
        proxy.set_fault(fault)

    def _start_worker_fault(self):
        worker = self._rng.choice(self.workers)
        worker.fault = self._rng.choice(["errors", "lose", "cut", "extra"])
        reactor.callLater(self._rng.uniform(0.5, 2.0), self._end_worker_fault, worker)

    def _end_worker_fault(self, worker):
        self.record_fault()
        worker.fault = None

    def _crash_worker(self):
        worker = self._rng.choice(self.workers)
        if worker.listener.connected:
            worker.crash()
            reactor.callLater(self._rng.uniform(0.3, 2.0), worker.start)

    def _replace_worker(self):
        worker = self._rng.choice(self.workers)
        if worker.listener.connected:
            worker.crash()
            worker.deregister()
            reactor.callLater(self._rng.uniform(0.3, 1.0), worker.start)

    def _start_store_fault(self):
        self._store.fault = self._rng.choice(["busy", "silent", "lost"])
        reactor.callLater(
            self._rng.uniform(0.3, MAX_STORE_FAULT_S),
            setattr,
            self._store,
            "fault",
            None,
        )

    def _truncate_topics(self):
        for topic in list(self._store.topics):
            self._store.truncate(topic)

    def copy_store(self):
        """Keeps a copy to which the store may be put back later."""
        self._copies.append(self._store.copy())

    def _restore_store(self):
        # Puts the store back by up to four seconds, at once or after a moment away. The
        # operator has just written, and writes on afterwards.
        copies = self._rng.choice(self._copies)
        for _ in range(self._rng.randint(0, 3)):
            self._configurations.publish()
        away_s = self._rng.choice([0.0, 0.5])
        if away_s:
            self._store.fault = "busy"
        reactor.callLater(away_s, self._finish_restoration, copies)

    def _finish_restoration(self, copies):
        self._store.fault = None
        self._store.restore(copies)
        delay_s = self._rng.uniform(0.1, 1.0)
        reactor.callLater(delay_s, self._configurations.write)
        reactor.callLater(delay_s + 0.1, self._configurations.publish)

    def _publish(self):
        self._configurations.publish()

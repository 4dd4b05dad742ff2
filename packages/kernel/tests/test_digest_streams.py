import collections
import unittest

import msgspec
from hypothesis import given, strategies

from wasabiknot_kernel import (
    brittleness,
    crash_records,
    customer_shares,
    digest_datagrams,
    digest_receivers,
    digest_streams,
    members,
    response_stats,
    server_paces,
    servers,
    statements,
)

INTERVAL_S = 0.1
SERVERS = [f"i-{number:010}" for number in range(6)]
CUSTOMERS = [f"customer-{number}" for number in range(4)]

loads = strategies.dictionaries(
    strategies.sampled_from(SERVERS),
    strategies.builds(
        servers.PeerLoad, strategies.integers(0, 9), strategies.integers(0, 9_000)
    ),
)
counts = strategies.dictionaries(
    strategies.sampled_from(CUSTOMERS), strategies.integers(0, 10**9)
)
evidence = strategies.dictionaries(
    strategies.sampled_from(["v1", "v2"]),
    strategies.builds(response_stats.ResponseStats, strategies.integers(0, 9)),
)
contents = strategies.fixed_dictionaries(
    {
        "loads": loads,
        "used": counts,
        "evidence": evidence,
        "waiting": counts,
        "faulty_servers": strategies.sets(strategies.sampled_from(SERVERS)).map(tuple),
        "is_stopping": strategies.booleans(),
        "read_age_ms": strategies.integers(-1, 2_000),
    }
)


def build_digest(sequence, **content):
    content = {"loads": {}, "used": {}, **content}
    return members.Digest("e1", "run-1", sequence, {"keyed.op": 7}, **content)


STREAM = digest_datagrams.compute_stream_id(build_digest(1))


def leave_out_evidence(digest):
    return msgspec.structs.replace(digest, evidence={})


def transmit(items):
    return digest_datagrams.decode_datagram(digest_datagrams.encode_datagram(items))


class Link:
    """A sender and a receiver; what arrives of each datagram is drawn."""

    def __init__(self):
        self.sender = digest_streams.DigestSender(digest_streams.Spacing())
        self.receiver = digest_receivers.DigestReceiver()
        self.now_s = 100.0
        self.applied = []

    def send(self, digest):
        """Returns the datagram of the next digest."""
        self.now_s += INTERVAL_S
        return digest_datagrams.encode_datagram(
            [self.sender.encode(digest, self.now_s)]
        )

    def deliver(self, data, is_answered=True):
        """Delivers a datagram; a request for the full digest may be lost."""
        for item in digest_datagrams.decode_datagram(data):
            if isinstance(item, digest_datagrams.FullDigest):
                digest = self.receiver.receive_full(item, self.now_s)
            else:
                digest = self.receiver.receive_changes(item, self.now_s)
                request = self.receiver.build_request(item, self.now_s)
                if request is not None and is_answered:
                    self.deliver(
                        digest_datagrams.encode_datagram(
                            [self.sender.repeat(request.stream)]
                        )
                    )
            if digest is not None:
                self.applied.append(digest)


class DigestStreamTests(unittest.TestCase):
    @given(
        strategies.lists(
            strategies.tuples(
                contents, strategies.sampled_from(["", "lost", "late", "twice", "mute"])
            ),
            min_size=1,
            max_size=40,
        )
    )
    def test_what_is_applied_was_sent_whatever_is_lost_late_or_repeated(self, steps):
        link = Link()
        sent = {}
        late = []
        used = collections.Counter()
        for sequence, (content, fate) in enumerate(steps):
            # Counters never fall within a run.
            used.update(content["used"])
            content["used"] = dict(used)
            sent[sequence] = build_digest(sequence, **content)
            data = link.send(sent[sequence])
            if fate == "late":
                late.append(data)
            elif fate != "lost":
                for _ in range(2 if fate == "twice" else 1):
                    link.deliver(data, is_answered=fate != "mute")
            if fate == "" and late:
                link.deliver(late.pop(0))
        for digest in link.applied:
            expected = sent[digest.sequence]
            # Evidence may be that of an earlier digest.
            self.assertIn(digest.evidence, [item.evidence for item in sent.values()])
            self.assertEqual(leave_out_evidence(digest), leave_out_evidence(expected))
        link.now_s += digest_streams.EVIDENCE_INTERVAL_S
        last = len(steps)
        sent[last] = build_digest(last, **{**steps[0][0], "used": dict(used)})
        link.deliver(link.send(sent[last]))
        self.assertEqual(link.applied[-1], sent[last])

    def test_digest_after_a_lost_full_one_is_applied_once_that_is_sent_again(self):
        # Guards against a peer that counts as unreachable until the next full digest.
        link = Link()
        link.send(build_digest(1))
        link.deliver(link.send(build_digest(2, read_age_ms=40)))
        self.assertEqual([digest.read_age_ms for digest in link.applied], [40])

    def test_full_digest_that_is_sent_again_is_not_taken_for_the_present_state(self):
        receiver = digest_receivers.DigestReceiver()
        full = digest_datagrams.FullDigest(build_digest(5), (), True)
        self.assertIsNone(receiver.receive_full(full, 1.0))

    def test_change_that_has_waited_too_long_is_not_applied(self):
        link = Link()
        link.send(build_digest(1))
        link.deliver(link.send(build_digest(2)), is_answered=False)
        link.now_s += 2 * digest_receivers.HOLD_S
        link.deliver(digest_datagrams.encode_datagram([link.sender.repeat(STREAM)]))
        self.assertEqual(link.applied, [])

    def test_change_of_a_replaced_full_digest_is_ignored(self):
        link = Link()
        link.deliver(link.send(build_digest(1)))
        late = link.send(build_digest(2))
        link.now_s += 2 * digest_streams.FULL_INTERVAL_S
        link.deliver(link.send(build_digest(3)))
        link.deliver(late)
        self.assertEqual([digest.sequence for digest in link.applied], [1, 3])

    def test_full_digest_is_requested_once_at_a_time(self):
        link = Link()
        link.send(build_digest(1))
        (changed,) = transmit([link.sender.encode(build_digest(2), link.now_s)])
        link.receiver.receive_changes(changed, 5.0)
        self.assertIsNotNone(link.receiver.build_request(changed, 5.0))
        self.assertIsNone(link.receiver.build_request(changed, 5.01))
        self.assertIsNotNone(link.receiver.build_request(changed, 5.1))

    def test_use_that_is_left_out_stays_as_told_before(self):
        # Guards against use that is charged again, or never, as loads are announced.
        link = Link()
        link.deliver(link.send(build_digest(1, used={"customer-0": 100})))
        link.deliver(link.send(build_digest(2, used={"customer-0": 150})))
        announced = build_digest(3, used={"customer-0": 170})
        items = [link.sender.encode(announced, link.now_s, omits_use=True)]
        link.deliver(digest_datagrams.encode_datagram(items))
        link.deliver(link.send(build_digest(4, used={"customer-0": 180})))
        told = [digest.used["customer-0"] for digest in link.applied]
        self.assertEqual(told, [100, 150, 150, 180])

    def play_evidence(self, steps, **first):
        """Sends evidence that changes in place, as that of an entry does.

        :return: successes that were told, by the digest.
        """
        link = Link()
        stats = response_stats.ResponseStats(**first)
        for sequence in range(steps):
            digest = build_digest(sequence, evidence={"v1": stats.copy()})
            link.deliver(link.send(digest))
            stats.successes += 1
        return [digest.evidence["v1"].successes for digest in link.applied]

    def test_evidence_without_new_failures_is_told_at_an_interval(self):
        # Guards against evidence that is repeated in each digest during a release.
        told = self.play_evidence(21)
        self.assertEqual(len(told), 21)
        self.assertLessEqual(len(set(told)), 6)
        self.assertGreaterEqual(told[-1], 15)

    def test_new_failures_are_told_sooner(self):
        # Guards against a bad version that is found late.
        link = Link()
        stats = response_stats.ResponseStats()
        for sequence in range(8):
            digest = build_digest(sequence, evidence={"v1": stats.copy()})
            link.deliver(link.send(digest))
            stats.failures += 1
        told = [digest.evidence["v1"].failures for digest in link.applied]
        lags = [number - failures for number, failures in enumerate(told)]
        self.assertLessEqual(max(lags), 2)

    def test_large_evidence_is_told_more_rarely(self):
        # Guards against evidence of many servers that takes most of the bytes.
        link = Link()
        every = {f"v1/server-{number}": number for number in range(90)}
        told = set()
        for sequence in range(40):
            evidence = {
                key: response_stats.ResponseStats(sequence + number)
                for key, number in every.items()
            }
            link.deliver(link.send(build_digest(sequence, evidence=evidence)))
            told.add(link.applied[-1].evidence["v1/server-0"].successes)
        self.assertLessEqual(len(told), 5)
        self.assertGreaterEqual(max(told), 20)

    def test_paces_are_told_now_and_then_and_never_repeated(self):
        # Guards against an old pace that counts as a new one, and against paces of
        # many servers in each digest.
        link = Link()
        sizes = []
        for sequence in range(21):
            paces = tuple(
                server_paces.PaceReport(server, 150 + sequence, 5) for server in SERVERS
            )
            data = link.send(build_digest(sequence, paces=paces))
            sizes.append(len(data))
            link.deliver(data)
        told = [digest.paces[0].pace for digest in link.applied if digest.paces]
        self.assertEqual(len(told), len(set(told)))
        self.assertLessEqual(len(told), 11)
        self.assertGreaterEqual(len(told), 6)
        self.assertEqual(told[-1] - 150, max(told) - 150)
        self.assertLess(min(sizes), 30)
        self.assertLess(sorted(sizes)[-4], 80)

    def test_work_of_customers_stays_as_told_before(self):
        link = Link()
        for sequence in range(8):
            work = customer_shares.CustomerWork("pool", 1, CUSTOMERS[0], 10 * sequence)
            digest = build_digest(sequence, customer_work=(work,))
            link.deliver(link.send(digest))
        told = [digest.customer_work[0].work_ms for digest in link.applied]
        self.assertEqual(told, sorted(told))
        self.assertLess(len(set(told)), 8)
        self.assertGreaterEqual(told[-1], 50)

    def test_reports_with_ids_arrive_as_they_were_sent(self):
        link = Link()
        reports = {
            "limits": (statements.LimitReport(SERVERS[1], 4.5, 20),),
            "leaving_servers": (statements.LeavingReport(SERVERS[2], 7),),
            "broken_servers": (statements.BrokenConnectionReport(SERVERS[3], 7, 3),),
            "brittle_services": (brittleness.BrittleReport("pool", 2, 10),),
            "recent_crashes": (crash_records.Crash("f1", SERVERS[1]),),
        }
        link.deliver(link.send(build_digest(1)))
        for sequence in (2, 3):
            link.deliver(link.send(build_digest(sequence, **reports)))
        for name, value in reports.items():
            self.assertEqual(getattr(link.applied[-1], name), value)

    def test_changes_are_small(self):
        # Guards against datagrams that repeat the ids of servers and customers.
        link = Link()
        used = {f"customer-{number:02}": 10**6 + number for number in range(16)}
        all_loads = {server: servers.PeerLoad(2, 700) for server in SERVERS}
        full = link.send(build_digest(1, loads=all_loads, used=used))
        changed = link.send(
            build_digest(
                2,
                loads={**all_loads, SERVERS[0]: servers.PeerLoad(3, 900)},
                used={**used, "customer-03": 10**6 + 400},
            )
        )
        self.assertLess(len(changed), 50)
        self.assertLess(len(full), 500)

    def test_unknown_fields_are_passed_over(self):
        # Guards against a later version whose digests have more fields.
        receiver = digest_receivers.DigestReceiver()
        receiver.receive_full(digest_datagrams.FullDigest(build_digest(1)), 0.0)
        changed = digest_datagrams.ChangedDigest(STREAM, 2, 1, [(99, {"a": 1})])
        self.assertEqual(receiver.receive_changes(changed, 0.1).sequence, 2)

    def test_odd_changes_raise_only_decoding_errors(self):
        receiver = digest_receivers.DigestReceiver()
        receiver.receive_full(digest_datagrams.FullDigest(build_digest(1)), 0.0)
        loads_index = digest_datagrams.FIELDS.index("loads")
        odd = ([1], 7, "a", None, {7: [1, 2]}, {"a": 1}, [{}, [3]], [{}, 3], [[], []])
        for change in odd:
            changed = digest_datagrams.ChangedDigest(
                STREAM, 2, 1, [(loads_index, change)]
            )
            with self.subTest(change=change):
                with self.assertRaises(msgspec.MsgspecError):
                    receiver.receive_changes(changed, 0.1)

    @given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_decoding_errors(self, data):
        for first in (digest_datagrams.PLAIN, digest_datagrams.COMPRESSED):
            try:
                digest_datagrams.decode_datagram(first + data)
            except msgspec.MsgspecError:
                pass

    def test_streams_of_many_runs_are_bounded(self):
        receiver = digest_receivers.DigestReceiver()
        for number in range(digest_receivers.MAX_STREAMS + 10):
            changed = digest_datagrams.ChangedDigest(number, 2, 1, [])
            receiver.receive_changes(changed, 0.0)
        self.assertLessEqual(len(receiver._streams), digest_receivers.MAX_STREAMS)

import base64
import json
import random
import struct
import unittest
import urllib.parse

import msgspec
from twisted.internet import defer, task

from wasabiknot_entry import calls, release_writers
from wasabiknot_kernel import (
    allowances,
    deployments,
    members,
    registrations,
    release_records,
)
from wasabiknot_platform import stores

POLICY = deployments.Policy(
    0.2, 10.0, 50.0, allowances.Tolerance(8.0, 0.1, 140_000), 0.1
)
Phase = release_records.Phase


class FakeStore:
    """Keeps the newest record of each key in memory."""

    def __init__(self):
        self.era = 1
        self.topics = {}
        self.ends = {}
        self.appended = []

    def put(self, topic, key, value):
        offset = self.ends.get(topic, 0)
        self.topics.setdefault(topic, {})[key] = (value, offset)
        self.ends[topic] = offset + 1

    def call(self, call, wait_s=0.0):
        url = urllib.parse.urlsplit(call.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        handle = self.list if url.path == "/log-newest" else self.append
        return defer.succeed(handle(query, call.body))

    def list(self, query, body):
        topic = query["topic"]
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in self.topics.get(topic, {}).items()
        ]
        page = {"entries": entries, "end": self.ends.get(topic, 0)}
        return calls.Response(200, json.dumps(page).encode())

    def append(self, query, body):
        topic = query["topic"]
        if int(query["at"]) != self.ends.get(topic, 0):
            return calls.Response(412, b"{}")
        (length,) = struct.unpack(">I", body[:4])
        content = body[4 : 4 + length]
        key = content[1 : 1 + content[0]].decode()
        self.put(topic, key, content[1 + content[0] :])
        self.appended.append((topic, key))
        return calls.Response(200, b"{}")


class LostRecordTests(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        member = members.Member("e1", "r1", "10.0.0.1", 7000)
        self.deployment = deployments.Deployment(member, POLICY, random.Random(1))
        self.store = FakeStore()
        order = registrations.ReleaseOrder("desk", "v2", 10.0, 7)
        self.deployment.releases.apply_order(order, 100.0)
        self.applied = []
        self.writer = release_writers.ReleaseWriter(
            self.clock, self.deployment, self.store, self.apply_facts
        )

    def apply_facts(self, topic, changed, source):
        self.applied.extend(changed)

    def record(self, phase):
        release = release_records.Release("desk", "v2", 7, phase, 100_000, "", 10.0)
        self.deployment.releases.apply_record(release, 100.0, 100_000)
        return release

    def write(self):
        self.deployment.releases.record_restoration()
        self.writer.start()
        self.clock.advance(0.3)
        return self.store.appended

    def get_phase(self):
        value, _ = self.store.topics[stores.RELEASE_TOPIC]["desk"]
        return msgspec.json.decode(value, type=release_records.Release).phase

    def test_phase_and_status_that_the_store_has_lost_are_written_again(self):
        self.record(Phase.FINISHED)
        keys = [key for _, key in self.write()]
        self.assertEqual(keys, [f"{stores.STATUS_PREFIX}desk", "desk"])
        self.assertIs(self.get_phase(), Phase.FINISHED)
        self.clock.advance(5.0)
        self.assertEqual(len(self.store.appended), 2)

    def test_earlier_phase_of_the_copy_is_replaced(self):
        known = self.record(Phase.PROMOTED)
        earlier = msgspec.structs.replace(known, phase=Phase.CANARY)
        self.store.put(stores.RELEASE_TOPIC, "desk", msgspec.json.encode(earlier))
        self.write()
        self.assertIs(self.get_phase(), Phase.PROMOTED)

    def test_later_phase_in_the_store_is_not_replaced(self):
        known = self.record(Phase.CANARY)
        later = msgspec.structs.replace(known, phase=Phase.ROLLED_BACK)
        self.store.put(stores.RELEASE_TOPIC, "desk", msgspec.json.encode(later))
        self.assertEqual(self.write(), [])
        self.assertEqual(len(self.applied), 1)

    def test_nothing_is_written_again_without_a_restoration(self):
        self.record(Phase.FINISHED)
        self.writer.start()
        self.clock.advance(5.0)
        self.assertEqual(self.store.appended, [])

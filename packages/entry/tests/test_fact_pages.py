import unittest
import zlib
from unittest import mock

import msgspec

from wasabiknot_entry import calls, fact_pages
from wasabiknot_kernel import facts

VALUE = b'{"rate": 17, "burst": 9}' * 40


class Request:
    """A request for facts; records the headers of the response."""

    def __init__(self, target):
        fields = [item.split("=") for item in target.partition("?")[2].split("&")]
        self.args = {name.encode(): [value.encode()] for name, value in fields}
        self.headers = []

    def setHeader(self, name, value):  # noqa: N802
        self.headers.append((name, value))


def build_topic(name="t", count=3):
    topic = facts.Topic(name)
    records = [facts.Fact(f"key-{number}", VALUE, number) for number in range(count)]
    topic.apply_listing(records, count)
    topic.record_change(count - 1)
    return topic


class FactPageTests(unittest.TestCase):
    def setUp(self):
        self.traffic = mock.Mock()

    def serve(self, topics, target):
        deployment = mock.Mock(topics={topic.name: topic for topic in topics})
        request = Request(target)
        content = fact_pages.create_handler(deployment, self.traffic)(request)
        return calls.Response(200, content, tuple(request.headers))

    def test_facts_arrive_as_they_were_sent(self):
        topic = build_topic()
        response = self.serve([topic], fact_pages.build_target([facts.Topic("t")]))
        (update,) = fact_pages.decode(response)
        self.assertEqual(update, topic.build_update_since(0))
        self.traffic.count.assert_called_once()

    def test_entry_of_an_earlier_version_gets_json(self):
        topic = build_topic()
        response = self.serve([topic], "/facts?t=0")
        content = zlib.decompress(response.body)
        updates = msgspec.json.decode(content, type=list[facts.TopicUpdate])
        self.assertEqual(updates, fact_pages.decode(response))

    def test_topic_that_has_not_changed_is_left_out(self):
        # Guards against whole topics that are sent again with each change of another:
        # the listing of the sender ends behind the last record that it has.
        topic, other = build_topic(), build_topic("u")
        topic.apply_listing(list(topic.facts.values()), 9)
        known = build_topic()
        target = fact_pages.build_target([known, facts.Topic("u")])
        updates = fact_pages.decode(self.serve([topic, other], target))
        self.assertEqual([update.topic for update in updates], ["u"])

    def test_odd_content_raises_what_a_caller_expects(self):
        headers = ((b"content-type", fact_pages.MESSAGE_PACK_CONTENT_TYPE),)
        odd = (
            b"",
            b"x",
            zlib.compress(b""),
            zlib.compress(b"\xc1"),
            zlib.compress(b"\xdc"),
        )
        for body in odd:
            for given in ((), headers):
                with self.subTest(body=body, headers=given):
                    with self.assertRaises((zlib.error, msgspec.MsgspecError)):
                        fact_pages.decode(calls.Response(200, body, given))

import unittest

import grammars
import hypothesis
from hypothesis import strategies

from wasabiknot_entry import heads

HEAD = b"HTTP/1.1 200 OK\r\n"


def read_head(data, size_bytes=None):
    """Reads a head, whole or in reads of a size."""
    reader = heads.HeadReader()
    size_bytes = size_bytes or len(data)
    for start in range(0, len(data), size_bytes):
        head = reader.read(data[start : start + size_bytes])
        if head is not None:
            return head
    return None


class HeadReaderTests(unittest.TestCase):
    def check_refused(self, data, rule):
        for size_bytes in (None, 1):
            with self.assertRaises(heads.ResponseError) as caught:
                read_head(data, size_bytes)
            self.assertIs(caught.exception.rule, rule)

    def test_status_line_outside_the_grammar_is_refused(self):
        # Guards against a status that its server didn't send, 000 among them.
        for line in grammars.ODD_STATUS_LINES:
            rule = heads.Rule.UPGRADE if b"101" in line else heads.Rule.STATUS_LINE
            with self.subTest(line):
                self.check_refused(line + b"\r\ncontent-length: 0\r\n\r\n", rule)

    def test_all_statuses_from_200_to_599_are_read(self):
        for status in range(200, 600):
            head = read_head(b"HTTP/1.1 %d\r\n\r\n" % status)
            self.assertEqual(head.status, status)

    def test_line_that_is_no_field_is_refused(self):
        # Guards against a line that a client takes for a part of another field.
        lines = (
            b" content-length: 9",
            b"\tcontent-length: 9",
            b"no field",
            b": 9",
            b"content-length : 9",
            b"content length: 9",
            b"content-\x00length: 9",
            b"content-length\x7f: 9",
            b"x-a: \x00",
            b"x-a: \x01",
            b"x-a: b\rc",
            b"\xe4: 1",
        )
        for line in lines:
            with self.subTest(line):
                for fields in (line, b"x-a: 1\r\n" + line):
                    data = HEAD + fields + b"\r\n\r\n"
                    self.check_refused(data, heads.Rule.FIELD_LINE)

    def test_line_that_ends_otherwise_is_refused(self):
        # Guards against a head that ends too early.
        for end in (b"\n", b"\n\n", b"\r\r\n", b"\n\r\n"):
            with self.subTest(end):
                data = HEAD + b"x-a: 1" + end + b"content-length: 9\r\n\r\n"
                self.check_refused(data, heads.Rule.FIELD_LINE)
        self.check_refused(HEAD[:-2] + b"\n\n", heads.Rule.STATUS_LINE)

    def test_length_that_is_no_number_or_several_is_refused(self):
        lengths = (b"", b"x", b"-9", b"+9", b"9x", b"9 9", b"0x9", b"9;", b"9,", b"9,8")
        for length in (*lengths, b"9" * 21, b"\xb2", b"9\r\ncontent-length: 8"):
            with self.subTest(length):
                data = HEAD + b"content-length: " + length + b"\r\n\r\n"
                self.check_refused(data, heads.Rule.LENGTH)

    def test_coding_that_leaves_the_end_of_the_body_open_is_refused(self):
        chunked = b"transfer-encoding: chunked\r\n"
        cases = {
            "other": HEAD + b"transfer-encoding: gzip\r\n",
            "list": HEAD + b"transfer-encoding: gzip, chunked\r\n",
            "empty": HEAD + b"transfer-encoding:\r\n",
            "twice": HEAD + chunked + chunked,
            "length": HEAD + chunked + b"content-length: 9\r\n",
            "version": HEAD.replace(b"1.1", b"1.0") + chunked,
        }
        for name, lines in cases.items():
            with self.subTest(name):
                self.check_refused(lines + b"\r\n", heads.Rule.CODING)

    def test_field_is_read_without_blanks_around_its_value(self):
        lines = b"X-A:b\r\nx-a:\t \xff c\td \t\r\nx-empty:\r\n"
        fields = ((b"x-a", b"b"), (b"x-a", b"\xff c\td"), (b"x-empty", b""))
        self.assertEqual(read_head(HEAD + lines + b"\r\n").headers, fields)

    def test_repeated_length_is_passed_on_once(self):
        for lines in (b"content-length: 9, 9\r\n", b"content-length: 9\r\n" * 2):
            head = read_head(HEAD + lines + b"\r\n")
            self.assertEqual(head.headers, ((b"content-length", b"9"),))
            self.assertEqual(head.length, 9)

    def test_bytes_that_can_not_become_a_head_are_refused_at_once(self):
        # Guards against a request that waits for the rest of them.
        for data in (b"\0", b"HTTQ", b"\r", b"<html>", HEAD + b"no field\n"):
            with self.subTest(data), self.assertRaises(heads.ResponseError):
                heads.HeadReader().read(data)

    def test_size_of_a_head_is_bounded_however_it_comes(self):
        for size_bytes in (None, 1_000):
            for line in (b"x-a: b\r\n", b"x-a: " + b"b" * heads.MAX_HEAD_BYTES):
                data = HEAD + line * (heads.MAX_HEAD_BYTES // len(line) + 1)
                with self.subTest(line[:9]), self.assertRaises(heads.ResponseError):
                    read_head(data + b"\r\n\r\n", size_bytes)

    @hypothesis.settings(max_examples=2_000)
    @hypothesis.given(grammars.spoil_responses(), strategies.sampled_from((None, 1, 7)))
    def test_spoilt_head_is_read_only_if_the_grammar_has_it(self, data, size_bytes):
        # Guards against an answer with a status or fields that its server didn't send.
        expected = grammars.read_response(b"GET", data)
        try:
            head = read_head(data, size_bytes)
        except heads.ResponseError as error:
            self.assertIsNone(expected.status)
            self.assertLessEqual(len(error.excerpt), heads.MAX_EXCERPT_BYTES)
            return
        self.assertEqual(head and head.status, expected.status)
        self.assertTrue(head or expected.state is grammars.State.INCOMPLETE)

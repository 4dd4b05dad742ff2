import logging
import os
import unittest

import msgspec

from wasabiknot_entry import journal
from wasabiknot_kernel import events


class JournalTests(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.writer = writer
        self.handler = journal.NonBlockingHandler(writer)
        logger = logging.getLogger("wasabiknot")
        logger.addHandler(self.handler)
        logger.setLevel(logging.INFO)
        self.addCleanup(logger.removeHandler, self.handler)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        journal._limiter.__init__()

    def read_lines(self):
        os.set_blocking(self.reader, False)
        data = b""
        try:
            while chunk := os.read(self.reader, 65_536):
                data += chunk
        except BlockingIOError:
            pass
        return [msgspec.json.decode(line) for line in data.splitlines()]

    def test_line_contains_event_and_fields(self):
        journal.write(events.Event.DISPATCHED, request="q1", server="w1", version=7)
        (line,) = self.read_lines()
        self.assertEqual(line["event"], "WK1403")
        self.assertEqual((line["request"], line["version"]), ("q1", 7))

    def test_lines_per_second_are_limited_in_a_burst(self):
        for number in range(5_000):
            journal.write(events.Event.REFUSED, request=f"q{number}", kind="x")
        # The burst may span two seconds.
        self.assertLessEqual(len(self.read_lines()), 2 * journal.MAX_LINES_PER_S + 2)

    def test_line_is_dropped_when_pipe_is_full(self):
        os.set_blocking(self.writer, False)
        try:
            while True:
                os.write(self.writer, b"x" * 65_536)
        except BlockingIOError:
            pass
        journal.write(events.Event.REFUSED, request="q1", kind="x")
        self.assertEqual(self.handler.dropped, 1)

    def test_line_fails_when_the_reader_of_the_log_has_ended(self):
        # Each request then ended with an exception instead of an answer.
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        os.close(reader)
        handler = journal.NonBlockingHandler(writer)
        record = logging.LogRecord("x", logging.INFO, "", 0, "line", (), None)
        handler.emit(record)
        self.assertEqual(handler.dropped, 1)

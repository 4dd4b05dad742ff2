import unittest
from unittest import mock

from wasabiknot_standins import keyedlogs, platformworkers


class FaultTests(unittest.TestCase):
    def test_extra_bytes_follow_a_complete_response(self):
        store, recorder = keyedlogs.Store(), platformworkers.RunRecorder()
        worker = platformworkers.Worker(store, recorder, "desk", False)
        worker.fault = "extra"
        channel = mock.Mock()
        request = mock.Mock(channel=channel)
        # Twisted deletes the attribute when a response is finished.
        request.finish.side_effect = lambda: delattr(request, "channel")
        worker._send_response(request, "q1", [])
        channel.transport.write.assert_called_once_with(platformworkers.EXTRA_BYTES)

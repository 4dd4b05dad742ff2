"""Backend servers that have rejected a request and named a time to stay away.

| state | entered by | left by |
| --- | --- | --- |
| open | the server's start | a rejection that names a time |
| closed | that rejection; no request is sent | the end of the time |
| trying | that end, or a restart; one request at a time | a response that names none |

A request that has got no response for a while keeps no other one away: the server may
be silent for a second or so, or answer all requests but this one.
"""

import msgspec

# Time within which entries learn that a server has restarted. What it has stated since
# then may be the word of its new start.
RESTART_NEWS_S = 2.0
# Time for which a request that tries a server keeps other ones away; longer than a
# sound server is silent.
MAX_TRIAL_S = 3.0


class Deferral(msgspec.Struct):
    """The time for which a backend server wants no request.

    :param until_s: end of the time, in seconds.
    :param named_s: time in seconds at which this entry last read one.
    :param opens_s: time in seconds from which requests try the server: the end, or
        when its restart became known.
    :param trial_id: id of the request that tries the server after that; ``None`` while
        there is none.
    :param trial_sent_s: time in seconds at which that request was sent.
    """

    until_s: float
    named_s: float
    opens_s: float
    trial_id: str | None = None
    trial_sent_s: float = 0.0


class DeferralTable:
    """The deferrals of backend servers, by their ids."""

    def __init__(self):
        self._deferrals = {}

    def __len__(self):
        return len(self._deferrals)

    def record(self, server_id, retry_after_s, sent_s, now_s):
        """Records a response of a backend server.

        :param server_id: id of the server.
        :param retry_after_s: time in seconds for which it wants no request; ``None``
            if it doesn't say so.
        :param sent_s: time in seconds at which the request was sent.
        :param now_s: current time in seconds.
        :return: whether the server now wants no request and did not say so before.
        """
        deferral = self._deferrals.get(server_id)
        if retry_after_s is None:
            if deferral is not None and sent_s >= deferral.opens_s:
                del self._deferrals[server_id]
            return False
        until_s = now_s + retry_after_s
        if deferral is None:
            self._deferrals[server_id] = Deferral(until_s, now_s, until_s)
            return True
        is_new = now_s >= deferral.opens_s
        deferral.until_s = max(deferral.until_s, until_s)
        deferral.named_s = now_s
        deferral.opens_s = deferral.until_s
        return is_new

    def may_send(self, server_id, now_s):
        """Tells whether a request may be sent now.

        :param server_id: id of the server.
        :param now_s: current time in seconds.
        :return: ``False`` within the time, and while another request tries the server,
            for ``MAX_TRIAL_S`` at most.
        """
        deferral = self._deferrals.get(server_id)
        if deferral is None:
            return True
        if now_s < deferral.opens_s:
            return False
        is_tried = deferral.trial_id is not None
        return not is_tried or now_s - deferral.trial_sent_s >= MAX_TRIAL_S

    def record_send(self, server_id, request_id, now_s):
        """Records that a request is sent.

        :param server_id: id of the server.
        :param request_id: id of the request.
        :param now_s: current time in seconds.
        """
        deferral = self._deferrals.get(server_id)
        if deferral is not None:
            deferral.trial_id = request_id
            deferral.trial_sent_s = now_s

    def record_end(self, server_id, request_id):
        """Records that a request has ended, with a response or without.

        :param server_id: id of the server.
        :param request_id: id of the request.
        """
        deferral = self._deferrals.get(server_id)
        if deferral is not None and deferral.trial_id == request_id:
            deferral.trial_id = None

    def find_wait_s(self, server_id, now_s):
        """Finds how long the server still wants no request.

        :param server_id: id of the server.
        :param now_s: current time in seconds.
        :return: seconds, 0 if requests may be sent.
        """
        deferral = self._deferrals.get(server_id)
        return max(0.0, deferral.opens_s - now_s) if deferral is not None else 0.0

    def list_ids(self):
        """Lists the backend servers that have named a time and not yet recovered.

        :return: list of ids.
        """
        return list(self._deferrals)

    def apply_restart(self, server_id, now_s):
        """Lets requests try a backend server that has restarted, one at a time.

        The new start may have rejected requests before its registration was known
        here. If it rejects the next one as well, the times named lately hold.

        :param server_id: id of the server.
        :param now_s: current time in seconds.
        """
        deferral = self._deferrals.get(server_id)
        if deferral is None:
            return
        deferral.opens_s = min(deferral.opens_s, now_s)
        deferral.trial_id = None
        if now_s - deferral.named_s > RESTART_NEWS_S:
            deferral.until_s = deferral.opens_s

    def forget(self, server_id):
        """Forgets a backend server that has ended.

        :param server_id: id of the server.
        """
        self._deferrals.pop(server_id, None)

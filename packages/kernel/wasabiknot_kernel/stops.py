"""Which requests an entry still takes while it stops."""

import msgspec

# An entry ends this long before the platform kills it, so that its last responses
# reach their callers. Only in the last sixth of the grace period may it cut a response
# that its server hasn't finished, so the margin is a smaller part of a short one.
END_MARGIN_S = 0.7
MIN_END_MARGIN_S = 0.5
END_MARGIN_SHARE = 0.15
# Time kept for the way of a response to its caller.
RETURN_MARGIN_S = 0.1


class Stop(msgspec.Struct, frozen=True):
    """The times of a stop.

    :param accept_until_s: time in seconds until which requests are still admitted.
    :param end_s: time in seconds at which the requests still in flight are ended.
    """

    accept_until_s: float
    end_s: float

    def can_finish(self, ticket, longest_s, now_s):
        """Tells whether a request can be expected to end before the entry does.

        A request whose own time is over before that gets its response in any case.

        :param ticket: ``arrivals.Ticket``.
        :param longest_s: seconds from a send now to the end of the response, with a
            margin.
        :param now_s: current time, in seconds.
        :return: ``False`` if it should be refused while it hasn't run.
        """
        return min(ticket.deadline_s, now_s + longest_s) <= self.end_s - RETURN_MARGIN_S


def plan_stop(now_s, grace_s, accept_s):
    """Plans a stop.

    :param now_s: time in seconds at which the entry was asked to stop.
    :param grace_s: seconds after which the process is killed.
    :param accept_s: seconds for which new requests are admitted, if the grace period
        allows it.
    :return: ``Stop``.
    """
    margin_s = min(END_MARGIN_S, max(MIN_END_MARGIN_S, END_MARGIN_SHARE * grace_s))
    end_s = now_s + max(0.0, grace_s - margin_s)
    return Stop(min(now_s + accept_s, end_s), end_s)

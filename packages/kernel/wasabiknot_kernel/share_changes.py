"""Observes which customers are above their shares while capacity is short."""

import msgspec

from wasabiknot_kernel import routes

# Time for which a customer must be within its share again before this is reported, so
# that a use close to the limit isn't reported repeatedly.
SETTLING_S = 5.0
# A smaller use is not reported: one long request may take as much.
MIN_REPORTED_USE_S = 2.0


class ShareChange(msgspec.Struct, frozen=True):
    """A customer that has come above its share, or is within it again.

    :param service: name of the service.
    :param customer: name of the customer; empty for requests without one.
    :param is_above: whether it is above its share.
    :param use_s: its use, in seconds of engine time; see ``customer_shares``.
    """

    service: routes.ServiceName
    customer: routes.CustomerName
    is_above: bool
    use_s: float = 0.0


class ShareObserver:
    """Finds the changes from one observation to the next."""

    def __init__(self):
        # Time in seconds of the last observation above the share, by service and
        # account.
        self._above_s = {}

    def observe(self, shares, now_s):
        """Observes the customers of all services.

        :param shares: list of ``customer_shares.ServiceShares``.
        :param now_s: current time in seconds.
        :return: list of ``ShareChange``.
        """
        changes = []
        for item in shares:
            for use_s, key in item.list_uses(now_s):
                if use_s < MIN_REPORTED_USE_S or not item.is_above_share(key, now_s):
                    continue
                if (item.service, key) not in self._above_s:
                    changes.append(ShareChange(item.service, key[1], True, use_s))
                self._above_s[item.service, key] = now_s
        return changes + self._pop_settled(now_s)

    def _pop_settled(self, now_s):
        settled = [
            name
            for name, above_s in self._above_s.items()
            if now_s - above_s > SETTLING_S
        ]
        for name in settled:
            del self._above_s[name]
        return [
            ShareChange(service, customer, False) for service, (_, customer) in settled
        ]

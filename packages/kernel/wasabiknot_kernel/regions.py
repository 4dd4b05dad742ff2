"""Regions in which requests may run.

Routes and customers may list the regions to which their requests are sent. A failure
domain whose region isn't known is in none of them.
"""

import typing

import msgspec

Region = typing.NewType("Region", str)


class RegionMap(msgspec.Struct, frozen=True):
    """The regions of the failure domains.

    :param own: region of this entry; empty if unknown.
    :param by_domain: region of each failure domain.
    """

    own: Region = Region("")
    by_domain: dict[str, Region] = {}

    def may_run(self, allowed, domain):
        """Tells whether a request may be sent to the servers of a failure domain.

        :param allowed: set of regions; ``None`` for all.
        :param domain: failure domain.
        """
        return allowed is None or self.by_domain.get(domain) in allowed

    def may_hand_over(self, allowed, domain):
        """Tells whether a request may be handed over to a peer in a failure domain.

        :param allowed: set of regions; ``None`` for all.
        :param domain: failure domain.
        :return: ``True`` also for peers in the region of this entry.
        """
        if self.may_run(allowed, domain):
            return True
        return bool(self.own) and self.by_domain.get(domain) == self.own


def build_map(own, domain, by_domain):
    """Builds the map of an entry.

    :param own: region of the entry, or ``None``.
    :param domain: failure domain of the entry, which is in that region.
    :param by_domain: region of each failure domain, or ``None``.
    :return: ``RegionMap``.
    """
    known = dict(by_domain or {})
    if own:
        known.setdefault(domain, own)
    return RegionMap(own or "", known)


def combine(*lists):
    """Combines lists of allowed regions, all of which apply.

    :param lists: tuples of regions; an empty one allows all regions.
    :return: frozen set of the regions in all of them; ``None`` if all are empty.
    """
    given = [frozenset(item) for item in lists if item]
    return frozenset.intersection(*given) if given else None

"""Records of releases in the store."""

import enum

import msgspec

from wasabiknot_kernel import decoding, positions


class Phase(enum.Enum):
    """The phases of a release."""

    CANARY = "canary"
    PROMOTED = "promoted"
    FINISHED = "finished"
    ROLLED_BACK = "taken-back"


class Release(msgspec.Struct, frozen=True):
    """The record of a release in the store.

    :param service: service name.
    :param target: version that the order names.
    :param order: position of the order in the store.
    :param phase: current phase.
    :param started_ms: Unix time at which the order was first read, in milliseconds.
    :param reason: why the release was rolled back; empty otherwise.
    :param duration_s: time in seconds that the order allows.
    """

    service: str
    target: str
    order: decoding.Offset
    phase: Phase
    started_ms: decoding.Integer
    reason: str = ""
    duration_s: decoding.Number = 0.0

    def belongs_to(self, order):
        """Tells whether this is the record of an order.

        :param order: ``registrations.ReleaseOrder``.
        :return: whether both name the same order.
        """
        contents = (order.target, order.duration_s)
        return self._names_order(order.offset, contents)

    def has_same_order(self, other):
        """Tells whether another record is one of the same order.

        :param other: ``Release``.
        :return: whether both name the same order.
        """
        contents = (other.target, other.duration_s)
        return self._names_order(other.order, contents)

    def _names_order(self, position, contents):
        if self.order == position:
            return True
        # After the store was restored, an order is read again at another position.
        if positions.get_era(self.order) == positions.get_era(position):
            return False
        return (self.target, self.duration_s) == contents

    def is_beyond(self, other):
        """Tells whether another record of the same order is of an earlier phase.

        :param other: ``Release``.
        :return: whether this one must not be replaced by it.
        """
        is_later = _PHASE_RANKS[self.phase] > _PHASE_RANKS[other.phase]
        return is_later and self.has_same_order(other)


_PHASE_RANKS = {
    Phase.CANARY: 0,
    Phase.PROMOTED: 1,
    Phase.FINISHED: 2,
    Phase.ROLLED_BACK: 2,
}

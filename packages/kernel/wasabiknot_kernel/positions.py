"""Positions in a topic of the store, across restorations of the store.

After it was restored from an older copy, the store gives out offsets again. Each
restoration begins a new era, and positions of a later era are higher than all of the
earlier ones. Positions of era 0, before any era is known, are plain offsets.
"""

import typing

Position = typing.NewType("Position", int)

# Room below the position of a record, for what was kept or removed before it.
STEPS_PER_RECORD = 4
KEPT_STEPS = 2
REMOVED_STEPS = 1
ERA_BITS = 42
MAX_ERA = 2**20


def create_position(era, offset):
    """Creates the position of a record.

    :param era: number of the era; 0 if the store states none.
    :param offset: offset of the record.
    :return: ``Position``.
    """
    if not era:
        return Position(offset)
    return Position((era << ERA_BITS) + STEPS_PER_RECORD * offset)


def get_era(position):
    """Returns the era of a position.

    :param position: ``Position``.
    :return: number of the era.
    """
    return position >> ERA_BITS


def get_offset(position):
    """Returns the offset of a position.

    :param position: ``Position``.
    :return: offset of the record at or before it.
    """
    if not get_era(position):
        return position
    return (position & (2**ERA_BITS - 1)) // STEPS_PER_RECORD


def is_before(position, end):
    """Tells whether a listing up to an end covers a position.

    :param position: ``Position``.
    :param end: ``Position`` of the end of the listing.
    :return: ``False`` also for what was kept when a topic with the same end was
        restored, as no listing shows that.
    """
    return position < (end - KEPT_STEPS if get_era(end) else end)


def create_kept_position(end):
    """Creates the position of what stays in force although a restored topic lacks it.

    :param end: ``Position`` of the end of the topic, in an era above 0.
    :return: ``Position`` above all records before the end and below the next one.
    """
    return Position(end - KEPT_STEPS)


def create_removed_position(end):
    """Creates the position of the removal of something that was kept.

    :param end: ``Position`` of the end of the topic, in an era above 0.
    :return: ``Position`` above the kept ones and below the next record.
    """
    return Position(end - REMOVED_STEPS)

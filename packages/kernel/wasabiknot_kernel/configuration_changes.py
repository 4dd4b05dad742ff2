"""Lists the differences between two versions of a configuration."""

import enum

import msgspec

# Fields that identify an entry of a list.
_NAME_FIELDS = ("name", "service")
# Fields whose values are secret, so only their number is reported.
_SECRET_FIELDS = frozenset({"keys"})
ABSENT = "none"


class Change(msgspec.Struct, frozen=True):
    """A difference between two versions.

    :param place: the entry and its field, such as ``routes[r-1].timeout_ms``.
    :param before: value in the earlier version; "none" if it is new.
    :param after: value in the later version; "none" if it was removed.
    """

    place: str
    before: str
    after: str

    def __str__(self):
        return f"{self.place}: {self.before} -> {self.after}"


def list_changes(before, after, place=""):
    """Lists the fields in which two structures of the same type differ.

    Entries of lists are matched by name, so their order doesn't matter.

    :param before: structure of the earlier version.
    :param after: structure of the later version.
    :param place: place of the structures in the configuration; empty for the whole.
    :return: list of ``Change``, in the order of the fields.
    """
    changes = []
    for field in before.__struct_fields__:
        field_place = f"{place}.{field}" if place else field
        values = getattr(before, field), getattr(after, field)
        if field in _SECRET_FIELDS:
            changes.extend(_compare_secrets(*values, field_place))
        else:
            changes.extend(_compare(*values, field_place))
    return changes


def _compare(before, after, place):
    if before == after:
        return []
    if isinstance(before, msgspec.Struct) and type(before) is type(after):
        return list_changes(before, after, place)
    if _has_names(before) and _has_names(after):
        return _compare_entries(before, after, place)
    return [Change(place, _format_value(before), _format_value(after))]


def _compare_entries(before, after, place):
    earlier = {_find_name(entry): entry for entry in before}
    later = {_find_name(entry): entry for entry in after}
    changes = []
    for name in [*earlier, *(name for name in later if name not in earlier)]:
        entry_place = f"{place}[{name}]"
        if name not in later:
            changes.append(Change(entry_place, "present", ABSENT))
        elif name not in earlier:
            changes.append(Change(entry_place, ABSENT, "present"))
        else:
            changes.extend(_compare(earlier[name], later[name], entry_place))
    return changes


def _compare_secrets(before, after, place):
    removed = len(set(before) - set(after))
    added = len(set(after) - set(before))
    if not removed and not added:
        return []
    return [Change(place, f"{removed} removed", f"{added} added")]


def _has_names(value):
    return isinstance(value, tuple) and all(
        isinstance(entry, msgspec.Struct) and _find_name(entry) for entry in value
    )


def _find_name(entry):
    for field in _NAME_FIELDS:
        if field in entry.__struct_fields__:
            return getattr(entry, field)
    return ""


def _format_value(value):
    if value is None:
        return ABSENT
    if isinstance(value, enum.Enum):
        return str(value.value)
    return str(value)

"""Reads YAML documents into typed structures and reports every fault by line."""

import typing

import msgspec
import yaml
from returns import result

from wasabiknot_kernel import exceptions

_FIRST_LINE = 1


class Fault(msgspec.Struct, frozen=True):
    """One fault of a document.

    :param file: name of the file.
    :param line: line number, counted from 1.
    :param path: field within the document, such as ``calls[0].tier``.
    :param expected: the value that is expected there.
    """

    file: str
    line: int
    path: str
    expected: str

    def __str__(self):
        return f"{self.file}:{self.line}: {self.path}: {self.expected}"


class _Place(msgspec.Struct, frozen=True):
    file: str
    lines: dict[str, int]

    def describe_fault(self, path, expected):
        return Fault(self.file, self._line(path), path or "document", expected)

    def _line(self, path):
        while path and path not in self.lines:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self.lines.get(path, _FIRST_LINE)


def read_document(text, schema, file):
    """Parses a YAML text and checks it against a structure type.

    :param text: YAML text.
    :param schema: ``msgspec.Struct`` subclass that the document must match.
    :param file: file name used in faults.
    :return: ``Success(Document)`` or ``Failure(DocumentError)``.
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        value = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else _FIRST_LINE
        fault = Fault(file, line, "document", f"expected valid YAML: {error}")
        return result.Failure(exceptions.DocumentError([fault]))
    place = _Place(file, {})
    _collect_lines(node, "", place.lines)
    faults = []
    _check_value(value, schema, "", place, faults)
    if faults:
        return result.Failure(exceptions.DocumentError(faults))
    return result.Success(Document(convert_value(value, schema), place))


class Document(msgspec.Struct, frozen=True):
    """A checked document that can still locate its fields.

    :param value: the typed content.
    :param place: file and line numbers of the fields.
    """

    value: typing.Any
    place: _Place

    def describe_fault(self, path, expected):
        """Describes a fault that a later check found.

        :param path: field within the document.
        :param expected: the value that is expected there.
        :return: a ``Fault`` with its line number.
        """
        return self.place.describe_fault(path, expected)


def check_choice(document, field, names):
    """Checks that a field holds one of some names.

    :param document: ``Document``.
    :param field: name of the field.
    :param names: the names, in the order in which a fault lists them.
    :return: ``Success`` with its value, or ``Failure(DocumentError)``.
    """
    if getattr(document.value, field) in names:
        return succeed(document.value)
    return fail(
        [document.describe_fault(field, f"expected one of: {', '.join(names)}")]
    )


def convert_value(value, schema):
    """Converts plain YAML values to a typed structure.

    :param value: mappings, lists and scalars.
    :param schema: target type.
    :return: an instance of ``schema``.
    """
    return msgspec.convert(value, schema, strict=True)


def _collect_lines(node, path, lines):
    if node is None:
        return
    lines[path] = node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        for key, child in node.value:
            child_path = f"{path}.{key.value}" if path else key.value
            _collect_lines(child, child_path, lines)
            lines[child_path] = key.start_mark.line + 1
    elif isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            _collect_lines(child, f"{path}[{index}]", lines)


def _check_value(value, schema, path, place, faults):
    info = msgspec.inspect.type_info(schema)
    if isinstance(info, msgspec.inspect.StructType):
        _check_struct(value, schema, info, path, place, faults)
    elif _is_sequence(info) and isinstance(value, list):
        item_schema = _find_item_schema(schema)
        for index, item in enumerate(value):
            _check_value(item, item_schema, f"{path}[{index}]", place, faults)
    else:
        _check_leaf(value, schema, path, place, faults)


def _find_item_schema(schema):
    if typing.get_origin(schema) is typing.Annotated:
        schema = typing.get_args(schema)[0]
    return typing.get_args(schema)[0]


def _is_sequence(info):
    return isinstance(info, msgspec.inspect.ListType | msgspec.inspect.VarTupleType)


def _check_struct(value, schema, info, path, place, faults):
    if not isinstance(value, dict):
        faults.append(place.describe_fault(path, "expected a mapping"))
        return
    fields = {field.encode_name: field for field in info.fields}
    hints = typing.get_type_hints(schema, include_extras=True)
    prefix = f"{path}." if path else ""
    for name in sorted(set(map(str, value)) - set(fields)):
        known = ", ".join(fields)
        faults.append(place.describe_fault(prefix + name, f"expected one of: {known}"))
    found = len(faults)
    for name, field in fields.items():
        if name in value:
            hint = hints[field.name]
            _check_value(value[name], hint, prefix + name, place, faults)
        elif field.required:
            faults.append(place.describe_fault(prefix + name, "expected a value"))
    if len(faults) == found:
        known = {name: value[name] for name in fields if name in value}
        _check_leaf(known, schema, path, place, faults)


def _check_leaf(value, schema, path, place, faults):
    try:
        convert_value(value, schema)
    except msgspec.ValidationError as error:
        expected = str(error).replace("Expected", "expected", 1)
        faults.append(place.describe_fault(path, f"{expected} (found {value!r})"))


def fail(faults):
    """Wraps faults as a failed result.

    :param faults: list of ``Fault``.
    :return: ``Failure(DocumentError)``.
    """
    return result.Failure(exceptions.DocumentError(faults))


def succeed(value):
    """Wraps a value as a successful result.

    :param value: the value.
    :return: ``Success(value)``.
    """
    return result.Success(value)

"""Parses YAML documents into typed structures and reports all faults by line."""

import typing

import msgspec
import yaml
from returns import result

from wasabiknot_kernel import exceptions

_FIRST_LINE = 1


class Fault(msgspec.Struct, frozen=True):
    """A validation error in a document.

    :param file: file name.
    :param line: line number, starting at 1.
    :param path: path of the field, such as ``calls[0].tier``.
    :param expected: description of the expected value.
    """

    file: str
    line: int
    path: str
    expected: str

    def __str__(self):
        return f"{self.file}:{self.line}: {self.path}: {self.expected}"


class _SourceMap(msgspec.Struct, frozen=True):
    file: str
    lines: dict[str, int]

    def describe_fault(self, path, expected):
        return Fault(self.file, self._find_line(path), path or "document", expected)

    def _find_line(self, path):
        while path and path not in self.lines:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self.lines.get(path, _FIRST_LINE)


def read_document(text, schema, file):
    """Parses YAML text and validates it against a structure type.

    :param text: YAML text.
    :param schema: ``msgspec.Struct`` subclass that the document must match.
    :param file: file name for faults.
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
    source_map = _SourceMap(file, {})
    _collect_lines(node, "", source_map.lines)
    faults = []
    _check_value(value, schema, "", source_map, faults)
    if faults:
        return result.Failure(exceptions.DocumentError(faults))
    return result.Success(Document(convert_value(value, schema), source_map))


class Document(msgspec.Struct, frozen=True):
    """A validated document with the line numbers of its fields.

    :param value: the typed content.
    :param source_map: file name and line numbers of the fields.
    """

    value: typing.Any
    source_map: _SourceMap

    def describe_fault(self, path, expected):
        """Describes a fault that was found after parsing.

        :param path: path of the field.
        :param expected: description of the expected value.
        :return: ``Fault`` with the line number of the field.
        """
        return self.source_map.describe_fault(path, expected)


def check_choice(document, field, names):
    """Checks that a field holds one of the allowed names.

    :param document: ``Document``.
    :param field: name of the field.
    :param names: allowed names, in the order in which a fault lists them.
    :return: ``Success`` with the content of the document, or
        ``Failure(DocumentError)``.
    """
    if getattr(document.value, field) in names:
        return succeed(document.value)
    return fail(
        [document.describe_fault(field, f"expected one of: {', '.join(names)}")]
    )


def convert_value(value, schema):
    """Converts parsed YAML to a typed structure.

    :param value: mappings, lists and scalars.
    :param schema: target type.
    :return: instance of ``schema``.
    :raises msgspec.ValidationError: if the value does not match the type.
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


def _check_value(value, schema, path, source_map, faults):
    info = msgspec.inspect.type_info(schema)
    if isinstance(info, msgspec.inspect.StructType):
        _check_struct(value, schema, info, path, source_map, faults)
    elif _is_sequence(info) and isinstance(value, list):
        item_schema = _find_item_schema(schema)
        for index, item in enumerate(value):
            _check_value(item, item_schema, f"{path}[{index}]", source_map, faults)
    else:
        _check_conversion(value, schema, path, source_map, faults)


def _find_item_schema(schema):
    if typing.get_origin(schema) is typing.Annotated:
        schema = typing.get_args(schema)[0]
    return typing.get_args(schema)[0]


def _is_sequence(info):
    return isinstance(info, msgspec.inspect.ListType | msgspec.inspect.VarTupleType)


def _check_struct(value, schema, info, path, source_map, faults):
    if not isinstance(value, dict):
        faults.append(source_map.describe_fault(path, "expected a mapping"))
        return
    fields = {field.encode_name: field for field in info.fields}
    hints = typing.get_type_hints(schema, include_extras=True)
    prefix = f"{path}." if path else ""
    for name in sorted(set(map(str, value)) - set(fields)):
        known = ", ".join(fields)
        faults.append(
            source_map.describe_fault(prefix + name, f"expected one of: {known}")
        )
    fault_count = len(faults)
    for name, field in fields.items():
        if name in value:
            hint = hints[field.name]
            _check_value(value[name], hint, prefix + name, source_map, faults)
        elif field.required:
            faults.append(source_map.describe_fault(prefix + name, "expected a value"))
    if len(faults) == fault_count:
        known = {name: value[name] for name in fields if name in value}
        _check_conversion(known, schema, path, source_map, faults)


def _check_conversion(value, schema, path, source_map, faults):
    try:
        convert_value(value, schema)
    except msgspec.ValidationError as error:
        expected = str(error).replace("Expected", "expected", 1)
        faults.append(source_map.describe_fault(path, f"{expected} (found {value!r})"))


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

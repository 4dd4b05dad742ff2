"""Ways to spoil the head of a response, so that it isn't in the grammar any more."""

import enum

CONTROL_BYTES = ("\x00", "\x01", "\x0b", "\x1f", "\x7f")
BAD_LENGTHS = ("", "x", "-9", "+9", "9x", "9 9", "0x9", "9,8")
BAD_STATUSES = ("000", "099", "600", "999", "20", "2000", "2x0", "-20")
BLANKS = " \t"
LINE_END = "\r\n"


class Spoil(enum.Enum):
    """What is spoilt."""

    FOLDED = "a line that begins with a blank"
    NO_COLON = "a line without a colon"
    BLANK_IN_NAME = "a blank in the name of a field"
    CONTROL_IN_NAME = "a control byte in the name of a field"
    CONTROL_IN_VALUE = "a control byte in the value of a field"
    LENGTH = "the length"
    STATUS = "the status"
    LINE_FEED = "the end of a line"
    CARRIAGE_RETURN = "the end of a line, without its line feed"
    EARLY_END = "the end of the head, which comes too early"


def encode_head(spoil, lines, rng):
    """Encodes a head with one spoilt line.

    :param spoil: ``Spoil``.
    :param lines: texts of the status line and of the fields, at least one.
    :param rng: ``random.Random``.
    :return: bytes.
    """
    ends = [LINE_END] * len(lines)
    number = rng.randrange(1, len(lines))
    lines = list(lines)
    if spoil is Spoil.STATUS:
        version, _, reason = lines[0].split(" ", 2)
        lines[0] = " ".join([version, rng.choice(BAD_STATUSES), reason])
    elif spoil in _LINE_ENDS:
        ends[number] = rng.choice(_LINE_ENDS[spoil])
    elif spoil is Spoil.LENGTH:
        lines = [line for line in lines if not line.startswith("transfer-encoding")]
        ends = [LINE_END] * (len(lines) + 1)
        lines.append(f"content-length: {rng.choice(BAD_LENGTHS)}")
    else:
        name, _, value = lines[number].partition(":")
        lines[number] = _spoil_field(spoil, name, value, rng)
    pairs = zip(lines, ends, strict=True)
    return ("".join(line + end for line, end in pairs) + LINE_END).encode("latin-1")


_LINE_ENDS = {
    Spoil.LINE_FEED: ("\n", "\r\r\n"),
    Spoil.CARRIAGE_RETURN: ("\r",),
    Spoil.EARLY_END: ("\n\n", "\n\r\n"),
}


def _spoil_field(spoil, name, value, rng):
    middle = rng.randrange(1, len(name) + 1)
    control = rng.choice(CONTROL_BYTES)
    blank = rng.choice(BLANKS)
    return {
        Spoil.FOLDED: f"{blank}{name}:{value}",
        Spoil.NO_COLON: f"{name} {value}".replace(":", " "),
        Spoil.BLANK_IN_NAME: f"{name[:middle]} {name[middle:]}:{value}",
        Spoil.CONTROL_IN_NAME: f"{name[:middle]}{control}{name[middle:]}:{value}",
        Spoil.CONTROL_IN_VALUE: f"{name}:{value}{control}",
    }[spoil]

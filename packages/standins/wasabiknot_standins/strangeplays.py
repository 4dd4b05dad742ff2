"""Plays of strangers: what they consist of, and the smallest one that still fails."""

import enum
import random

import defopt
import msgspec

# Time at the begin and at the end of a play in which all behave as usual, in seconds.
START_S = 1.0
QUIET_S = 1.0
MAX_DURATION_S = 600.0
MAX_ENTRIES = 20
MAX_DRAWN_SEED = 1_000_000
MODULE = "wasabiknot_standins.strangers"


class Part(enum.Enum):
    """What a play may be without; all of it is drawn by the seed."""

    KILLS = "entries that are killed"
    PAUSES = "entries that are paused"
    STOPS = "entries that are stopped"
    RELOADS = "settings that are read again"
    CLOCKS = "clocks that jump"
    HERD = "many requests at once"
    CALLERS = "callers that send input without end"
    HARM = "requests with a harmful part of their prompts"
    LONG_BODIES = "long bodies"
    ENDLESS = "responses without end"
    SPOILT = "heads that can't be read"
    LATE_READS = "bodies that are read late"
    ENDS = "ends of connections"
    PACES = "bytes that come bit by bit"
    INTERIM_HEADS = "heads before that of a response"
    FIELDS = "odd and many header fields"
    CHUNKS = "odd chunks"
    FRAMINGS = "framings other than a length"


class Play(msgspec.Struct, frozen=True):
    """One play.

    :param seed: seed of all that is drawn.
    :param duration_s: time in seconds during which requests are sent.
    :param entry_count: number of entries.
    :param without: ``Part`` that it is without, in the order of their definition.
    """

    seed: int
    duration_s: float = 10.0
    entry_count: int = 2
    without: tuple[Part, ...] = ()

    def has(self, part):
        """Tells whether the play may have a part.

        :param part: ``Part``.
        """
        return part not in self.without

    def list_arguments(self):
        """Lists the arguments of the command line that plays it.

        :return: list of texts.
        """
        arguments = [str(self.seed), str(self.duration_s), str(self.entry_count)]
        if self.without:
            arguments += ["--without", *(part.name for part in self.without)]
        return arguments

    def format(self):
        """Formats the command that plays it.

        :return: text.
        """
        return " ".join(["python -m", MODULE, *self.list_arguments()])


class Command(msgspec.Struct, frozen=True):
    """What the command line asks for.

    :param play: ``Play``.
    :param shrinks: whether the play is shrunk if it fails.
    """

    play: Play
    shrinks: bool


def read_command(
    seed: int | None = None,
    duration_s: float = 10.0,
    entry_count: int = 2,
    /,
    *,
    without: list[Part] = (),
    shrinks: bool = False,
):
    """Play servers and callers that behave in ways drawn from a grammar.

    :param seed: seed; a random one if there is none
    :param duration_s: time of the load in seconds, over 2 and up to 600
    :param entry_count: number of entries, 1 to 20
    :param without: what is left out
    :param shrinks: if the play fails, search the smallest one that still does
    """
    if not START_S + QUIET_S < duration_s <= MAX_DURATION_S:
        raise ValueError(f"duration {duration_s} s: over 2, up to {MAX_DURATION_S:.0f}")
    if not 1 <= entry_count <= MAX_ENTRIES:
        raise ValueError(f"{entry_count} entries: 1 to {MAX_ENTRIES}")
    if seed is None:
        seed = random.randrange(MAX_DRAWN_SEED)
    ordered = tuple(part for part in Part if part in without)
    return Command(Play(seed, duration_s, entry_count, ordered), shrinks)


def read_arguments(arguments):
    """Reads the arguments of the command line.

    :param arguments: list of texts.
    :return: ``Command``.
    :raises ValueError: if a number is out of its bounds.
    :raises SystemExit: with code 2 and a line, if an argument has another form.
    """
    return defopt.run(read_command, argv=arguments, short={})


def shrink(play, fails):
    """Leaves out what a play that fails doesn't need for that.

    A part that is needed only beside another one stays until that one has gone, so
    parts are tried again until none can be left out any more.

    :param play: ``Play`` that fails.
    :param fails: function that plays a ``Play`` and tells whether it fails.
    :return: ``Play`` that fails; without any one part more, it doesn't.
    """
    smallest = None
    while smallest != play:
        smallest = play
        for part in Part:
            if play.has(part):
                play = _choose(play, _leave_out(play, part), fails)
        if play.entry_count > 1:
            fewer = msgspec.structs.replace(play, entry_count=play.entry_count - 1)
            play = _choose(play, fewer, fails)
    return play


def _choose(play, smaller, fails):
    return smaller if fails(smaller) else play


def _leave_out(play, part):
    without = tuple(item for item in Part if item is part or not play.has(item))
    return msgspec.structs.replace(play, without=without)

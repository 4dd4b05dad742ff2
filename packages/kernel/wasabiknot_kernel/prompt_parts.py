"""Parts of prompts that requests share."""

# Parts that a line of the log names.
MAX_LOGGED = 8
# Characters of an id that it quotes.
MAX_LOGGED_LENGTH = 32


def list_shared(arrival):
    """Lists the parts of a prompt that other requests may have as well.

    The last part belongs to the request or to its session alone.

    :param arrival: ``arrivals.Arrival``.
    :return: tuple of ``arrivals.PromptPart``.
    """
    return arrival.parts[:-1]


def describe(arrival):
    """Names the first shared parts of a prompt, for the log.

    :param arrival: ``arrivals.Arrival``.
    :return: ids, separated by commas; empty for none.
    """
    parts = list_shared(arrival)[:MAX_LOGGED]
    return ",".join(part.name[:MAX_LOGGED_LENGTH] for part in parts)

"""Learned speeds of backend servers."""

import msgspec

from wasabiknot_kernel import estimates

# Time to the first event of an engine of usual speed: a fixed part, and a part
# for each prompt token that must be read before it.
FIRST_MS = 60.0
PREFILL_MS_PER_TOKEN = 0.011
# Time between events of an engine of usual speed, with a batch half full.
EVENT_MS = 20.0
# Time of a request to a plain service before any was seen.
PLAIN_MS = 30.0
SAMPLE_WEIGHT = 0.15
# Longest and shortest factor that is believed; beyond that a sample shows a
# fault and not a speed.
MAX_FACTOR = 12.0
MIN_FACTOR = 0.1


class ServiceTimes(msgspec.Struct):
    """The speed of one backend server against the usual one.

    :param first_event_factor: factor of the time to the first event.
    :param event_interval_ms: milliseconds for each event of an answer.
    :param plain_ms: milliseconds of a whole plain request.
    """

    first_event_factor: estimates.MovingAverage
    event_interval_ms: estimates.MovingAverage
    plain_ms: estimates.MovingAverage


def create_service_times(
    first_event_factor=1.0, event_interval_ms=EVENT_MS, plain_ms=PLAIN_MS
):
    """Creates the speed of a backend server before anything was seen of it.

    :param first_event_factor: factor of the time to the first event.
    :param event_interval_ms: milliseconds for each event of an answer.
    :param plain_ms: milliseconds of a whole plain request.
    :return: ``ServiceTimes``.
    """
    return ServiceTimes(
        estimates.MovingAverage(first_event_factor, SAMPLE_WEIGHT),
        estimates.MovingAverage(event_interval_ms, SAMPLE_WEIGHT),
        estimates.MovingAverage(plain_ms, SAMPLE_WEIGHT),
    )


def predict_first_event_ms(tokens):
    """Predicts the time to the first event at usual speed.

    :param tokens: prompt tokens that are read before it.
    :return: milliseconds.
    """
    return FIRST_MS + PREFILL_MS_PER_TOKEN * tokens


def predict_total_ms(tokens, events):
    """Predicts the time of a whole answer at usual speed.

    :param tokens: prompt tokens that are read.
    :param events: events of the answer; 0 for plain requests.
    :return: milliseconds.
    """
    if not events:
        return PLAIN_MS
    return predict_first_event_ms(tokens) + EVENT_MS * events


def update_first_event_factor(service_times, tokens, first_ms):
    """Learns from the first event of a stream.

    :param service_times: ``ServiceTimes``.
    :param tokens: prompt tokens that were read before it.
    :param first_ms: time from sending to the first event.
    :return: the factor that was learned.
    """
    factor = first_ms / predict_first_event_ms(tokens)
    factor = min(max(factor, MIN_FACTOR), MAX_FACTOR)
    service_times.first_event_factor.add(factor)
    return factor

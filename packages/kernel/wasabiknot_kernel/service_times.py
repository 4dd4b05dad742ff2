"""Service times of backend servers, learned as moving averages.

A factor compares the time to the first event with that of a reference engine.
"""

import msgspec

from wasabiknot_kernel import estimates

# Time to the first event of the reference engine: a fixed part, and a part for each
# prompt token that is read before it.
FIRST_EVENT_BASE_MS = 60.0
PREFILL_MS_PER_TOKEN = 0.011
# Interval between events of the reference engine with half of its slots in use.
EVENT_INTERVAL_MS = 20.0
# Assumed duration of a request to a plain service before the first sample.
DEFAULT_PLAIN_MS = 30.0
SAMPLE_WEIGHT = 0.15
# Bounds on a sample of the factor. A sample beyond them is due to a fault and says
# nothing about the engine's speed.
MAX_FACTOR = 12.0
# Samples from which an average says how fast a server is.
MIN_SAMPLES = 3
MIN_FACTOR = 0.1


class ServiceTimes(msgspec.Struct):
    """Moving averages of the service times of one backend server.

    :param first_event_factor: time to the first event, as a multiple of that of the
        reference engine.
    :param event_interval_ms: milliseconds between two events of a stream.
    :param plain_ms: duration of a plain request, in milliseconds.
    """

    first_event_factor: estimates.MovingAverage
    event_interval_ms: estimates.MovingAverage
    plain_ms: estimates.MovingAverage

    @property
    def is_measured(self):
        """Whether there are enough samples of the time to a first event or response."""
        count = max(self.first_event_factor.count, self.plain_ms.count)
        return count >= MIN_SAMPLES


def create_service_times(
    first_event_factor=1.0,
    event_interval_ms=EVENT_INTERVAL_MS,
    plain_ms=DEFAULT_PLAIN_MS,
):
    """Creates the service times of a backend server without samples.

    :param first_event_factor: initial factor of the time to the first event.
    :param event_interval_ms: initial milliseconds between two events.
    :param plain_ms: initial milliseconds of a plain request.
    :return: ``ServiceTimes``.
    """
    return ServiceTimes(
        estimates.MovingAverage(first_event_factor, SAMPLE_WEIGHT),
        estimates.MovingAverage(event_interval_ms, SAMPLE_WEIGHT),
        estimates.MovingAverage(plain_ms, SAMPLE_WEIGHT),
    )


def predict_first_event_ms(tokens):
    """Predicts the time to the first event of the reference engine.

    :param tokens: prompt tokens that are read before the event.
    :return: milliseconds.
    """
    return FIRST_EVENT_BASE_MS + PREFILL_MS_PER_TOKEN * tokens


def predict_total_ms(tokens, event_count):
    """Predicts the duration of a complete response at reference speed.

    :param tokens: prompt tokens that are read.
    :param event_count: events of the response; 0 for plain requests.
    :return: milliseconds.
    """
    if not event_count:
        return DEFAULT_PLAIN_MS
    return predict_first_event_ms(tokens) + EVENT_INTERVAL_MS * event_count


def update_first_event_factor(service_times, tokens, first_event_ms):
    """Adds a sample of the time to the first event.

    :param service_times: ``ServiceTimes``.
    :param tokens: prompt tokens that were read before the event.
    :param first_event_ms: milliseconds from the send to the first event.
    :return: the factor of this sample.
    """
    factor = first_event_ms / predict_first_event_ms(tokens)
    factor = min(max(factor, MIN_FACTOR), MAX_FACTOR)
    service_times.first_event_factor.add(factor)
    return factor

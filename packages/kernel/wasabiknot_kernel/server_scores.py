"""Scores of backend servers: the expected time to the first event, plus penalties."""

import heapq

import xxhash

from wasabiknot_kernel import service_times

# Fraction of the prefill that is saved at an engine that caches the last prompt part.
CACHED_PREFILL_SAVING = 0.9
# Fraction of the prefill expected to be saved at the engine that all entries prefer
# for the last part, if this entry has not sent the part there. It is small because
# only 1% of the prompt tokens that engines read come from the cache.
PREFERRED_PREFILL_SAVING = 0.05
# Time for which an engine is assumed to cache a prompt part that it has read.
CACHE_TTL_S = 20.0
# Score penalty of a backend server at which every request fails; lower failure rates
# are charged in proportion. It is a fraction of the time that callers wait.
FAILURE_COST_MS = 600.0
# Score penalty of a backend server in another failure domain. Traffic between them is
# slower and dearer, so servers of about the same speed are chosen within the domain.
OTHER_DOMAIN_COST_MS = 8.0
# Weight of the time after the first event in the score. The request occupies a slot
# for that time, and long responses belong on fast engines.
REMAINING_TIME_WEIGHT = 0.05
# Factor by which a response may exceed its estimated length.
OUTPUT_LENGTH_MARGIN = 1.5
# Standard deviations that are added to the mean pace. Responses that miss their
# objective come mostly from machines whose pace varies much.
PACE_DEVIATIONS = 1.0
# Number of servers that are drawn at random, and of which the best is chosen, if they
# state their pace: entries that have read the same paces would otherwise all choose the
# same server. It is smaller for plain servers, as all entries read their paces; only
# the entries of a group read those of its engines.
ENGINE_SAMPLE_SIZE = 3
PLAIN_SAMPLE_SIZE = 2


class Scorer:
    """Computes the scores of backend servers for one request.

    :param ticket: ``arrivals.Ticket``.
    :param domain: failure domain of this entry; empty if it doesn't matter.
    :param event_tokens: output tokens per stream event.
    :param preferred: id of the engine that all entries prefer, or ``None``.
    :param now_s: current time in seconds.
    """

    def __init__(self, ticket, domain, event_tokens, preferred, now_s):
        self._ticket = ticket
        self._domain = domain
        self._event_count = ticket.estimate_output_tokens() / event_tokens
        self._preferred = preferred
        self._now_s = now_s
        self._scores_ms = {}

    def __call__(self, server):
        """Returns the score of a backend server.

        :param server: ``servers.Server``.
        :return: expected milliseconds to the first event, plus penalties.
        """
        score_ms = self._scores_ms.get(server.server_id)
        if score_ms is None:
            score_ms = self._compute_ms(server)
            self._scores_ms[server.server_id] = score_ms
        return score_ms

    def _compute_ms(self, server):
        penalty_ms = server.failure_rate * FAILURE_COST_MS
        if self._domain and server.registration.domain != self._domain:
            penalty_ms += OTHER_DOMAIN_COST_MS
        pace = server.pace.estimate(self._now_s)
        pace += PACE_DEVIATIONS * server.pace.estimate_deviation(self._now_s)
        if server.is_engine:
            return penalty_ms + self._compute_engine_ms(server, pace)
        return penalty_ms + self._compute_plain_ms(server, pace)

    def _compute_plain_ms(self, server, pace):
        load = len(server.sends) + server.estimate_other_load(self._now_s)
        queue_factor = 1 + load / max(1, server.slots)
        return server.service_times.plain_ms.value * pace * queue_factor

    def _compute_engine_ms(self, server, pace):
        now_s = self._now_s
        own_tokens = estimate_prefill_tokens(
            self._ticket, server, self._preferred, now_s
        )
        queued_tokens = server.count_pending_prefill() + own_tokens
        factor = server.service_times.first_event_factor.value
        running = server.count_running() + server.estimate_other_load(now_s)
        utilization = running / max(1, server.slots)
        first_ms = (
            service_times.predict_first_event_ms(queued_tokens)
            * factor
            * pace
            * (1 + 0.5 * utilization)
        )
        interval_ms = server.service_times.event_interval_ms.value * pace
        remaining_ms = interval_ms * self._event_count
        time_left_ms = (self._ticket.deadline_s - now_s) * 1_000
        late_ms = max(
            0.0, first_ms + OUTPUT_LENGTH_MARGIN * remaining_ms - time_left_ms
        )
        return first_ms + REMAINING_TIME_WEIGHT * remaining_ms + late_ms


def estimate_prefill_tokens(ticket, server, preferred, now_s):
    """Estimates the prompt tokens that an engine has to read.

    :param ticket: ``arrivals.Ticket``.
    :param server: ``servers.Server``.
    :param preferred: id of the engine that all entries prefer, or ``None``.
    :param now_s: current time in seconds.
    :return: tokens that it has not cached.
    """
    parts = ticket.arrival.parts
    tokens = ticket.prompt_tokens
    if not parts:
        return tokens
    cached_at_s = server.cached_parts.get(parts[-1].name)
    if cached_at_s is not None and now_s - cached_at_s < CACHE_TTL_S:
        return tokens * (1 - CACHED_PREFILL_SAVING)
    if server.server_id == preferred:
        return tokens * (1 - PREFERRED_PREFILL_SAVING)
    return tokens


def find_preferred(ticket, engines):
    """Finds the engine that all entries prefer for the last prompt part.

    Rendezvous hashing gives the same result in every entry.

    :param ticket: ``arrivals.Ticket``.
    :param engines: iterable of ``servers.Server``.
    :return: id of the engine; ``None`` without prompt parts or engines.
    """
    parts = ticket.arrival.parts
    if not parts:
        return None
    name = parts[-1].name
    return max(
        (item.server_id for item in engines if not item.is_retired),
        key=lambda server_id: xxhash.xxh64_intdigest(f"{name}/{server_id}".encode()),
        default=None,
    )


def sample(candidates, scorer, rng, now_s):
    """Draws the servers among which the best is chosen, if they state their pace.

    The probability of each draw is inversely proportional to the server's score.

    :param candidates: list of ``servers.Server``.
    :param scorer: ``Scorer``.
    :param rng: ``random.Random``.
    :param now_s: current time in seconds.
    :return: list of ``servers.Server``; all of them if none states a pace.
    """
    if len(candidates) <= PLAIN_SAMPLE_SIZE:
        return candidates
    if not any(item.pace.is_known(now_s) for item in candidates):
        return candidates
    size = ENGINE_SAMPLE_SIZE if candidates[0].is_engine else PLAIN_SAMPLE_SIZE

    # The smallest of exponential variables with these means is such a draw.
    def draw(server):
        return rng.expovariate(1.0) * scorer(server)

    return heapq.nsmallest(size, candidates, key=draw)

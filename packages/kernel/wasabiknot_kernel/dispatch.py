"""Chooses backend servers for the requests of a service, and holds the rest.

Engines admit requests as they come, so each one is kept to the number that it
runs at once, over all entries; the rest waits here, most urgent first.
"""

import collections
import math

import msgspec
import xxhash

from wasabiknot_kernel import (
    arrivals,
    cells,
    choosers,
    estimates,
    exceptions,
    outcomes,
    paces,
    servers,
)

# Part of a prompt's reading time that is saved where its last part is kept.
KEPT_SAVING = 0.9
# Saving expected at the backend server that all entries prefer for a last part
# that this entry has not seen there: on the users' days one part in a hundred of
# what engines read had been kept.
PREFERRED_SAVING = 0.05
# Age up to which a prompt part is taken to be kept by the engine that read it.
KEPT_S = 20.0
MAX_KEPT = 512
# Weight of a failure, as a part of the time that a caller is ready to wait.
FAILURE_COST_MS = 600.0
# Weight of the time behind the first event: a slot is held for it, and long
# answers belong on fast engines.
REST_WEIGHT = 0.05
# Events of a stream from one look at its speed to the next.
PROGRESS_EVENTS = 4
# Factor by which callers' estimates of an answer's length may fall short.
HINT_MARGIN = 1.5
# Margin on the time to the first event, so that those that go first are in time.
FIRST_MARGIN = 2.0
USUAL_WEIGHT = 0.02
# Part of an objective up to which the time to the first event is reckoned with:
# the longest prompts would count as late from the start.
FIRST_PART = 0.5
# Longest time of a plain request that is taken for its speed.
LONGEST_PLAIN_MS = 2_000.0
# Part of its slots that a backend server of another group must have free, and
# the number of such ones that are compared.
AMPLE_PART = 0.3
FOREIGN_SAMPLE = 3
# Requests that a plain backend server is given for each of its slots.
PLAIN_DEPTH = 1.0
# Part of its time that a request may wait here before it is sent. Callers that
# wait longer are better off with a time to return.
MAX_WAIT_PART = 0.3
# Callers give a stream up that brings no event for the longest of these: a fixed
# time, a multiple of its objective, and a multiple of its longest pause.
PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4
PATIENCE_PAUSES = 8
# Part of that patience that may be spent waiting here.
MAX_PATIENCE_PART = 0.5
# Span over which the requests that were sent are counted, to tell how fast the
# queue moves.
RATE_SPAN_S = 1.5
# Time between two requests that leave the queue, while that is not known.
FIRST_GAP_S = 0.05
# Shortest and longest time after which a refused caller is asked to return.
MIN_RETURN_S = 0.25
MAX_RETURN_S = 4.0


def find_longest_wait_s(ticket):
    """Finds how long a request may wait before it is sent.

    :param ticket: ``arrivals.Ticket``.
    :return: seconds since its arrival.
    """
    route = ticket.route
    longest_s = MAX_WAIT_PART * (ticket.deadline_s - ticket.arrived_s)
    if not route.is_stream:
        return longest_s
    patience_s = max(
        PATIENCE_S,
        PATIENCE_OBJECTIVES * route.objective_ms / 1_000,
        PATIENCE_PAUSES * route.gap_ms / 1_000,
    )
    return min(longest_s, MAX_PATIENCE_PART * patience_s)


class Placed(msgspec.Struct, frozen=True):
    """A request that is sent to a backend server now.

    :param ticket: the request.
    :param server: ``servers.Server``.
    :param waited_s: time that it waited here.
    :param score_ms: expected time to its first event.
    """

    ticket: arrivals.Ticket
    server: servers.Server
    waited_s: float
    score_ms: float


class Refused(msgspec.Struct, frozen=True):
    """A request that is refused without having been sent.

    :param ticket: the request.
    :param kind: kind of error.
    :param return_s: time after which it is likely to find room.
    :param reason: short text for the log.
    """

    ticket: arrivals.Ticket
    kind: exceptions.ErrorKind
    return_s: float
    reason: str


class Dispatcher:
    """The backend servers of one service, and the requests that wait for them.

    :param service: service name.
    :param rng: random numbers.
    :param chooser: ``choosers.Chooser``; the product's own if it is left out.
    """

    def __init__(self, service, rng, chooser=None):
        self.service = service
        self.is_engine = False
        self.servers = {}
        # Counts the changes of the backend servers.
        self.registered = 0
        # Selects by version: a function of request, backend servers and time.
        self.select = None
        self._rng = rng
        self._chooser = chooser or choosers.EarliestEvent()
        self._waiting = {}
        self._sent_s = collections.deque()
        # Part of each backend server's slots that this entry may take without
        # hearing of the other entries.
        self.share = 1.0
        # Backend servers that this entry's group uses first; ``None`` for all.
        self.cell = None
        # Entries of the group that wait for slots of this service, this one
        # included, as a sorted tuple.
        self.contenders = ()
        self.name = ""
        self.shared_by = None
        # Answer tokens that one event of a stream holds.
        self.event_tokens = 1
        # Over all backend servers: the factor of an engine's time to the first
        # event, or the milliseconds of a plain request.
        self._usual_first = estimates.Average(1.0, USUAL_WEIGHT)

    def set_engine(self, engine):
        """Sets what the model engines of the service have in common.

        :param engine: ``routes.Engine``; ``None`` for a plain service.
        """
        self.is_engine = engine is not None
        self.event_tokens = engine.event_tokens if engine is not None else 1
        for server in self.servers.values():
            server.is_engine = self.is_engine

    # Membership

    def register(self, registration):
        """Takes the registration of a backend server.

        :param registration: ``registrations.Registration``.
        """
        self.registered += 1
        server = self.servers.get(registration.server_id)
        if server is None or server.registration.born_ms != registration.born_ms:
            self.servers[registration.server_id] = servers.Server(
                registration, self.is_engine, self._create_pace()
            )
            return
        server.registration = registration
        server.is_gone = False

    def remove(self, server_id):
        """Removes a backend server; what it still answers is awaited.

        :param server_id: its id.
        """
        server = self.servers.get(server_id)
        if server is None:
            return
        self.registered += 1
        server.is_gone = True
        if not server.sends:
            del self.servers[server_id]

    def _create_pace(self):
        known = [
            item.pace for item in self.servers.values() if item.pace.first.count > 2
        ]
        if not known:
            return paces.create_pace()
        middle = sorted(known, key=lambda pace: pace.first.value)[len(known) // 2]
        return paces.create_pace(
            middle.first.value, middle.event_ms.value, middle.plain_ms.value
        )

    # Waiting

    def __len__(self):
        return len(self._waiting)

    def list_waiting(self):
        """Lists the requests that wait.

        :return: list of ``arrivals.Ticket``.
        """
        return list(self._waiting.values())

    def submit(self, ticket, now_s):
        """Takes a request.

        :param ticket: ``arrivals.Ticket``.
        :param now_s: present time.
        :return: list of ``Placed`` and ``Refused``.
        """
        refused = self._find_refusal(ticket, now_s)
        if refused is not None:
            return [refused]
        self._waiting[id(ticket)] = ticket
        return self.pump(now_s)

    def withdraw(self, ticket):
        """Takes a waiting request back.

        :param ticket: ``arrivals.Ticket``.
        :return: whether it was waiting.
        """
        return self._waiting.pop(id(ticket), None) is not None

    def _find_refusal(self, ticket, now_s):
        if not any(not item.is_leaving for item in self.servers.values()):
            return self._refuse(ticket, exceptions.ErrorKind.NO_WORKER, "no server")
        ahead = self._count_ahead(ticket, now_s)
        if not ahead:
            return None
        wait_s = ahead * self._estimate_gap_s(now_s)
        if wait_s > find_longest_wait_s(ticket):
            reason = f"{ahead} wait, {wait_s:.2f} s"
            kind = exceptions.ErrorKind.QUEUE_FULL
            return self._refuse(ticket, kind, reason, now_s)
        return None

    def _count_ahead(self, ticket, now_s):
        place = self._find_place(ticket, now_s)
        return sum(
            1
            for item in self._waiting.values()
            if self._find_place(item, now_s) < place
        )

    def _find_place(self, ticket, now_s):
        if not self._chooser.keeps_ranks:
            return (ticket.arrived_s,)
        # Within a rank those that can still be in time go first: the others have
        # lost most of their worth, and would make more of them late. Customers'
        # ranks go before those of routes, which settle what is left open.
        objective_s = ticket.route.objective_ms / 1_000
        first_s = min(self._estimate_first_s(ticket), FIRST_PART * objective_s)
        is_late = now_s + first_s > ticket.arrived_s + objective_s
        return (ticket.rank, is_late, ticket.route.rank, ticket.arrived_s)

    def _estimate_gap_s(self, now_s):
        while self._sent_s and self._sent_s[0] < now_s - RATE_SPAN_S:
            self._sent_s.popleft()
        return RATE_SPAN_S / max(1, len(self._sent_s))

    def _refuse(self, ticket, kind, reason, now_s=None):
        gap_s = FIRST_GAP_S if now_s is None else self._estimate_gap_s(now_s)
        wait_s = (1 + len(self._waiting)) * gap_s
        wait_s = min(max(wait_s, MIN_RETURN_S), MAX_RETURN_S)
        return_s = wait_s * self._rng.uniform(0.75, 1.5)
        return Refused(ticket, kind, return_s, reason)

    # Placing

    def pump(self, now_s):
        """Sends what finds room, and refuses what can no longer be in time.

        :param now_s: present time.
        :return: list of ``Placed`` and ``Refused``.
        """
        done = []
        waiting = sorted(
            self._waiting.values(), key=lambda item: self._find_place(item, now_s)
        )
        for ticket in waiting:
            if not self._has_room():
                break
            decision = self._decide(ticket, now_s)
            if decision is not None:
                self.withdraw(ticket)
                done.append(decision)
        return done

    def expire(self, now_s):
        """Refuses the requests that have waited for too long.

        :param now_s: present time.
        :return: list of ``Refused``.
        """
        done = []
        for ticket in self.list_waiting():
            waited_s = now_s - ticket.arrived_s
            if waited_s > find_longest_wait_s(ticket):
                self.withdraw(ticket)
                kind = exceptions.ErrorKind.QUEUE_FULL
                reason = f"waited {waited_s:.2f} s"
                done.append(self._refuse(ticket, kind, reason, now_s))
        return done

    def _estimate_first_s(self, ticket):
        if not self.is_engine:
            return self._usual_first.value / 1_000
        usual_ms = paces.predict_first_ms(ticket.prompt_tokens)
        return FIRST_MARGIN * self._usual_first.value * usual_ms / 1_000

    def _decide(self, ticket, now_s):
        chosen = self.choose(ticket, now_s)
        if chosen is None:
            return None
        server, score_ms = chosen
        self.start(ticket, server, now_s, score_ms)
        return Placed(ticket, server, now_s - ticket.arrived_s, score_ms)

    def _has_room(self):
        return any(
            not item.is_leaving and self._count_free(item) > 0
            for item in self.servers.values()
        )

    def _is_open(self, server, now_s):
        if server.is_leaving or server.is_avoided(now_s):
            return False
        return self._count_free(server) > 0

    def _count_free(self, server):
        if not self._chooser.keeps_slots:
            return server.slots
        if not self.is_engine:
            return PLAIN_DEPTH * server.slots - len(server.sends)
        own = len(server.sends)
        left = math.ceil(self.share * server.slots) - own
        return min(left, server.slots - server.count_running(), self._claim(server))

    def _claim(self, server):
        # What this entry has given back since its last digest is still its own;
        # other free slots go to one of the entries that wait.
        own = len(server.sends)
        others = server.count_running() - own
        public = server.slots - server.announced - others
        if len(self.contenders) <= 1:
            won = public
        else:
            won = sum(
                cells.find_winner(server.server_id, slot, self.contenders) == self.name
                for slot in range(max(0, public))
            )
        return server.announced + won - own

    def choose(self, ticket, now_s):
        """Chooses the backend server with the earliest expected first event.

        :param ticket: ``arrivals.Ticket``.
        :param now_s: present time.
        :return: pair of ``servers.Server`` and milliseconds, or ``None``.
        """
        usable = self._list_usable(ticket, now_s)
        found = [item for item in usable if self._is_open(item, now_s)]
        if not found:
            # With all of them in doubt, a try is better than a refusal.
            doubted = [item for item in usable if self._count_free(item) > 0]
            if len(doubted) < len(usable) or not doubted:
                return None
            found = doubted
        found = self._keep_to_cell(found)
        if not found:
            return None
        preferred = self.find_preferred(ticket)

        def score(server):
            return self._score_ms(ticket, server, preferred, now_s)

        chosen = self._chooser.choose(found, score, self._rng)
        return chosen, score(chosen)

    def _list_usable(self, ticket, now_s):
        staying = [item for item in self.servers.values() if not item.is_leaving]
        if self.select is not None:
            staying = self.select(ticket, staying, now_s)
        fresh = [item for item in staying if item.server_id not in ticket.tried]
        return fresh or staying

    def _keep_to_cell(self, found):
        if not self.cell or not self.is_engine:
            return found
        own = [item for item in found if item.server_id in self.cell]
        if own:
            return own
        ample = [
            item for item in found if self._count_free(item) >= AMPLE_PART * item.slots
        ]
        # What is known of them is older, and all groups know the same.
        return self._rng.sample(ample, min(len(ample), FOREIGN_SAMPLE))

    def find_preferred(self, ticket):
        """Finds the backend server that all entries prefer for a last part.

        :param ticket: ``arrivals.Ticket``.
        :return: its id, or ``None`` for a request without parts.
        """
        parts = ticket.arrival.parts
        if not parts or not self.is_engine:
            return None
        name = parts[-1].name
        return max(
            (item.server_id for item in self.servers.values() if not item.is_leaving),
            key=lambda server_id: xxhash.xxh64_intdigest(
                f"{name}/{server_id}".encode()
            ),
            default=None,
        )

    def _score_ms(self, ticket, server, preferred, now_s):
        failure_ms = server.failure_rate * FAILURE_COST_MS
        if not self.is_engine:
            turns = 1 + len(server.sends) / max(1, server.slots)
            return server.pace.plain_ms.value * turns + failure_ms
        own = self._estimate_reading(ticket, server, preferred, now_s)
        ahead = server.count_unread() + own
        factor = server.pace.first.value
        busy = server.count_running() / max(1, server.slots)
        first_ms = paces.predict_first_ms(ahead) * factor * (1 + 0.5 * busy)
        events = ticket.estimate_output() / self.event_tokens
        rest_ms = server.pace.event_ms.value * events
        left_ms = (ticket.deadline_s - now_s) * 1_000
        late_ms = max(0.0, first_ms + HINT_MARGIN * rest_ms - left_ms)
        return first_ms + REST_WEIGHT * rest_ms + late_ms + failure_ms

    def _estimate_reading(self, ticket, server, preferred, now_s):
        parts = ticket.arrival.parts
        tokens = ticket.prompt_tokens
        if not parts:
            return tokens
        kept_s = server.kept.get(parts[-1].name)
        if kept_s is not None and now_s - kept_s < KEPT_S:
            return tokens * (1 - KEPT_SAVING)
        if server.server_id == preferred:
            return tokens * (1 - PREFERRED_SAVING)
        return tokens

    # Progress

    def start(self, ticket, server, now_s, expected_ms):
        """Notes that a request is sent to a backend server.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param now_s: present time.
        :param expected_ms: expected time to the first event.
        """
        reading = self._estimate_reading(ticket, server, None, now_s)
        server.sends[ticket.request_id] = servers.Send(
            ticket=ticket,
            sent_s=now_s,
            ahead_tokens=server.count_unread() + reading,
            prompt_tokens=reading,
            expected_s=expected_ms / 1_000,
        )
        ticket.tried.add(server.server_id)
        self._sent_s.append(now_s)

    def note_first(self, ticket, server, now_s):
        """Notes the first event of a stream.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param now_s: present time.
        """
        send = server.sends.get(ticket.request_id)
        if send is None or send.first_s is not None:
            return
        send.first_s = now_s
        if self.is_engine:
            first_ms = (now_s - send.sent_s) * 1_000
            factor = paces.learn_first(server.pace, send.ahead_tokens, first_ms)
            self._usual_first.add(factor)
            self._note_kept(ticket, server, now_s)

    def note_progress(self, ticket, server, events, now_s):
        """Notes that a stream goes on.

        A slow backend server is known by its streams long before they end.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param events: events that came of this send.
        :param now_s: present time.
        """
        send = server.sends.get(ticket.request_id)
        if send is None or send.first_s is None or events < 2:
            return
        if events % PROGRESS_EVENTS == 0:
            server.pace.event_ms.add((now_s - send.first_s) * 1_000 / (events - 1))

    def _note_kept(self, ticket, server, now_s):
        parts = ticket.arrival.parts
        if not parts:
            return
        server.kept.pop(parts[-1].name, None)
        server.kept[parts[-1].name] = now_s
        if len(server.kept) > MAX_KEPT:
            del server.kept[next(iter(server.kept))]

    def finish(self, ticket, server, outcome, now_s):
        """Notes the end of a send.

        :param ticket: ``arrivals.Ticket``.
        :param server: ``servers.Server``.
        :param outcome: ``outcomes.Outcome``.
        :param now_s: present time.
        """
        send = server.sends.pop(ticket.request_id, None)
        if server.is_gone and not server.sends:
            self.servers.pop(server.server_id, None)
        if send is None:
            return
        held_s = now_s - send.sent_s
        if outcome is outcomes.Outcome.WHOLE:
            self._learn_whole(server, held_s)
        elif outcome is outcomes.Outcome.REJECTED:
            server.note_rejection(now_s)
        elif outcome is not outcomes.Outcome.CANCELLED:
            is_dark = outcome in (outcomes.Outcome.UNREACHED, outcomes.Outcome.SILENT)
            server.record_failure(now_s, is_dark)

    def _learn_whole(self, server, held_s):
        server.note_success()
        if not self.is_engine:
            held_ms = min(held_s * 1_000, LONGEST_PLAIN_MS)
            server.pace.plain_ms.add(held_ms)
            self._usual_first.add(held_ms)

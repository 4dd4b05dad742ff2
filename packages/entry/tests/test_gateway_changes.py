import gatewaycases
from hypothesis import given, settings, strategies

from wasabiknot_kernel import routes

NAMES = (
    b"x-wasabiknot-deadline-ms",
    b"x-wasabiknot-token-count",
    b"x-wasabiknot-length-hint",
    b"x-wasabiknot-prefix-hash",
    b"last-event-id",
    b"host",
    b"connection",
    b"content-type",
    b"cookie",
    b"te",
    b"x-odd",
)
METHODS = (b"GET", b"POST", b"PUT", b"CONNECT", b"OPTIONS", b"get", b"!", b"TRACE")
ODD_VALUES = (
    *(b"nan", b"inf", b"-inf", b"-1", b"0", b"1e400", b"1e300", b"1_0", b""),
    *(b"9" * 400, b"-5,3", b"12," + b"9" * 400, b"a:\xb2", b"a\x0cb", b"\x7f", b"300"),
    *(b"close", b"multipart/form-data; boundary=x", b"\xff\xfe"),
)
ODD_TARGETS = (b"", b"?", b"?a=%zz&b;c", b"#x", b"%", b"\x7f", b"\xb0", b"//")


def list_bytes(excluded):
    return strategies.binary(max_size=12).map(
        lambda value: value.translate(None, excluded).strip(b" \t")
    )


VALUES = strategies.sampled_from(ODD_VALUES) | list_bytes(b"\x00\r\n")
TARGETS = strategies.sampled_from(ODD_TARGETS) | strategies.binary(max_size=6).map(
    lambda value: bytes(item for item in value if 32 < item <= 176)
)
REQUESTS = strategies.tuples(
    strategies.just("request"),
    strategies.sampled_from(METHODS),
    TARGETS,
    strategies.lists(
        strategies.tuples(strategies.sampled_from(NAMES), VALUES), max_size=3
    ),
)
ENGINE = routes.Engine(slots=4, kv_tokens=100_000, event_tokens=6)
SERVICES = (("desk", "pool"), ("pool",), ())
SHARES = (
    (("desk", 1.0),),
    (("pool", 1.0),),
    (("desk", 0.0), ("pool", 0.0)),
    (("gone", 3.0), ("desk", 1.0)),
)
CONFIGURATIONS = strategies.tuples(
    strategies.just("configuration"),
    strategies.sampled_from(SERVICES),
    strategies.lists(strategies.sampled_from(SHARES), min_size=1, max_size=2),
    strategies.sampled_from(list(routes.RetryRule)),
    strategies.booleans(),
    strategies.sampled_from((0.0, 400.0)),
    strategies.sampled_from((0, 1, 100)),
    strategies.booleans(),
)
PLAIN_REQUESTS = strategies.just(("request", b"POST", b"x", ()))
EVENTS = strategies.tuples(
    strategies.sampled_from(
        ("wait", "accept", "respond", "lose", "remove", "register")
    ),
    strategies.integers(0, 3),
)
STEPS = strategies.one_of(
    *(PLAIN_REQUESTS, PLAIN_REQUESTS, REQUESTS, CONFIGURATIONS, EVENTS, EVENTS)
)


class ChangeTests(gatewaycases.GatewayCase):
    """Odd requests beside changes of the configuration and of servers."""

    def start(self):
        self.setUp()
        self.version = 1
        self.channels = []
        self.connections = []
        self.register("w2", "pool", slots=1)

    def play_request(self, method, target, fields):
        number = len(self.channels)
        extra = [name + b": " + value for name, value in fields]
        extra.append(b"content-length: 2")
        head = gatewaycases.build_head(f"q{number}", method, b"/draft/" + target, extra)
        self.channels.append(self.connect(head + b"ab"))

    def play_configuration(
        self, services, shares, rule, is_engine, rate, max_connections, has_customers
    ):
        self.version += 1
        built = [
            gatewaycases.build_route(
                name=f"r{number}",
                prefix="/draft/" if number == 0 else f"/r{number}/",
                retry_rule=rule,
                attempts=2,
                is_resumable=rule is routes.RetryRule.STREAM,
                is_public=not has_customers,
                shares=tuple(routes.TrafficShare(*item) for item in items),
            )
            for number, items in enumerate(shares)
        ]
        self.configure(
            gatewaycases.build_configuration(
                self.version,
                routes=tuple(built),
                services=tuple(
                    routes.Service(
                        name, "/", max_connections, ENGINE if is_engine else None
                    )
                    for name in services
                ),
                customers=(routes.Customer("graz", ("k1",), 0, rate, rate, 200),)
                if has_customers
                else (),
            )
        )

    def play_wait(self, number):
        self.advance(0.2 * number)

    def pop_connection(self, number):
        opened = [item for item in self.connections if not item.transport.is_aborted]
        if not opened:
            return None
        connection = opened[number % len(opened)]
        self.connections.remove(connection)
        return connection

    def play_accept(self, number):
        for index, client in enumerate(self.reactor.tcpClients):
            if not client[2]._onConnection.called:
                self.connections.append(self.accept(index))

    def play_respond(self, number):
        self.play_accept(number)
        connection = self.pop_connection(number)
        if connection is None:
            return
        self.connections.append(connection)
        sent = connection.transport.value()
        connection.transport.clear()
        _, _, rest = sent.rpartition(b"x-wasabiknot-attempt-id: ")
        if rest:
            self.respond(connection, rest.split(b"\r\n")[0].decode())

    def play_lose(self, number):
        connection = self.pop_connection(number)
        if connection is not None:
            connection.connectionLost(gatewaycases.CLOSED)

    def play_remove(self, number):
        now_s = self.reactor.seconds()
        self.deployment.store_reads.record_read(now_s)
        self.deployment.apply_removal(f"w{1 + number % 2}", now_s)

    def play_register(self, number):
        service = ("desk", "pool")[number % 2]
        self.register(f"w{1 + number // 2}", service, slots=number)

    def count_sends(self):
        return sum(
            len(server.sends)
            for dispatcher in self.deployment.list_dispatchers()
            for server in dispatcher.servers.values()
        )

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(strategies.lists(STEPS, min_size=1, max_size=25))
    def test_request_has_not_exactly_one_complete_answer(self, steps):
        self.start()
        for name, *arguments in steps:
            getattr(self, f"play_{name}")(*arguments)
        self.advance(11.0)
        self.assertEqual(len(self.gateway), 0)
        self.assertEqual(self.count_sends(), 0)
        for channel in self.channels:
            self.read_answer(channel)

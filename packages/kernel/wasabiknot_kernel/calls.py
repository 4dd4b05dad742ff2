"""Handles requests as they arrive: keys, quarantine, admission."""

from wasabiknot_kernel import (
    admission,
    effects,
    exceptions,
    fold,
    handlers,
    homes,
    keys,
    messages,
    records,
    requests,
    scheduling,
    services,
)

Kind = exceptions.ErrorKind
Ran = exceptions.Ran


@handlers.handle.register
def _(message: messages.CallReceived, node):
    if not node.is_ready:
        node.refuse_message(message, Kind.NOT_READY, _unknown_if_keyed(message))
        return
    service = node.configuration.find_service(message.service)
    call = service.find_call(message.call) if service is not None else None
    if call is None:
        node.refuse_message(message, Kind.UNKNOWN_CALL, Ran.NO)
        return
    rank = 0
    if node.placement.uses_tiers:
        rank = node.configuration.deployment.find_rank(call.tier)
    request = requests.Request(message, call, rank, node.now_ms)
    request.expected_tokens = _estimate_tokens(node, message)
    if request.is_keyed:
        _take_keyed(node, request)
        return
    kind = _find_refusal(node, message)
    if kind is not None:
        node.refuse_message(message, kind, Ran.NO)
        return
    node.requests[request.request_id] = request
    enqueue(node, request)


def _unknown_if_keyed(message):
    return Ran.NO if message.key is None else Ran.UNKNOWN


def _estimate_tokens(node, message):
    if not message.max_tokens:
        return 0.0
    expected = node.lengths.estimate(message.service, message.call, message.customer)
    return min(expected, float(message.max_tokens))


def _find_refusal(node, message):
    # A stopping entry stays the home of its keys until its peers have taken over.
    if node.is_stopping and not message.forwarded:
        return Kind.STOPPING
    if node.is_quarantined(message.content):
        return Kind.QUARANTINED
    return None


def enqueue(node, request):
    """Puts a request into its queue or gives it a final answer.

    :param node: the node.
    :param request: a request in ``node.requests``.
    """
    kind = _find_refusal(node, request.message) or admission.find_refusal(node, request)
    if kind is not None:
        node.refuse(request, kind)
        return
    request.life.wait()
    node.queue(request.message.service).push(request)
    admission.enforce_limit(node)
    scheduling.pump(node, request.message.service)


def _take_keyed(node, request):
    message = request.message
    known = node.keys.find(keys.scope_key(message))
    if known is not None:
        _repeat_answer(node, message, known)
        return
    issued = keys.parse_issued(message.key)
    if issued is not None:
        _take_issued(node, request, issued)
    elif message.key_issued_ms is None:
        node.refuse_message(message, Kind.KEY_MALFORMED, Ran.NO)
    else:
        _take_chosen(node, request)


def _repeat_answer(node, message, known):
    if known.fingerprint != message.content:
        node.refuse_message(message, Kind.KEY_REUSED, Ran.NO)
    elif known.state is keys.KeyState.CLOSED:
        node.refuse_message(message, known.kind, known.ran)
    else:
        node.emit(effects.Join(message.request_id, known.request_id))


def _is_expired(node, issued_ms):
    limit = node.state.claim_retention_ms - keys.EXPIRY_MARGIN_MS
    return node.now_ms - issued_ms > limit


def _take_issued(node, request, issued):
    message = request.message
    own = (issued.entry, issued.incarnation) == (
        node.settings.name,
        node.settings.incarnation,
    )
    if not own:
        _hand_over(node, message, issued.entry, issued.incarnation)
    elif issued.number > node.issued_keys or issued.issued_ms > node.now_ms:
        node.refuse_message(message, Kind.KEY_MALFORMED, Ran.NO)
    elif _is_expired(node, issued.issued_ms):
        node.refuse_message(message, Kind.KEY_EXPIRED, Ran.UNKNOWN)
    else:
        _open_key(node, request, issued.issued_ms)
        enqueue(node, request)


def _hand_over(node, message, entry, incarnation):
    alive = node.roster.is_alive(entry, incarnation, node.now_ms)
    if alive is False:
        node.refuse_message(message, Kind.OWNER_GONE, Ran.UNKNOWN)
    elif message.forwarded or alive is None:
        node.refuse_message(message, Kind.KEY_ELSEWHERE, Ran.UNKNOWN)
    else:
        service = node.configuration.find_service(message.service)
        timeout_ms = service.find_call(message.call).deadline_ms
        node.emit(effects.Forward(message.request_id, entry, timeout_ms / 1000))


def _open_key(node, request, issued_ms):
    node.requests[request.request_id] = request
    entry = keys.KeyEntry(request.request_id, request.message.content, issued_ms)
    node.keys.open(keys.scope_key(request.message), entry)


def _take_chosen(node, request):
    message = request.message
    if _is_expired(node, message.key_issued_ms):
        node.refuse_message(message, Kind.KEY_EXPIRED, Ran.UNKNOWN)
        return
    if message.key_issued_ms > node.now_ms + fold.MAX_CLOCK_SKEW_MS:
        node.refuse_message(message, Kind.KEY_MALFORMED, Ran.NO)
        return
    holder = node.state.claims.get(keys.scope_key(message))
    if holder is not None:
        _follow_holder(node, message, holder)
        return
    epoch = homes.find_epoch(node, message.key_issued_ms)
    if epoch is None:
        # Another entry may know more and may have run a copy.
        node.refuse_message(message, Kind.LOG_UNAVAILABLE, Ran.UNKNOWN)
    elif epoch.rule is services.KeyRule.HOMES:
        _take_at_home(node, request, epoch)
    else:
        _claim(node, request)


def _take_at_home(node, request, epoch):
    message = request.message
    home = homes.choose_home(epoch, keys.scope_key(message))
    own = fold.Member(node.settings.name, node.settings.incarnation)
    if home != own:
        _hand_over(node, message, home.entry, home.incarnation)
        return
    _open_key(node, request, message.key_issued_ms)
    enqueue(node, request)


def _claim(node, request):
    message = request.message
    kind = _find_refusal(node, message)
    if kind is None and not is_log_available(node):
        kind = Kind.LOG_UNAVAILABLE
    if kind is not None:
        # Another copy of the key may have run elsewhere, so "no" could be false.
        node.refuse_message(message, kind, Ran.UNKNOWN)
        return
    _open_key(node, request, message.key_issued_ms)
    request.life.claim()
    node.claims.add(
        records.Claim(keys.scope_key(message), message.key_issued_ms, message.content)
    )


def is_log_available(node):
    """Whether the log has answered lately.

    :param node: the node.
    :return: ``True`` if claims can be decided soon.
    """
    if node.log_read_ms is None:
        return False
    return node.now_ms - node.log_read_ms <= keys.CLAIM_TIMEOUT_MS


def _follow_holder(node, message, holder):
    if holder.fingerprint != message.content:
        node.refuse_message(message, Kind.KEY_REUSED, Ran.NO)
        return
    if (holder.entry, holder.incarnation) == (
        node.settings.name,
        node.settings.incarnation,
    ):
        # The claim was won after its request had been given up; nobody runs it.
        node.refuse_message(message, Kind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
        return
    _hand_over(node, message, holder.entry, holder.incarnation)


def settle_claim(node, claim):
    """Acts on the log's decision about a claim of this entry.

    :param node: the node.
    :param claim: the claim.
    """
    known = node.keys.find(claim.key)
    request = node.requests.get(known.request_id) if known is not None else None
    if request is None or request.state is not requests.RequestState.CLAIMING:
        return
    holder = node.state.claims.get(claim.key)
    if holder is None:
        node.refuse(request, Kind.KEY_EXPIRED, Ran.UNKNOWN)
    elif (holder.entry, holder.incarnation) == (
        node.settings.name,
        node.settings.incarnation,
    ):
        enqueue(node, request)
    else:
        request.life.end()
        del node.requests[request.request_id]
        node.keys.release(claim.key, request.request_id)
        _follow_holder(node, request.message, holder)


@handlers.handle.register
def _(message: messages.KeyWanted, node):
    node.issued_keys += 1
    issued = keys.IssuedKey(
        node.settings.name, node.settings.incarnation, node.issued_keys, node.now_ms
    )
    node.emit(effects.IssueKey(message.request_id, keys.format_issued(issued)))


@handlers.handle.register
def _(message: messages.CallerGone, node):
    request = node.requests.get(message.request_id)
    if request is None or request.is_keyed:
        return
    if request.state is requests.RequestState.WAITING:
        node.queue(request.message.service).remove(request)
        request.life.end()
        del node.requests[request.request_id]
    elif request.message.max_tokens:
        request.is_abandoned = True
        node.emit(effects.Cancel(request.request_id))

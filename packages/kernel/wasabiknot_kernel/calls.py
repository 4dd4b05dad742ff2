"""Handlers for new requests: idempotency keys, quarantine and admission."""

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
        node.refuse_message(message, Kind.NOT_READY, _assume_ran(message))
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
        _handle_keyed(node, request)
        return
    kind = _find_refusal(node, message)
    if kind is not None:
        node.refuse_message(message, kind, Ran.NO)
        return
    node.requests[request.request_id] = request
    enqueue(node, request)


def _assume_ran(message):
    return Ran.NO if message.key is None else Ran.UNKNOWN


def _estimate_tokens(node, message):
    if not message.max_tokens:
        return 0.0
    expected = node.lengths.estimate(message.service, message.call, message.customer)
    return min(expected, float(message.max_tokens))


def _find_refusal(node, message):
    # A stopping entry still accepts forwarded requests: it remains the home of its
    # keys until its peers have taken them over.
    if node.is_stopping and not message.forwarded:
        return Kind.STOPPING
    if node.is_quarantined(message.content):
        return Kind.QUARANTINED
    return None


def enqueue(node, request):
    """Queues a request, or refuses it.

    :param node: the node.
    :param request: a request in ``node.requests``.
    """
    kind = _find_refusal(node, request.message) or admission.find_refusal(node, request)
    if kind is not None:
        node.refuse(request, kind)
        return
    request.lifecycle.wait()
    node.queue(request.message.service).push(request)
    admission.enforce_queue_limit(node)
    scheduling.dispatch_waiting(node, request.message.service)


def _handle_keyed(node, request):
    message = request.message
    key_entry = node.keys.find(keys.scope_key(message))
    if key_entry is not None:
        _handle_duplicate(node, message, key_entry)
        return
    issued = keys.parse_issued(message.key)
    if issued is not None:
        _handle_issued_key(node, request, issued)
    elif message.key_issued_ms is None:
        node.refuse_message(message, Kind.KEY_MALFORMED, Ran.NO)
    else:
        _handle_chosen_key(node, request)


def _handle_duplicate(node, message, key_entry):
    if key_entry.fingerprint != message.content:
        node.refuse_message(message, Kind.KEY_REUSED, Ran.NO)
    elif key_entry.state is keys.KeyState.CLOSED:
        node.refuse_message(message, key_entry.kind, key_entry.ran)
    else:
        node.emit(effects.Join(message.request_id, key_entry.request_id))


def _is_expired(node, issued_ms):
    lifetime_ms = node.state.claim_retention_ms - keys.EXPIRY_MARGIN_MS
    return node.now_ms - issued_ms > lifetime_ms


def _handle_issued_key(node, request, issued):
    message = request.message
    is_own = (issued.entry, issued.incarnation) == (
        node.settings.name,
        node.settings.incarnation,
    )
    if not is_own:
        _forward_to_owner(node, message, issued.entry, issued.incarnation)
    elif issued.number > node.issued_keys or issued.issued_ms > node.now_ms:
        node.refuse_message(message, Kind.KEY_MALFORMED, Ran.NO)
    elif _is_expired(node, issued.issued_ms):
        node.refuse_message(message, Kind.KEY_EXPIRED, Ran.UNKNOWN)
    else:
        _register_key(node, request, issued.issued_ms)
        enqueue(node, request)


def _forward_to_owner(node, message, entry, incarnation):
    is_alive = node.roster.is_alive(entry, incarnation, node.now_ms)
    if is_alive is False:
        node.refuse_message(message, Kind.OWNER_GONE, Ran.UNKNOWN)
    elif message.forwarded or is_alive is None:
        node.refuse_message(message, Kind.KEY_ELSEWHERE, Ran.UNKNOWN)
    else:
        service = node.configuration.find_service(message.service)
        timeout_ms = service.find_call(message.call).deadline_ms
        node.emit(effects.Forward(message.request_id, entry, timeout_ms / 1000))


def _register_key(node, request, issued_ms):
    node.requests[request.request_id] = request
    entry = keys.KeyEntry(request.request_id, request.message.content, issued_ms)
    node.keys.open(keys.scope_key(request.message), entry)


def _handle_chosen_key(node, request):
    message = request.message
    if _is_expired(node, message.key_issued_ms):
        node.refuse_message(message, Kind.KEY_EXPIRED, Ran.UNKNOWN)
        return
    if message.key_issued_ms > node.now_ms + fold.MAX_CLOCK_SKEW_MS:
        node.refuse_message(message, Kind.KEY_MALFORMED, Ran.NO)
        return
    holder = node.state.claims.get(keys.scope_key(message))
    if holder is not None:
        _resolve_holder(node, message, holder)
        return
    epoch = homes.find_epoch(node, message.key_issued_ms)
    if epoch is None:
        # The log read so far does not determine the home of the key, so another
        # entry may have run a copy of the request.
        node.refuse_message(message, Kind.LOG_UNAVAILABLE, Ran.UNKNOWN)
    elif epoch.rule is services.KeyRule.HOMES:
        _handle_home_key(node, request, epoch)
    else:
        _claim_key(node, request)


def _handle_home_key(node, request, epoch):
    message = request.message
    home = homes.choose_home(epoch, keys.scope_key(message))
    own_member = fold.Member(node.settings.name, node.settings.incarnation)
    if home != own_member:
        _forward_to_owner(node, message, home.entry, home.incarnation)
        return
    _register_key(node, request, message.key_issued_ms)
    enqueue(node, request)


def _claim_key(node, request):
    message = request.message
    kind = _find_refusal(node, message)
    if kind is None and not is_log_available(node):
        kind = Kind.LOG_UNAVAILABLE
    if kind is not None:
        # Another entry may have run a request with this key, so ``Ran.NO`` could be
        # false.
        node.refuse_message(message, kind, Ran.UNKNOWN)
        return
    _register_key(node, request, message.key_issued_ms)
    request.lifecycle.claim()
    node.claims.add(
        records.Claim(keys.scope_key(message), message.key_issued_ms, message.content)
    )


def is_log_available(node):
    """Tells whether a read of the log has succeeded within ``keys.CLAIM_TIMEOUT_MS``.

    :param node: the node.
    :return: ``True`` if a claim is likely to be decided before it times out.
    """
    if node.log_read_ms is None:
        return False
    return node.now_ms - node.log_read_ms <= keys.CLAIM_TIMEOUT_MS


def _resolve_holder(node, message, holder):
    if holder.fingerprint != message.content:
        node.refuse_message(message, Kind.KEY_REUSED, Ran.NO)
        return
    if (holder.entry, holder.incarnation) == (
        node.settings.name,
        node.settings.incarnation,
    ):
        # The log granted the claim after its request had been refused here, so no
        # entry runs that request.
        node.refuse_message(message, Kind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
        return
    _forward_to_owner(node, message, holder.entry, holder.incarnation)


def resolve_claim(node, claim):
    """Queues, forwards or refuses a request once the log has decided its claim.

    :param node: the node.
    :param claim: a claim of this entry.
    """
    key_entry = node.keys.find(claim.key)
    request = node.requests.get(key_entry.request_id) if key_entry is not None else None
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
        request.lifecycle.end()
        del node.requests[request.request_id]
        node.keys.release(claim.key, request.request_id)
        _resolve_holder(node, request.message, holder)


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
        request.lifecycle.end()
        del node.requests[request.request_id]
    elif request.message.max_tokens:
        request.is_abandoned = True
        node.emit(effects.Cancel(request.request_id))

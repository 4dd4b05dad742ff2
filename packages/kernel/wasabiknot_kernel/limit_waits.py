"""Estimates how long requests wait because of the rate limits of backend servers."""


def estimate_s(tables, server_ids, count, now_s):
    """Estimates how long requests wait because of the rate limits of servers.

    :param tables: list of ``limits.LimitTable``; the lowest limit of a server applies.
    :param server_ids: ids of the backend servers that may take the requests.
    :param count: number of requests.
    :param now_s: current time in seconds.
    :return: seconds until the last of them may be sent; infinite if this entry may send
        to none of the servers.
    """
    rate_per_s = 0.0
    saved = 0.0
    for server_id in server_ids:
        if all(table.may_send(server_id, now_s) for table in tables):
            return 0.0
        found = [table.find_rate_limiter(server_id) for table in tables]
        limiters = [limiter for limiter in found if limiter is not None]
        rate_per_s += min(limiter.rate_per_s for limiter in limiters)
        saved += min(limiter.count_saved(now_s) for limiter in limiters)
    if rate_per_s <= 0.0:
        return float("inf")
    return max(0.0, count - saved) / rate_per_s

"""How long requests wait for the limits of backend servers."""


def estimate_s(tables, server_ids, count, now_s):
    """Estimates how long a number of requests wait for the limits of servers.

    :param tables: list of ``limits.LimitTable``, all of which hold.
    :param server_ids: ids of the backend servers that may take the requests.
    :param count: number of requests.
    :param now_s: current time in seconds.
    :return: seconds until the last of them may be sent; infinite if this entry is the
        sender of none.
    """
    rate_per_s = 0.0
    saved = 0.0
    for server_id in server_ids:
        if all(table.may_send(server_id, now_s) for table in tables):
            return 0.0
        found = [table.find_pace(server_id) for table in tables]
        held = [pace for pace in found if pace is not None]
        rate_per_s += min(pace.rate_per_s for pace in held)
        saved += min(pace.count_saved(now_s) for pace in held)
    if rate_per_s <= 0.0:
        return float("inf")
    return max(0.0, count - saved) / rate_per_s

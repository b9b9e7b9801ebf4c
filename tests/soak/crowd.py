"""The hard load of a soak: most clients use one group, kinds of requests of different priority compete for it, its
databases differ in capacity, and one tenant sends several times its limit."""

import asyncio
from dataclasses import dataclass

HOT, LIMITED = "ledger-a", "ledger-c"
USUAL_KEY, GREEDY_KEY = "soak", "greedy"
LIMIT = {"ratePerS": 20, "burst": 10}
TENANTS = [{"name": "usual", "apiKeys": [USUAL_KEY]}, {"name": "greedy", "apiKeys": [GREEDY_KEY], **LIMIT}]
UNEVEN = {f"{HOT}-0": "4 1", f"{HOT}-1": "2 1", f"{HOT}-2": "4 3"}  # slots, and the factor on the duration of statements


@dataclass(frozen=True)
class Kind:
    """One kind of request, with a route of its own."""

    name: str
    service: str
    route_type: str
    priority: int
    target_ms: int
    work_ms: int
    key: str
    sessions: int  # at each pooler
    pause: float  # mean seconds between two requests of a session
    floods: bool = False  # sent only during a flood


KINDS = {
    one.name: one
    for one in (
        Kind("hot-0", HOT, "bounded_staleness", 0, 300, 10, USUAL_KEY, 1, 0.2),
        Kind("hot-1", HOT, "read_your_writes", 1, 400, 10, USUAL_KEY, 1, 0.4),
        Kind("hot-2", HOT, "bounded_staleness", 2, 600, 60, USUAL_KEY, 9, 0.15, True),
        Kind("limit-0", LIMITED, "bounded_staleness", 0, 400, 2, GREEDY_KEY, 1, 0.6),
        Kind("limit-2", LIMITED, "bounded_staleness", 2, 400, 2, GREEDY_KEY, 2, 0.2),
    )
}


async def ask_kind(kind, rig, session):
    """Sends one read of this kind, unless the kind waits for a flood."""
    if rig.floods or not kind.floods:
        await session.ask(f"READ load@{kind.work_ms}")
    else:
        await asyncio.sleep(0.1)

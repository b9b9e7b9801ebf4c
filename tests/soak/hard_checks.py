"""Checks of the hard load and of zone partitions, from the records of clients, databases and readiness probes."""

import bisect
import collections
from dataclasses import dataclass, field

from checker import Finding, written_by
from crowd import LIMIT

NO_SLOT, NO_TOKEN = ("BUSY", "OVERLOAD"), ("OVERLOAD",)
SPAN_S = 5.0  # length of the spans in which rejections are compared
FAULT_FREE_S = 1.0  # time without a fault required before a span
OPERATIONS_MIN = 15  # fewest operations in a span for a check
# Largest rejected part of high-priority requests without a free slot: none of 160 was rejected in floods that rejected
# 40% of the others.
NO_SLOT_PART = 0.03
# The same without tokens: every tenth token goes to a low-priority request, and few are reserved. 4 to 15% were rejected.
NO_TOKEN_PART = 0.1
SERVED_PART = 0.5  # part of a limit that must be served; the loss of a machine takes a fifth of it
WINDOWS_S = (1.0, 5.0, 20.0)
OVERAGE, SLACK = 0.1, 20  # the poolers' settings rate.overage and rate.slack
NOT_READY_S, READY_S, WRITES_S = 3.0, 2.0, 4.0
COUNTING_S = 12.0  # until a limit is counted again: 8 s after contact with all poolers
CHANGE_S = 4.0  # until a group whose primary is lost has another one


@dataclass
class Cut:
    """The partition of a zone; `poolers`: those inside."""

    zone: str
    poolers: list
    begin: float
    end: float = float("inf")


@dataclass
class Loss:
    """The loss of a primary after another member of its group had left."""

    database: str
    begin: float
    end: float = float("inf")
    changed: float = float("inf")  # when another database led


@dataclass
class Seen:
    """What the rig did and observed, apart from the clients."""

    cuts: list = field(default_factory=list)
    losses: list = field(default_factory=list)
    ready: dict = field(default_factory=lambda: collections.defaultdict(list))  # pooler -> (time, ready) at each probe


def check(checker, seen, runs, started, late):
    """All findings. `late`: the largest scheduling delay of the rig itself, in seconds."""
    yield from check_turns(checker, "hot-0", "hot-2", NO_SLOT, NO_SLOT_PART, 0.0)
    yield from check_turns(checker, "limit-0", "limit-2", NO_TOKEN, NO_TOKEN_PART, 0.5)
    yield from check_given(checker, started)
    yield from check_limit(runs)
    for cut in seen.cuts:
        yield from check_ready(checker, seen, cut, late)
        yield from check_written(checker, cut, late)
    for loss in seen.losses:
        yield from check_changed(checker, loss, late)


def check_given(checker, begin):
    """Once its limit is counted, the greedy tenant, which sends several times as much, always gets a part of it. A limit
    that no pooler counts would serve nothing."""
    mine = [one for one in checker.operations if one.database.startswith("limit-")]
    last = max((one.sent for one in mine), default=begin)
    uncounted = [one for one in checker.troubles if one.what in ("zone_cut", "flood_kill_all")]
    begin += COUNTING_S
    while begin + SPAN_S <= last:
        end = begin + SPAN_S
        asked = [one for one in mine if begin <= one.sent < end]
        served = sum(one.result == "ok" for one in asked)
        due = LIMIT["ratePerS"] * SPAN_S * SERVED_PART
        excused = any(one.begin <= end and one.end + COUNTING_S >= begin for one in uncounted)
        if served < due and not excused:
            yield Finding("given", f"the greedy tenant was served {served} of {len(asked)}, {due:.0f} at least are its", begin)
        begin = end


def had_fault(checker, begin, end, apart=()):
    """Whether a fault, other than of the kinds in `apart`, was active in this time."""
    return any(one.begin <= end and one.end >= begin for one in checker.troubles if one.what not in ("flood", *apart))


def check_turns(checker, high, low, refusals, part, share):
    """When slots or tokens are short, the rejected part of the high-priority operations is at most `part` plus `share`
    times the rejected part of the others, and at most `part` of them are rejected while a later operation of the others
    was served at the same pooler."""
    ordered = sorted((one for one in checker.operations if one.database in (high, low)), key=lambda one: one.sent)
    at = ordered[0].sent if ordered else 0.0
    while ordered and at + SPAN_S <= ordered[-1].sent:
        span = [one for one in ordered if at <= one.sent < at + SPAN_S]
        first = [one for one in span if one.database == high]
        others = [one for one in span if one.database == low]
        refused = [one for one in first if one.result in refusals]
        parts = [len(refused) / max(len(first), 1), sum(one.result in refusals for one in others) / max(len(others), 1)]
        passed = sum(overtaken(one, others) for one in refused)
        enough = min(len(first), len(others)) >= OPERATIONS_MIN
        judged = enough and not had_fault(checker, at - FAULT_FREE_S, at + SPAN_S)
        if judged and (parts[0] > part + share * parts[1] or passed > part * len(first)):
            text = f"{parts[0]:.0%} of {len(first)} {high} refused and {parts[1]:.0%} of {len(others)} {low}"
            yield Finding("turns", f"{text} in {SPAN_S:.0f} s, {passed} while a later one was served", at)
        at += SPAN_S


def overtaken(operation, served):
    """Whether an operation sent later to the same pooler, while this one waited, was served."""
    later = (one for one in served if one.pooler == operation.pooler and operation.sent < one.sent < operation.ended)
    return any(one.result == "ok" for one in later)


def check_limit(runs):
    """In no window do more operations of the greedy tenant run than its limit allows."""
    times = sorted(run["at"] for run in runs if run["tenant"] == "greedy")
    for window in WINDOWS_S:
        allowed = (LIMIT["ratePerS"] * window + LIMIT["burst"]) * (1 + OVERAGE) + SLACK
        worst = max(((bisect.bisect_left(times, at + window) - place, at) for place, at in enumerate(times)), default=(0, 0))
        if worst[0] > allowed:
            yield Finding("limit", f"{worst[0]} operations ran in {window:.0f} s, {allowed:.0f} are allowed", worst[1])


def check_ready(checker, seen, cut, late):
    """Poolers inside the zone report soon that they are not ready, and ready again soon after the partition; the others
    stay ready."""
    for pooler, samples in seen.ready.items():
        inside = pooler in cut.poolers
        wrong = []
        for at, ready in samples:
            settled = cut.begin + NOT_READY_S + late < at < cut.end
            healed = cut.end + READY_S + late < at < cut.end + READY_S + late + 1.0
            staying = not inside and cut.begin < at < cut.end + READY_S
            if (inside and settled and ready) or ((staying or (inside and healed)) and not ready):
                wrong.append(at)
        others = [one for one in checker.troubles if one.who in (pooler, "store") and one.what != "zone_cut"]
        excused = any(one.begin <= cut.end + READY_S and one.end + checker.bounds.contact >= cut.begin for one in others)
        if len(wrong) > 1 and not excused:  # one wrong sample is allowed: a load balancer probes twice
            where = "inside" if inside else "outside"
            text = f"{pooler}, {where} the cut of {cut.zone}, {len(wrong)} wrong answers of readiness"
            yield Finding("ready", f"{text}, the first {wrong[0] - cut.begin:.2f} s after its begin", wrong[0])


def check_written(checker, cut, late):
    """Writes at the poolers outside the zone are served again soon, as two of three databases are reachable."""
    if cut.end - cut.begin < WRITES_S + 1 or had_fault(checker, cut.begin - FAULT_FREE_S, cut.end, ("zone_cut",)):
        return
    for route in ("still-a", "still-b"):
        mine = [one for one in checker.operations if one.database == route and written_by(one) and not one.transaction]
        mine = [one for one in mine if one.pooler not in cut.poolers and cut.begin < one.sent < cut.end]
        first = min((one.ended for one in mine if one.result == "ok"), default=cut.end)
        if mine and first > cut.begin + WRITES_S + late:
            yield Finding("written", f"{route}: first write served {first - cut.begin:.2f} s after the cut of {cut.zone}", first)
        after = [one for one in mine if one.sent > cut.begin + WRITES_S + late]
        served = sum(one.result == "ok" for one in after)
        if len(after) >= 8 and served < 0.8 * len(after):
            yield Finding("written", f"{route}: {served} of {len(after)} writes served in the cut of {cut.zone}", cut.begin)


def check_changed(checker, loss, late):
    """Another database leads soon, though only one member is left. Served writes are not required, because no replica
    confirms them."""
    took = min(loss.changed, loss.end) - loss.begin
    if took > CHANGE_S + late and not had_fault(checker, loss.begin - FAULT_FREE_S, loss.end, ("drain_loss",)):
        yield Finding("changed", f"{loss.database} was lost, and after {took:.2f} s no other one led", loss.begin)

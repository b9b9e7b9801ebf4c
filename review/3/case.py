"""A coordinator loses its lease while its orders of promotions wait behind a slow answer."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig as rigs  # noqa: E402

SERVICES = ("ledger-1", "ledger-2", "ledger-3")
SETTLED_S = 8  # over four heartbeats of the databases
SLOW_S = 0.35  # the promotion service answers after this time: 87 times 4 ms, the largest dose of platform_slow
WATCHED_S = 14


async def keep_writing(rig, pooler, host):
    """Writes at one pooler, a session for each write, so that faults of a primary are seen."""
    while not rig.stopping:
        client = rigs.Client(rig, f"client-{pooler.name}", pooler, host, patience_s=2)
        try:
            if await client.open():
                await client.ask("WRITE thing data")
        except (ConnectionError, asyncio.TimeoutError, OSError):
            pass
        client.close()
        await asyncio.sleep(0.1)


async def case(rig, trouble):
    """Returns what broke the rule."""
    groups = [await rig.group(service) for service in SERVICES]
    rig.configure([(f"host-{service}", "primary", service) for service in SERVICES])
    await rig.start_poolers(4)
    holder = await rig.coordinator()
    await rig.serving([f"host-{service}" for service in SERVICES])
    await asyncio.sleep(SETTLED_S)
    holder = await rig.coordinator()
    writers = [
        asyncio.create_task(keep_writing(rig, pooler, f"host-{service}"))
        for pooler in rig.poolers
        for service in SERVICES
    ]
    await asyncio.sleep(0.5)

    if trouble:
        rig.platform.api_answer_s = SLOW_S
    for group in groups:
        group.leader().crash()
    await rig.until(lambda: rig.platform.orders, 10, "an order of a promotion", 0.001)
    ordered = [f"Group {service}: ordering the promotion" for service in SERVICES]
    await rig.until(lambda: all(holder.said(text) for text in ordered), 10, "orders for all services", 0.01)
    if trouble:
        rig.record.add("store", f"{holder.name} is partitioned from it")
        rig.platform.cut.add(holder.name)
    await asyncio.sleep(WATCHED_S)
    rig.stopping = True
    await asyncio.wait(writers, timeout=5)

    highest, by, broken = 0, "", []
    first = rig.platform.orders[0][0]
    for at, sender, token, service, _ in rig.platform.orders:
        if token < highest:
            broken.append(
                f"ONE: {at - first:.2f} s after the first order, {sender} sent an order for {service} with token {token}, "
                f"after token {highest} of {by} had been seen"
            )
        if token > highest:
            highest, by = token, sender
    return broken


rigs.run(case, FOLDER)

"""The faults of a soak, drawn from a seed before it starts: in sequence and overlapping, with fault-free times between."""

import asyncio
import signal
from dataclasses import asdict, dataclass, field

from checker import Trouble
from crowd import HOT
from deployment import now
from hard_checks import Cut, Loss
from links import Direction

STORM_S = (8.0, 20.0)
CALM_S = (6.0, 12.0)
GAP_S = 1.2  # mean time between two faults of a series
FIRST_S = 6.0
ZONES = 3
SETTLING_S = 6.0  # longest time of the drain before the loss and of the return after it


@dataclass
class Fault:
    """One fault. `at` counts from the start of the run, in seconds."""

    at: float
    kind: str
    target: str
    other: str = ""
    length: float = 0.0
    options: dict = field(default_factory=dict)

    def line(self):
        """The fault as a line of the timeline."""
        return " ".join(f"{key}={value}" for key, value in asdict(self).items() if value not in ("", {}))


# Weights of the kinds of faults of processes, links and the store. They must not change, because the kept seeds
# reproduce their faults only with these.
INCIDENT = {
    "kill": 3,
    "stop": 2,
    "freeze": 3,
    "kill_all": 1,
    "reload": 1,
    "peer_slow": 4,
    "peer_silent": 4,
    "peer_reset": 2,
    "peer_hush": 2,
    "pooler_slow": 2,
    "store_link_silent": 4,
    "store_link_slow": 3,
    "store_link_refuses": 3,
    "store_link_loses": 2,
    "store_link_reset": 1,
    "store_forgets": 4,
    "store_refuses": 1,
    "store_silent": 1,
    "database_down": 2,
    "database_link": 2,
}

# The same, with more faults of databases.
WEIGHTS = INCIDENT | {
    "database_lags": 2,
    "database_deaf": 1,
    "database_silent": 2,
    "database_loses": 1,
    "database_link_loses": 2,
    "database_cut": 2,
}

# The store is restored from an older copy, together with other faults.
RESTORED = {
    "store_restored": 6,
    "kill": 2,
    "stop": 1,
    "freeze": 2,
    "kill_all": 1,
    "peer_slow": 2,
    "peer_silent": 2,
    "pooler_slow": 1,
    "store_link_silent": 3,
    "store_link_slow": 2,
    "store_link_loses": 2,
    "store_forgets": 1,
    "database_down": 2,
    "database_silent": 1,
    "database_lags": 1,
    "database_link": 1,
}

# The event that accompanies a restore of the store; one is drawn each time.
RESTORED_WITH = ("", "start", "coordinator", "failover", "cut", "twice")

KINDS = WEIGHTS | RESTORED


def draw(chance, seconds, poolers, databases, weights=None):
    """The faults of a run, and its fault-free times."""
    weights = weights or WEIGHTS
    faults, calms = [], []
    at = FIRST_S
    while at < seconds - CALM_S[0]:
        end = min(at + chance.uniform(*STORM_S), seconds - CALM_S[0])
        while at < end:
            faults.append(draw_one(chance, at, end, poolers, databases, weights))
            at += chance.expovariate(1 / GAP_S)
        begin, at = end, end + chance.uniform(*CALM_S)
        calms.append((begin, min(at, seconds)))
    return faults, calms


# Faults of the hard load, one after the other: kind, options, and bounds of the length.
HARD = (
    ("zone_cut", {"whose": "coordinator"}, (5.5, 7.0)),
    ("flood", {}, (7.0, 9.0)),
    ("zone_cut", {"whose": "primary", "flood": True}, (5.5, 7.0)),
    ("drain_loss", {}, (5.5, 6.5)),
    ("flood_kill_all", {}, (5.0, 6.0)),
)
HARD_CALM_S = (4.5, 6.5)
HARD_END_S = 15.0  # fault-free time at the end: restarted poolers count a limit after 8 s, and some of that must be checked


def draw_hard(chance, seconds, only=()):
    """The same for the hard load: all of its faults, in an order from the seed, until the run's end.
    `only`: use only these kinds."""
    hard = [one for one in HARD if not only or one[0] in only]
    faults, calms, kinds = [], [], []
    at = FIRST_S
    while True:
        kinds = kinds or chance.sample(hard, len(hard))
        kind, options, lengths = kinds.pop()
        fault = Fault(round(at, 3), kind, "", "", round(chance.uniform(*lengths), 3), dict(options))
        fault.options["chance"] = chance.randrange(1000)
        end = at + fault.length + (SETTLING_S if kind == "drain_loss" else 0)
        if end > seconds - HARD_END_S and faults:
            return faults, calms
        faults.append(fault)
        at = end + chance.uniform(*HARD_CALM_S)
        calms.append((end, min(at, seconds)))


def draw_one(chance, at, end, poolers, databases, weights):
    """One fault, which ends with its series at the latest."""
    kind = chance.choices(list(weights), list(weights.values()))[0]
    target, other = chance.sample(poolers, 2)
    length = min(chance.choice([0.3, 0.8, 1.5, 3.0, 6.0]) * chance.uniform(0.7, 1.3), max(0.1, end - at))
    options = {}
    if kind in ("peer_slow", "peer_silent", "store_link_silent", "store_link_slow", "pooler_slow"):
        options["ways"] = chance.choice(["both", "forth", "back"])
    if kind in ("peer_slow", "store_link_slow", "pooler_slow"):
        options["delay_s"] = round(chance.choice([0.05, 0.2, 0.6, 1.5, 2.5]) * chance.uniform(0.7, 1.3), 3)
    if kind.startswith("database_") and not kind.startswith("database_link"):
        target = chance.choice(databases)
    if kind.startswith("database_link"):
        other = chance.choice(databases)
    if kind.startswith("store_") and "link" not in kind:
        target = "store"
    if kind == "store_restored":
        options = draw_restored(chance)
    return Fault(round(at, 3), kind, target, other, round(length, 3), options)


def draw_restored(chance):
    """Duration of the store's outage, age of its copy, and time until the operator has written again, in seconds."""
    return {
        "away_s": round(chance.choice([0.05, 0.3, 1.0, 2.5]) * chance.uniform(0.7, 1.3), 3),
        "age_s": round(chance.choice([0.5, 2.0, 5.0, 10.0]) * chance.uniform(0.7, 1.3), 3),
        "written_s": round(chance.choice([0.0, 0.1, 0.5]) * chance.uniform(0.7, 1.3), 3),
        "with": chance.choice(RESTORED_WITH),
    }


class Player:
    """Injects faults into a rig, and records for the checker what they affect."""

    def __init__(self, rig, checker, note):
        self.rig = rig
        self.checker = checker
        self.note = note
        self.faulty = set()  # databases

    async def play(self, faults, start):
        """Injects all faults concurrently."""
        tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, start + fault.at - now()))
            tasks.append(asyncio.create_task(self.play_one(fault)))
        await asyncio.gather(*tasks)

    async def play_one(self, fault):
        """Injects one fault and waits for its end."""
        self.note(f"begins {fault.line()}")
        trouble = Trouble("", now(), float("inf"), fault.kind)
        self.checker.troubles.append(trouble)
        try:
            await getattr(self, fault.kind)(fault, trouble)
        finally:
            trouble.end = now()
            self.note(f"ends {fault.kind} {fault.target} {fault.other}")

    # Processes.

    async def kill(self, fault, trouble):
        """A process is killed; it is restarted soon."""
        trouble.who = fault.target
        await self.end_process(fault.target, signal.SIGKILL)

    async def stop(self, fault, trouble):
        """A planned stop, followed by a restart."""
        trouble.who = fault.target
        await self.end_process(fault.target, signal.SIGTERM)

    async def end_process(self, name, number):
        """Ends a process, and waits until it has been restarted."""
        pooler = self.rig.poolers[name]
        life = pooler.life
        pooler.send(number)
        while pooler.life == life:
            await asyncio.sleep(0.02)

    async def kill_all(self, fault, trouble):
        """All processes are killed at once."""
        trouble.who = "store"  # excuses all poolers
        await asyncio.gather(*(self.end_process(name, signal.SIGKILL) for name in self.rig.poolers))

    async def freeze(self, fault, trouble):
        """A process is suspended."""
        trouble.who = fault.target
        pooler = self.rig.poolers[fault.target]
        pooler.send(signal.SIGSTOP)
        await asyncio.sleep(fault.length)
        pooler.send(signal.SIGCONT)

    async def reload(self, fault, trouble):
        """The settings are read again."""
        self.rig.poolers[fault.target].send(signal.SIGHUP)

    # Links. Faults between poolers excuse no pooler.

    async def set_links(self, links, fault, direction):
        """Sets links to this state, in the directions that the fault names, for its length."""
        ways = fault.options.get("ways", "both")
        forth = direction if ways in ("both", "forth") else Direction()
        back = direction if ways in ("both", "back") else Direction()
        for link in links:
            link.change(forth, back)
        await asyncio.sleep(fault.length)
        for link in links:
            if link.forth is forth and link.back is back:
                link.change(Direction(), Direction())

    def between(self, fault):
        """The link of the target's connections to the other pooler."""
        return [self.rig.links.get(fault.target, fault.other)]

    async def peer_slow(self, fault, trouble):
        """Messages between two poolers are delayed."""
        await self.set_links(self.between(fault), fault, Direction(delay_s=fault.options["delay_s"]))

    async def peer_silent(self, fault, trouble):
        """Messages between two poolers are held back, in one direction or both."""
        await self.set_links(self.between(fault), fault, Direction(held=True))

    async def pooler_slow(self, fault, trouble):
        """All messages between a pooler and the others are delayed."""
        links = self.rig.peer_links(fault.target)
        await self.set_links(links, fault, Direction(delay_s=fault.options["delay_s"]))

    async def peer_reset(self, fault, trouble):
        """Connections between two poolers are reset."""
        self.rig.links.get(fault.target, fault.other).reset()

    async def peer_hush(self, fault, trouble):
        """Open connections between two poolers pass no more data."""
        self.rig.links.get(fault.target, fault.other).block()

    async def store_link_silent(self, fault, trouble):
        """A pooler is partitioned from the store."""
        trouble.who = fault.target
        await self.set_links([self.rig.links.get(fault.target, "store")], fault, Direction(held=True))

    async def store_link_slow(self, fault, trouble):
        """A pooler's calls of the store are delayed."""
        trouble.who = fault.target
        direction = Direction(delay_s=fault.options["delay_s"])
        await self.set_links([self.rig.links.get(fault.target, "store")], fault, direction)

    async def fail_calls(self, how, fault, trouble):
        """A pooler's calls of the store fail in a way that is a flag of its link."""
        trouble.who = fault.target
        link = self.rig.links.get(fault.target, "store")
        setattr(link, how, True)
        await asyncio.sleep(fault.length)
        setattr(link, how, False)

    async def store_link_refuses(self, fault, trouble):
        """The store rejects a pooler's calls."""
        await self.fail_calls("refuses", fault, trouble)

    async def store_link_loses(self, fault, trouble):
        """The store carries out a pooler's calls and does not answer."""
        await self.fail_calls("loses_answers", fault, trouble)

    async def store_link_reset(self, fault, trouble):
        """A pooler's connections to the store are reset."""
        trouble.who = fault.target
        self.rig.links.get(fault.target, "store").reset()

    async def database_link(self, fault, trouble):
        """A pooler is partitioned from a database."""
        link = self.rig.links.get(fault.target, fault.other)
        await self.set_links([link], fault, Direction(held=True))

    async def database_cut(self, fault, trouble):
        """A database is partitioned from all poolers but one, which may still take it for the primary."""
        links = [self.rig.links.get(name, fault.target) for name in self.rig.poolers if name != fault.other]
        await self.set_links(links, fault, Direction(held=True))

    async def database_link_loses(self, fault, trouble):
        """A database runs a pooler's statements, its answers are lost, and then the connections are reset."""
        link = self.rig.links.get(fault.target, fault.other)
        link.loses_answers = True
        await asyncio.sleep(min(fault.length, 0.8))
        link.loses_answers = False
        link.reset()

    # The store and the databases.

    async def store_forgets(self, fault, trouble):
        """The store discards its history. No pooler is excused."""
        await self.rig.standin.command("store forget")

    async def store_restored(self, fault, trouble):
        """The store fails briefly and is restored from an older copy; then the operator writes the newest version again."""
        trouble.who = "store"
        options = fault.options
        beside = asyncio.create_task(self.beside_restore(options))
        async with self.rig.operator_lock:
            await self.rig.standin.command("store silent")
            await asyncio.sleep(options["away_s"])
            for age_s in [options["age_s"]] + [options["age_s"] / 2] * (options["with"] == "twice"):
                await self.rig.standin.command(f"store restore {int(age_s * 1000)}")
                await self.rig.standin.command("store well")
                await asyncio.sleep(options["written_s"])
                await self.rig.standin.command("configure " + self.rig.newest)
        await beside

    async def beside_restore(self, options):
        """Injects the accompanying event of a restore."""
        others = list(self.rig.poolers)
        leaders, coordinator = await self.look()
        if options["with"] == "start":
            await asyncio.gather(*(self.end_process(name, signal.SIGKILL) for name in others))
        elif options["with"] == "coordinator":
            await asyncio.sleep(options["away_s"])
            await self.end_process(coordinator, signal.SIGKILL)
        elif options["with"] == "failover":
            primary = sorted(leaders.values())[0]
            await self.fault_database("down", Fault(0.0, "database_down", primary, length=options["away_s"] + 1.5))
        elif options["with"] == "cut":
            cut = Fault(0.0, "store_link_silent", others[-1], length=options["away_s"] + 2.5)
            links = [self.rig.links.get(name, "store") for name in others[-2:]]
            await self.set_links(links, cut, Direction(held=True))

    async def fault_store(self, word, fault, trouble):
        """The store serves no requests for a time, the operator's included."""
        trouble.who = "store"
        async with self.rig.operator_lock:
            await self.rig.standin.command(f"store {word}")
            await asyncio.sleep(fault.length)
            await self.rig.standin.command("store well")

    async def store_refuses(self, fault, trouble):
        """The store refuses all calls."""
        await self.fault_store("refuse", fault, trouble)

    async def store_silent(self, fault, trouble):
        """The store answers no calls."""
        await self.fault_store("silent", fault, trouble)

    async def fault_database(self, word, fault):
        """A database has a fault for a time. A second fault of the same database is ignored."""
        if fault.target in self.faulty:
            return
        self.faulty.add(fault.target)
        await self.rig.standin.command(f"database {fault.target} {word}")
        await asyncio.sleep(fault.length)
        await self.rig.standin.command(f"database {fault.target} well")
        self.faulty.discard(fault.target)

    async def database_down(self, fault, trouble):
        """A database crashes and restarts with its log."""
        await self.fault_database("down", fault)

    async def database_lags(self, fault, trouble):
        """A replica receives entries and does not apply them."""
        await self.fault_database("lagging", fault)

    async def database_deaf(self, fault, trouble):
        """A database receives no entries; as a primary, it sends none."""
        await self.fault_database("deaf", fault)

    async def database_silent(self, fault, trouble):
        """A database accepts statements and answers none."""
        await self.fault_database("silent", fault)

    async def database_loses(self, fault, trouble):
        """A database runs statements and their answers are lost."""
        await self.fault_database("lose", fault)

    # Faults of the hard load.

    async def flood(self, fault, trouble):
        """The low-priority kind sends more than the hot group can serve. This excuses no failures."""
        self.rig.floods += 1
        await asyncio.sleep(fault.length)
        self.rig.floods -= 1

    async def flood_kill_all(self, fault, trouble):
        """All processes are killed during a flood."""
        flood = asyncio.create_task(self.flood(fault, trouble))
        await asyncio.sleep(fault.length / 3)
        await self.kill_all(fault, trouble)
        await flood

    async def look(self):
        """Each service's primary, and the coordinator's name."""
        said = [line.partition(" ") for line in await self.rig.standin.command("look")]
        leaders = dict(rest.split() for word, _, rest in said if word == "leads")
        lease = "".join(rest for word, _, rest in said if word == "lease")
        holders = [name for name in self.rig.poolers if f'"{name}"' in lease]
        return leaders, holders[0] if holders else next(iter(self.rig.poolers))

    async def zone_cut(self, fault, trouble):
        """A zone is partitioned, with the coordinator or a primary inside. The store is in no zone."""
        leaders, coordinator = await self.look()
        whose = coordinator if fault.options["whose"] == "coordinator" else leaders[HOT]
        zone = int(whose.rsplit("-", 1)[1]) % ZONES
        inside = [name for name in self.rig.poolers if int(name.rsplit("-", 1)[1]) % ZONES == zone]
        databases = [name for name in self.rig.standin.databases if int(name.rsplit("-", 1)[1]) == zone]
        self.note(f"cut z{zone}: {inside} {databases}, coordinator {coordinator}, {leaders}")
        troubles = [Trouble(name, now(), float("inf"), fault.kind) for name in inside]
        self.checker.troubles += troubles
        cut = Cut(f"z{zone}", inside, now())
        self.rig.seen.cuts.append(cut)
        self.rig.floods += fault.options.get("flood", False)
        for name in databases:
            await self.rig.standin.command(f"database {name} cut")
        await self.set_links(self.links_across(set(inside + databases)), fault, Direction(held=True))
        for name in databases:
            await self.rig.standin.command(f"database {name} well")
        self.rig.floods -= fault.options.get("flood", False)
        cut.end = now()
        for one in troubles:
            one.end = cut.end

    def links_across(self, inside):
        """All links between the inside and the outside."""
        names = list(self.rig.poolers) + list(self.rig.standin.databases) + ["store"]
        pairs = [(source, target) for source in self.rig.poolers for target in names]
        return [self.rig.links.get(*pair) for pair in pairs if (pair[0] in inside) != (pair[1] in inside)]

    async def drain_loss(self, fault, trouble):
        """A replica drains and leaves as planned, and the primary is lost shortly after."""
        leaders, _ = await self.look()
        primary = leaders[HOT]
        others = [f"{HOT}-{i}" for i in range(ZONES) if f"{HOT}-{i}" != primary]
        leaving = others[fault.options["chance"] % len(others)]
        self.note(f"{leaving} drains, then {primary} is lost")
        await self.rig.standin.command(f"database {leaving} draining")
        await asyncio.sleep(2.0)
        await self.rig.standin.command(f"database {leaving} gone")
        await asyncio.sleep(0.2 + fault.options["chance"] / 1000)
        await self.rig.standin.command(f"database {primary} down")
        loss = Loss(primary, now())
        self.rig.seen.losses.append(loss)
        while now() < loss.begin + fault.length:
            await asyncio.sleep(0.1)
            if loss.changed > now() and (await self.look())[0][HOT] != primary:
                loss.changed = now()
        loss.end = now()
        await self.rig.standin.command(f"database {primary} well")
        await asyncio.sleep(1.0)
        await self.rig.standin.command(f"database {leaving} well")

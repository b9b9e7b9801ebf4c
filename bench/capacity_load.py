"""Parts of the capacity measurement under load: connections, requests in flight, requests at a rate, all
callers at once, and what gives way first. Each part returns plain data for the result file."""

import os
import time
from contextlib import ExitStack

from capacity_callers import Connections, end_load, run_load, start_load
from capacity_cluster import Cluster, await_fleet, group_parts, serving_daemon, tenant_name, wait_until
from capacity_probe import Memory, Processor, control_share, rounded

CONNECTION_COUNTS = (500, 1000, 2000, 3816, 7600)
IN_FLIGHT_COUNTS = (50, 100, 200, 400)
RATES = (100, 200, 408, 800, 1600)

# Rates that are tried one after the other, by the time that a statement takes at its database.
LIMIT_RATES = {0: (800, 1600, 3200, 4800, 6400), 5_000: (408, 800, 1200, 1600, 2000, 2400)}

# Connections and statements a second of one daemon at full size: 2.9 million and 310,000 by 760.
TARGET_CONNECTIONS = 3816
TARGET_RATE = 408

LOAD_SECONDS = 2
LOAD_SESSIONS = 64
LIMIT_SESSIONS = 256
LIMIT_P99_MS = 100
IDLE_SECONDS = 3
STORMS = 3
LIMIT_READ_SHARE = 0.8

SILENT_GROUP_SHARES = (0.05, 0.2)
SILENT_GROUP_WORKERS = (32,)
SILENT_GROUP_SECONDS = 4
SILENT_GROUP_TIMEOUT_MS = 4000

# Longer than any measurement.
SILENCE_MS = 60_000

IN_FLIGHT_GAUGE = "swiftworks_frontend_requests_in_flight"


class Pair:
    """Two daemons: one owns all groups, the other forwards all that it is asked."""

    def __init__(self, cluster, name, group_count, settings=()):
        self.cluster = cluster
        self.name = name
        self.groups = cluster.add_groups(group_count)
        path = cluster.write_configuration(name, group_parts(self.groups), group_count)
        # The one owner is in the first zone of each group; so is the first daemon.
        one_owner = "ownership.owners_per_group=1"
        daemons = cluster.start_fleet(name, 2, path, [one_owner, *settings])
        await_fleet(daemons)
        self.owner, self.forwarder = daemons
        self.tenants = [tenant_name(index) for index in range(group_count)]
        for tenant in self.tenants:
            wait_until(
                lambda: serving_daemon(self.forwarder, tenant) == self.owner.name,
                f"{tenant} served by {self.owner.name}",
            )

    def prepare(self):
        """Makes the tables, and warms connections and threads up."""
        name = f"{self.name}-prepare"
        sessions = max(len(self.tenants), LOAD_SESSIONS)
        options = {"prepare": True, "duration": 1, "sessions": sessions}
        run_load(self.cluster, self.forwarder, self.tenants, name, **options)

    def slow_down(self, service_us):
        """From now on each statement takes so long at its database."""
        for group in self.groups:
            group.fault(f"name=slow_us&value={service_us}")

    def silence(self, groups):
        """From now on the databases of these groups answer nothing."""
        for group in groups:
            group.fault(f"name=freeze&value_ms={SILENCE_MS}")

    def databases(self):
        """Name to database process."""
        return {
            process.name: process
            for process in self.cluster.processes
            if process.name.startswith("group-")
        }

    def daemons(self):
        """Role to daemon."""
        return {"owner": self.owner, "forwarder": self.forwarder}


def read_processors(processes):
    """Name to a reading."""
    return {name: Processor(process.pid) for name, process in processes.items()}


def cost(before, after, requests):
    """Processor time between readings, by role."""
    costs = {}
    for role, reading in after.items():
        spent = reading.seconds_since(before[role])
        shares = reading.since(before[role])
        costs[role] = {
            "cpu_percent": round(spent / (reading.at - before[role].at) * 100, 2),
            "cpu_us_per_request": round(spent * 1e6 / max(requests, 1), 1),
            "control_cpu_percent": round(control_share(shares), 3),
            "cpu_percent_by_thread": rounded(shares),
            "private_kb": reading.private_kb,
        }
    return costs


def load_point(pair, asked, name, **options):
    """One load over one daemon of a pair, with what it cost both."""
    before = read_processors(pair.daemons())
    summary = run_load(pair.cluster, asked, pair.tenants, name, batch_share=0, **options)
    after = read_processors(pair.daemons())
    return {**summary, "cost": cost(before, after, summary["requests"])}


def memory_steps(daemon, client, command):
    """Memory as a client opens more and more connections by a command."""
    points = [{"connections": 0, "private_kb": Memory(daemon.pid).private}]
    opened = 0
    for count in CONNECTION_COUNTS:
        answer = client.run(f"{command} {count - opened}")
        opened = count
        time.sleep(0.3)
        memory = Memory(daemon.pid)
        points.append(
            {
                "connections": count,
                "private_kb": memory.private,
                "threads": memory.threads,
                "client": answer,
            }
        )
    return points


def idle_share(daemon):
    """Processor time of a daemon that is asked nothing, in percent of a core."""
    before = Processor(daemon.pid)
    time.sleep(IDLE_SECONDS)
    return rounded(Processor(daemon.pid).since(before))


def measure_connections(build, ports):
    """Memory by connections that have only connected, and by connections that each had one answer."""
    with Cluster(build, ports) as cluster:
        pair = Pair(cluster, "hold", 3)
        pair.prepare()
        result = {"idle_cpu_percent_by_thread": {0: idle_share(pair.forwarder)}}
        with Connections(cluster, pair.owner, pair.tenants[0]) as client:
            result["connected_only"] = memory_steps(pair.owner, client, "connect")
        with Connections(cluster, pair.forwarder, pair.tenants[0]) as client:
            result["one_answer_each"] = memory_steps(pair.forwarder, client, "open")
            held = CONNECTION_COUNTS[-1]
            result["idle_cpu_percent_by_thread"][held] = idle_share(pair.forwarder)
        return result


def in_flight_steps(cluster, daemon, tenant):
    """Memory as more and more requests are in flight at a daemon, each on its own connection."""
    points = [{"in_flight": 0, "private_kb": Memory(daemon.pid).private}]
    begun = 0
    with ExitStack() as clients:
        for count in IN_FLIGHT_COUNTS:
            client = clients.enter_context(Connections(cluster, daemon, tenant))
            client.begin(f"open {count - begun}")
            begun = count
            wait_until(lambda: daemon.gauge(IN_FLIGHT_GAUGE) >= count, f"{count} in flight")
            memory = Memory(daemon.pid)
            points.append(
                {"in_flight": count, "private_kb": memory.private, "threads": memory.threads}
            )
    return points


def measure_in_flight(build, ports):
    """Memory by requests in flight, which wait for databases that answer nothing: at a daemon that
    forwards them, and at one that owns."""
    patience = f"routing.unavailable_wait_ms={SILENCE_MS}"
    with Cluster(build, ports) as cluster:
        result = {}
        for role in ("forwarder", "owner"):
            pair = Pair(cluster, f"flight-{role}", 1, [patience])
            pair.prepare()
            pair.silence(pair.groups)
            result[role] = in_flight_steps(cluster, pair.daemons()[role], pair.tenants[0])
        return result


def measure_requests(build, ports):
    """Processor time of reads and writes at a rate, served by the daemon that was asked and by the
    other one; and with as many callers connected as at full size."""
    with Cluster(build, ports) as cluster:
        pair = Pair(cluster, "rate", 3)
        pair.prepare()
        points = []
        options = {"duration": LOAD_SECONDS, "sessions": LOAD_SESSIONS}
        for kind, share in (("read", 1), ("write", 0)):
            for way, asked in (("served_here", pair.owner), ("forwarded", pair.forwarder)):
                for rate in RATES:
                    name = f"{kind}-{way}-{rate}"
                    point = load_point(pair, asked, name, rate=rate, read_share=share, **options)
                    points.append({"kind": kind, "way": way, "rate": rate, **point})
        with Connections(cluster, pair.forwarder, pair.tenants[0]) as client:
            client.run(f"open {TARGET_CONNECTIONS}")
            point = load_point(
                pair, pair.forwarder, "held", rate=TARGET_RATE, read_share=1, **options
            )
        held = {"kind": "read", "way": "forwarded", "rate": TARGET_RATE, **point}
        return {"points": points, "with_connections_held": {TARGET_CONNECTIONS: held}}


def gives_way(point):
    """What of a load went wrong; None where nothing did."""
    if point["due_latency"]["p99_ms"] > LIMIT_P99_MS:
        return f"p99 over {LIMIT_P99_MS} ms"
    not_done = {name: count for name, count in point["by_outcome"].items() if count}
    not_done.pop("done", None)
    return f"answers other than done: {not_done}" if not_done else None


def limit_of(pair, role, service_us):
    """Points at rising rates, up to the first at which something gives way."""
    points = []
    for rate in LIMIT_RATES[service_us]:
        name = f"limit-{role}-{service_us}-{rate}"
        options = {"duration": LOAD_SECONDS, "sessions": LIMIT_SESSIONS, "rate": rate}
        before = read_processors(pair.databases())
        asked = pair.daemons()[role]
        point = load_point(pair, asked, name, read_share=LIMIT_READ_SHARE, **options)
        after = read_processors(pair.databases())
        reason = gives_way(point)
        points.append(
            {
                "rate": rate,
                "gives_way": reason,
                "databases_cpu_percent_max": busiest(before, after),
                "load_average": round(os.getloadavg()[0], 1),
                **point,
            }
        )
        if reason:
            break
    return points


def busiest(before, after):
    """The most processor time that one of some processes used, in percent of a core."""
    shares = [
        reading.seconds_since(before[name]) / (reading.at - before[name].at) * 100
        for name, reading in after.items()
    ]
    return round(max(shares), 1)


def limits_of(pair):
    """Limits of both daemons of a pair, by the time that a statement takes at its database."""
    limits = {}
    for service_us in LIMIT_RATES:
        pair.slow_down(service_us)
        roles = {role: limit_of(pair, role, service_us) for role in pair.daemons()}
        limits[f"service_time_us_{service_us}"] = roles
    return limits


def measure_limit(build, ports):
    """Requests a second until the 99th percentile is over its bound or requests are not done, at
    databases that answer at once and at databases that take their time."""
    result = {"read_share": LIMIT_READ_SHARE, "p99_bound_ms": LIMIT_P99_MS}
    with Cluster(build, ports) as cluster:
        pair = Pair(cluster, "limit", 6)
        pair.prepare()
        result.update(limits_of(pair))
    return result


def silent_group_point(pair, share):
    """Latency of a healthy group's callers while a share of the target rate goes to a silent group."""
    options = {
        "duration": SILENT_GROUP_SECONDS,
        "sessions": LIMIT_SESSIONS,
        "read_share": 1,
        "timeout_ms": SILENT_GROUP_TIMEOUT_MS,
        "operation_timeout_ms": SILENT_GROUP_TIMEOUT_MS,
    }
    loads = {}
    for tenant, part in zip(pair.tenants, (1 - share, share)):
        rate = round(TARGET_RATE * part)
        if rate:
            name = f"{pair.name}-{tenant}-{share}"
            loads[name] = start_load(pair.cluster, pair.forwarder, [tenant], name, rate=rate, **options)
    healthy, *silent = [end_load(pair.cluster, name, load) for name, load in loads.items()]
    fields = ("by_outcome", "by_error", "due_latency")
    point = {"share_to_silent_group": share, "rate": TARGET_RATE}
    point["healthy"] = {field: healthy[field] for field in fields}
    point["silent"] = [{field: one[field] for field in fields} for one in silent]
    return point


def silent_group_points(cluster, workers):
    """One pair of daemons with so many worker threads, before and while a group's databases answer
    nothing."""
    pair = Pair(cluster, f"silent-{workers}", 2, [f"daemon.worker_threads={workers}"])
    pair.prepare()
    points = [silent_group_point(pair, 0)]
    pair.silence(pair.groups[1:])
    return points + [silent_group_point(pair, share) for share in SILENT_GROUP_SHARES]


def measure_silent_group(build, ports):
    """What callers of a healthy group suffer at a daemon that forwards, while all databases of another
    group answer nothing; by the number of worker threads."""
    with Cluster(build, ports) as cluster:
        return {
            f"workers_{workers}": silent_group_points(cluster, workers)
            for workers in SILENT_GROUP_WORKERS
        }


def measure_storm(build, ports):
    """All callers of a daemon connect and ask at once, at one that forwards and at one that owns."""
    with Cluster(build, ports) as cluster:
        pair = Pair(cluster, "storm", 3)
        pair.prepare()
        result = {"callers": TARGET_CONNECTIONS}
        for role, daemon in pair.daemons().items():
            result[role] = []
            with Connections(cluster, daemon, pair.tenants[0]) as client:
                client.run(f"open {TARGET_CONNECTIONS}")
                for _ in range(STORMS):
                    client.run("close")
                    result[role].append(client.run(f"open {TARGET_CONNECTIONS}"))
        return result

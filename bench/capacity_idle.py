"""Parts of the capacity measurement without load: what an idle daemon costs as its groups, members and
configuration grow. Each part returns plain data for the result file."""

import time

from capacity_cluster import (
    Cluster,
    Failure,
    Group,
    await_fleet,
    group_parts,
    is_listening,
    serving_daemon,
    tenant_name,
    wait_until,
)
from capacity_probe import Memory, Reading, TcpTable

GROUP_COUNTS = (1, 2, 3, 6, 9)
MEMBER_COUNTS = (3, 6, 12, 24, 48)
TENANT_COUNTS = (100, 1000, 10000)
CONFIGURED_GROUP_COUNTS = (3, 57, 189, 567)


# Threads of an idle daemon that are told apart.
NAMED_THREADS = ("control", "prober", "evidence", "pool")

# A fresh daemon compares member lists more often for 10 s.
SETTLE_SECONDS = 12
# Two rounds of anti-entropy between members.
IDLE_SECONDS = 20


def database_ports(groups):
    """Ports of the databases, where probes go."""
    return [port for group in groups for port in group.ports]


def idle_point(daemon, before, after):
    """What an idle daemon costs between two readings, as one level of names to numbers."""
    shares = after.processor.since(before.processor)
    point = {
        "private_kb": after.memory.private,
        "resident_kb": after.memory.resident,
        "threads": after.memory.threads,
        "cpu_percent": sum(shares.values()),
    }
    point.update({f"cpu_percent_{name}": shares.get(name, 0) for name in NAMED_THREADS})
    rates = after.datagram_rates(before)
    point.update({f"between_daemons_{name}": rate for name, rate in rates.items()})
    rates = after.traffic.since(before.traffic)
    point.update({f"to_databases_{name}": rate for name, rate in rates.items()})
    return point


def summarize(points):
    """Name to mean of like daemons, and the least and the most of their memory and processor time."""
    summary = {"daemons": len(points)}
    for name in points[0]:
        values = [point[name] for point in points]
        summary[name] = round(sum(values) / len(values), 4)
        if name in ("private_kb", "cpu_percent"):
            summary[f"{name}_least"] = round(min(values), 4)
            summary[f"{name}_most"] = round(max(values), 4)
    return summary


def idle_points(fleet, before, after):
    """Points of a fleet: one for its daemons that own as many groups."""
    alike = {}
    for daemon in fleet.daemons:
        owned = len(daemon.status()["groups"])
        alike.setdefault(owned, []).append(idle_point(daemon, before[daemon], after[daemon]))
    return [
        {**fleet.parameters, "groups_owned": owned, **summarize(points)}
        for owned, points in sorted(alike.items())
    ]


def read_all(fleets):
    """Readings of all daemons of fleets."""
    table = TcpTable()
    return {
        daemon: Reading(daemon, table, database_ports(fleet.groups))
        for fleet in fleets
        for daemon in fleet.daemons
    }


class Fleet:
    """Daemons that know each other before groups of their own."""

    def __init__(self, cluster, parameters):
        self.parameters = parameters
        self.groups = cluster.add_groups(parameters["groups"])
        name = f"fleet-{parameters['members']}-{parameters['groups']}"
        path = cluster.write_configuration(name, group_parts(self.groups), len(self.groups))
        self.daemons = cluster.start_fleet(name, parameters["members"], path)


def measure_idle(build, ports):
    """Fleets that get no requests: of three daemons that own 1 to 9 groups each; and of 3 to 48 daemons
    before two groups, each owned by three of them."""
    with Cluster(build, ports) as cluster:
        sizes = [{"members": 3, "groups": count} for count in GROUP_COUNTS]
        sizes += [{"members": count, "groups": 2} for count in MEMBER_COUNTS if count > 3]
        fleets = [Fleet(cluster, parameters) for parameters in sizes]
        for fleet in fleets:
            await_fleet(fleet.daemons)
        time.sleep(SETTLE_SECONDS)
        before = read_all(fleets)
        time.sleep(IDLE_SECONDS)
        after = read_all(fleets)
        points = [point for fleet in fleets for point in idle_points(fleet, before, after)]
        forwarding = [point for fleet in fleets for point in peer_points(fleet)]
        return {
            "idle_seconds": IDLE_SECONDS,
            "processes": len(cluster.processes),
            "points": points,
            "after_forwarding": forwarding,
        }


def peer_points(fleet):
    """Memory before and after every daemon of a fleet was asked for a row of each of two groups, so that
    those that do not own them forward. Of the daemons that served."""
    before = {daemon: Memory(daemon.pid) for daemon in fleet.daemons}
    served = {daemon.name: 0 for daemon in fleet.daemons}
    for daemon in fleet.daemons:
        for index in range(min(2, len(fleet.groups))):
            served[serving_daemon(daemon, tenant_name(index))] += 1
    points = []
    for daemon in fleet.daemons:
        after = Memory(daemon.pid)
        point = {
            "zone": daemon.zone,
            "requests_served": served[daemon.name],
            "threads_more": after.threads - before[daemon].threads,
            "private_kb_more": after.private - before[daemon].private,
        }
        if served[daemon.name]:
            points.append({**fleet.parameters, **point})
    return points


def configured_groups(count, ports):
    """Groups whose databases do not run; their daemon must not begin to own them."""
    return [Group(number, ports) for number in range(1, count + 1)]


def configuration_point(cluster, name, group_count, tenant_count):
    """Memory of a daemon that has read its configuration and does not own a group yet: it looks for
    another daemon first."""
    parts = group_parts(configured_groups(group_count, cluster.ports))
    path = cluster.write_configuration(name, parts, tenant_count)
    began = time.monotonic()
    (daemon,) = cluster.start_fleet(name, 1, path, peers=f"127.0.0.1:{cluster.ports.take()}")
    wait_until(lambda: is_listening(daemon.admin_port), f"{name} listens")
    ready = time.monotonic() - began
    memory = Memory(daemon.pid)
    owned = len(daemon.status()["groups"])
    daemon.process.kill()
    daemon.process.wait()
    if owned != 0:
        raise Failure(f"{name} owned {owned} groups before it was read")
    return {
        "tenants": tenant_count,
        "groups_configured": group_count,
        "bundle_octets": path.stat().st_size,
        "start_s": round(ready, 3),
        "resident_kb": memory.resident,
        "private_kb": memory.private,
    }


def measure_configuration(build, ports):
    """Memory right after the start, by tenants and by groups in the configuration."""
    with Cluster(build, ports) as cluster:
        tenants = [configuration_point(cluster, f"t-{n}", 3, n) for n in TENANT_COUNTS]
        groups = [configuration_point(cluster, f"g-{n}", n, 100) for n in CONFIGURED_GROUP_COUNTS]
        return {"by_tenants": tenants, "by_groups": groups}

"""The deployment of a soak: its services and routes, and the operator's changes of them."""

import random
import time
from dataclasses import dataclass, field

import crowd

SERVICES = ("ledger-a", "ledger-b", "ledger-c")
MOVING = ("move-1", "move-2", "move-3")  # routes that change their service
COMING = ("come-1", "come-2")  # routes that are added and removed
STILL = {"still-a": "ledger-a", "still-b": "ledger-b"}  # constant routes, for writes
KINDS = {"still-a": "primary", "still-b": "read_your_writes"}
TIMEOUT_MS = 1500
CHANGE_PAUSES_S = (0.3, 0.8, 1.5, 3.0, 5.0)  # pauses between two changes; one is drawn and varied


@dataclass
class Version:
    """One configuration, and when the store accepted it."""

    number: int
    routes: dict  # database -> service
    sent: float = 0.0
    acknowledged: float = float("inf")


@dataclass
class Operator:
    """Changes the configuration and records when each version was in force."""

    random: random.Random
    connections: int
    filler: int = 0  # unused routes, for large configurations
    hard: bool = False  # with the routes and tenants of the hard load
    versions: list = field(default_factory=list)

    def next_version(self):
        """The next version: moves, adds or removes one route."""
        last = self.versions[-1] if self.versions else None
        routes = dict(last.routes) if last else dict(STILL) | {name: SERVICES[0] for name in MOVING}
        name = self.random.choice(MOVING + COMING) if last else None
        if name in MOVING:
            routes[name] = self.random.choice([one for one in SERVICES if one != routes[name]])
        elif name is not None:
            if routes.pop(name, None) is None:
                routes[name] = self.random.choice(SERVICES)
        number = (last.number if last else 0) + self.random.randint(1, 5)
        version = Version(number, routes)
        self.versions.append(version)
        return version

    def text_of(self, version):
        """The configuration in the operator's format."""
        routes = [route(name, service) for name, service in version.routes.items()]
        routes += [route(f"filler-{i}", SERVICES[i % len(SERVICES)]) for i in range(self.filler)]
        services = [{"name": name, "maxConns": self.connections, "syncReplicas": 1} for name in SERVICES]
        text = {"version": version.number, "routes": routes, "services": services, "limits": {"txIdleMs": 3000}}
        if self.hard:
            text["tenants"] = crowd.TENANTS
            for kind in crowd.KINDS.values():
                its = {"routeType": kind.route_type, "priority": kind.priority, "targetLatencyMs": kind.target_ms}
                routes.append(route(kind.name, kind.service) | its)
        return text


def route(name, service):
    """One route in the operator's format."""
    kind = KINDS.get(name, "bounded_staleness")
    return {
        "name": name,
        "hostname": name,
        "pathPrefix": "/",
        "routeType": kind,
        "timeoutMs": TIMEOUT_MS,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxStalenessMs": 2500,
    }


def now():
    """Seconds of the clock that all records use."""
    return time.monotonic()

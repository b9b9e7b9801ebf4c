"""The callers of the capacity measurements: held connections (capacity-client) and loads at a rate
(swiftworks-load)."""

import json
import subprocess

from capacity_cluster import Failure

LOAD_GRACE_SECONDS = 30


class Connections:
    """Connections that capacity-client holds open to one daemon. A context manager."""

    def __init__(self, cluster, daemon, tenant):
        program = cluster.build / "bench/capacity-client"
        command = [program, f"127.0.0.1:{daemon.port}", tenant]
        self.process = cluster.start(
            f"client-{daemon.name}",
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            bufsize=1,
        )

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.process.stdin.close()
        self.process.stdout.close()
        self.process.kill()
        self.process.wait()

    def begin(self, command):
        """Gives a command whose answer is not waited for."""
        self.process.stdin.write(command + "\n")

    def run(self, command):
        """Gives a command and waits for its answer."""
        self.begin(command)
        line = self.process.stdout.readline()
        answer = json.loads(line) if line else {"error": "the client has ended"}
        if "error" in answer:
            raise Failure(f"{command}: {answer['error']}")
        return answer


def load_command(cluster, daemon, tenants, name, options):
    """swiftworks-load over one daemon, its summary in a file of the name."""
    command = [cluster.build / "src/load/swiftworks-load", "--daemon", f"127.0.0.1:{daemon.port}"]
    for tenant in tenants:
        command += ["--tenant", tenant]
    command += ["--run", name, "--summary", cluster.directory / f"{name}.json"]
    for option, value in options.items():
        command += [f"--{option}"] if value is True else [f"--{option}", value]
    return command


def start_load(cluster, daemon, tenants, name, **options):
    """Starts a load in the background; options as those of swiftworks-load, with underscores."""
    options = {option.replace("_", "-"): value for option, value in options.items()}
    command = load_command(cluster, daemon, tenants, name, options)
    return cluster.start(name, command), float(options["duration"])


def end_load(cluster, name, load):
    """Waits for a load to end; returns its summary."""
    process, duration = load
    if process.wait(duration + LOAD_GRACE_SECONDS) != 0:
        raise Failure(f"the load {name} failed")
    summary = json.loads((cluster.directory / f"{name}.json").read_text(encoding="utf-8"))
    return {
        "requests": summary["requests"],
        "done_per_s": summary["done_per_s"],
        "by_outcome": summary["by_outcome"],
        "by_error": summary["by_error"],
        "replica_share": summary["reads"]["replica_share"],
        "read_latency": summary["read_latency"],
        "write_latency": summary["write_latency"],
        "due_latency": summary["due_latency"],
    }


def run_load(cluster, daemon, tenants, name, **options):
    """A load to its end; returns its summary."""
    return end_load(cluster, name, start_load(cluster, daemon, tenants, name, **options))

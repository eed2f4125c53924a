#!/usr/bin/env python3
"""Writes docs/CAPACITY.md from benchmark/capacity.json. Usage: capacity_page.py JSON PAGE

Every figure on the page is taken from the JSON or computed from it and the sizes below.
"""
import json
import sys

# Figures of runs that capacity.sh does not make.
CUSTOMERS_SECTION = """## Customers, keys and quotas

Measured once on 7 December 2026 on a busy x86-64 machine, not by `capacity.sh`. Customers have two keys each.

| series | measured | at 64,000 customers, 710 nodes | verdict |
| --- | --- | --- | --- |
| customers in configuration and table (`bench_routing`) | 382 bytes per customer | 24.4 MB per node | at risk: 76% of 32 MB |
| delta of one changed customer, 64 shards | 101 KB | 4.0 KB/s per node at 3,400 changes a day (computed) | at risk: half of 8 KB/s; 1,024 shards take a sixteenth |
| apply all customers; a change of one | 60 ms; 1.9 ms | | holds |
| lookup of a key | 115 ns | 0.013 ms/s at 111 requests/s | holds |
| quota messages per node, renewals only, 104 nodes, 8 shards | 834 bytes/s of payload | 1.06 KB/s per node in the mean (computed) | holds |
| quota messages at a home (computed) | | 94 KB/s, requests and replies together; 9,900 requests/s at 79,000 requests/s of small customers | doesn't hold: more shards are needed at that size |
"""

# Sizes expected in two years, and bounds: docs/design.md, section 1.
NODES, ENDPOINTS, SERVICES, ROUTES, CUSTOMERS = 710, 11000, 480, 6700, 64000
REQUESTS, CHANGES, FAILURES, RESTARTS = 79000, 3400, 58, 1300
DOMAINS, DOMAINS_MEASURED, DAY = 8, 4, 86400
CPU_BOUND, MEMORY_BOUND, TRAFFIC_BOUND = 4.6, 32e6, 8000
READS_BOUND, WRITES_BOUND, FORCE_BOUND = 2000, 300, 5000
# Constants of the product: RequestLedger::Limits, KeyHome::Limits, DecisionLog, MembershipTask, KeyHome.
ID_RETENTION, KEY_RETENTION, KEY_RECORDS = 120, 300, 100000
LEDGER_ANSWERS, LOG_BYTES, LOG_WRITES = 4 * 2**20, 4 * 2**20, 20
PUSH_RATE, PUSH_BURST, SYNC_INTERVAL = 5000, 64 * 2**10, 30
MIN_MARGIN = 0.25  # a smaller margin is reported as at risk

data = json.load(open(sys.argv[1]))
missing = []


class Fit:
    """Least squares fit of a line to the points of a series."""

    def __init__(self, name):
        self.name = name
        series = data.get(name)
        self.known = series is not None and len(series["points"]) >= 2
        if not self.known:
            missing.append(name)
            self.slope = self.intercept = self.residual = 0.0
            self.points = []
            return
        self.points = series["points"]
        self.unit, self.per, self.command = series["unit"], series["per"], series["command"]
        n = len(self.points)
        mx = sum(x for x, _ in self.points) / n
        my = sum(y for _, y in self.points) / n
        sxx = sum((x - mx) ** 2 for x, _ in self.points)
        self.slope = sum((x - mx) * (y - my) for x, y in self.points) / sxx if sxx else 0.0
        self.intercept = my - self.slope * mx
        top = max(abs(y) for _, y in self.points) or 1.0
        self.residual = max(abs(y - self.at(x)) for x, y in self.points) / top

    def at(self, x):
        return self.intercept + self.slope * x

    def last(self):
        """Value measured at the largest size."""
        return self.points[-1][1] if self.points else 0.0

    def largest(self):
        return self.points[-1][0] if self.points else 0


def number(value):
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def size(value):
    for unit, factor in (("MB", 1e6), ("KB", 1e3)):
        if abs(value) >= factor:
            return f"{number(value / factor)} {unit}"
    return f"{number(value)} B"


def table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    return "\n".join(lines + ["| " + " | ".join(str(c) for c in row) + " |" for row in rows])


member = Fit("member table, per member")
endpoint = Fit("member table, per endpoint")
picker = Fit("endpoint picker, per endpoint")
path = Fit("path health, per node with failures")
route_store = Fit("configuration store, per route")
service_store = Fit("configuration store, per service with 14 routes")
route_table = Fit("route table, per route")
service_copy = Fit("copy of a service without its routes, per service")
config_wire = Fit("configuration on the wire, per service with 14 routes")
bucket = Fit("rate limiter home, per customer bucket")
gate_customer = Fit("rate limiter at a gate, per customer")
ledger = Fit("request ledger, per remembered id")
key = Fit("key home, per idempotency key")
log_record = Fit("decision log, per record")
connection = Fit("idle peer connection, both ends")
rest_packets = Fit("at rest, packets/s per node")
rest_bytes = Fit("at rest, bytes/s per node")
rest_large = Fit("large fleet at rest, bytes/s per node")
digest = Fit("anti-entropy digest, per member")
records_wire = Fit("member records on the wire, per member with 15 endpoints")
change_bytes = Fit("change of an endpoint, bytes per node")
change_packets = Fit("change of an endpoint, packets per node")
change_before = Fit("before: every copy whole, change of an endpoint, bytes per node")
restart_bytes = Fit("failure and restart of a node, bytes per node")
restart_packets = Fit("failure and restart of a node, packets per node")
config_bytes = Fit("configuration change, bytes per node (3 s at rest included)")
config_packets = Fit("configuration change, packets per node (3 s at rest included)")
config_ms = Fit("configuration change, ms until the last node, slowest of 5")
change_storm_before = Fit("before: no bound, nodes that change twice a second, bytes/s per node")
change_storm = Fit("nodes that change twice a second, bytes/s per node")
loss_worst = Fit("loss of nodes, bytes/s per node in the worst second")
loss_total = Fit("loss of nodes, bytes per node in total")
return_worst = Fit("return of nodes, bytes/s per node in the worst second")
return_total = Fit("return of nodes, bytes per node in total")
partition_worst = Fit("parted from the rest, bytes/s per node in the worst second")
partition_total = Fit("parted from the rest, bytes per node in total")
heal_worst = Fit("link back, bytes/s per node in the worst second")
heal_total = Fit("link back, bytes per node in total")
heal_time = Fit("link back, s until all are alive in all views (60 or more)")
heal_total_before = Fit("before: refutations with endpoints, link back, bytes per node in total")
heard_before = Fit("before: own evidence only, members heard from within 150 s, lowest share")
heard = Fit("members heard from within 150 s, lowest share")
gossip_cpu = Fit("CPU of gossip per node (queue of the test included)")
task_cpu = Fit("CPU of membership and configuration tasks at rest, per node")
task_rest = Fit("platform calls/s at rest")
task_join = Fit("platform calls until all nodes joined")
task_change = Fit("platform calls per configuration change")
task_ms = Fit("ms until a change is in force on all, slowest of 20")
process_cpu = Fit("processes at rest, CPU per node")
process_bytes = Fit("processes at rest, gossip bytes/s per node")
process_calls = Fit("processes at rest, platform calls/s")
process_memory = Fit("processes at rest, resident memory per node")
busy_cpu = Fit("processes at 1 change/s, CPU per node")
busy_calls = Fit("processes at 1 change/s, platform calls/s")
busy_share = Fit("processes, nodes with a change 1 s after it")

# Memory at the sizes expected in two years.
members_memory = member.at(NODES) + endpoint.slope * ENDPOINTS
store_memory = route_store.at(ROUTES)
copies_before = 2 * store_memory  # owner and rate limiter home keep copies
copies_memory = 2 * service_copy.at(SERVICES)
routes_memory = route_table.at(ROUTES)
picker_memory = picker.at(ENDPOINTS)
buckets_memory = bucket.slope * CUSTOMERS / NODES
gate_customers_memory = gate_customer.at(CUSTOMERS)
ids = REQUESTS / NODES * ID_RETENTION
ledger_memory = ledger.at(ids) + LEDGER_ANSWERS
keys = REQUESTS / NODES * KEY_RETENTION
keys_memory = key.at(keys)
end_memory = connection.slope / 2
own_domain = NODES / DOMAINS
connections_near = 4 * own_domain * end_memory
connections_all = 4 * NODES * end_memory
base_memory = process_memory.last() * 1024
control_memory = base_memory + members_memory + store_memory + copies_memory + routes_memory + LOG_BYTES
control_before = control_memory - copies_memory + copies_before

# Traffic.
rest_at_size = rest_large.last() if rest_large.known else rest_bytes.at(NODES)
sync_bytes = 2 * digest.at(NODES) / SYNC_INTERVAL
config_only = config_bytes.last() - 3 * rest_bytes.last()
restarts = RESTARTS + FAILURES
daily_endpoint_changes = restarts * ENDPOINTS / NODES * 2
day_restart = restarts * restart_bytes.last() / DAY
day_endpoint = daily_endpoint_changes * change_bytes.last() / DAY
day_config = CHANGES * config_only / DAY
pull_bytes = config_wire.slope  # one changed service
day_pull = 2 * CHANGES * pull_bytes / DAY
day_bytes = rest_at_size + sync_bytes + day_restart + day_endpoint + day_config + day_pull
change_room = (TRAFFIC_BOUND - rest_at_size - sync_bytes) / change_bytes.last() if change_bytes.known else 0
change_storm_bytes = rest_at_size + sync_bytes + PUSH_RATE

# Platform. Each failure domain selects its own callers, so calls grow with the number of domains.
scale = DOMAINS / DOMAINS_MEASURED
rest_calls = task_rest.last() * scale
change_calls = task_change.last() * scale
day_calls = rest_calls + change_calls * CHANGES / DAY + LOG_WRITES
join_calls = task_join.slope * NODES
head_reads_before = SERVICES * DOMAINS
head_reads = SERVICES  # one node of the fleet reads a change of more than 16 services

cpu = max(process_cpu.last(), task_cpu.last()) + gossip_cpu.at(NODES)
domain_nodes = NODES / DOMAINS


def verdict(figure, bound, known=True, at_least=False):
    if not known:
        return "", "not measured"
    margin = figure / bound - 1 if at_least else 1 - figure / bound
    state = "doesn't hold" if margin < 0 else "at risk" if margin < MIN_MARGIN else "holds"
    return f"{100 * margin:.0f}%", state


def bound_row(name, bound, figure, slope, known=True, at_least=False, fmt=number):
    margin, state = verdict(figure, bound, known, at_least)
    sign = "at least" if at_least else "at most"
    return [name, f"{sign} {fmt(bound)}", fmt(figure) if known else "", slope, margin, state]


def per(fit, fmt=number):
    return f"{fmt(fit.slope)} {fit.unit}/{fit.per}" if fit.known else ""


if not process_memory.known:
    missing.append("base memory of a process (taken as 0)")

bounds = [
    bound_row("control plane: memory per node", MEMORY_BOUND, control_memory,
              f"{per(endpoint)}, {per(route_store)}, {per(route_table)}", process_memory.known, fmt=size),
    bound_row("same with the routes in the copies of owner and rate limiter home", MEMORY_BOUND,
              control_before, f"{per(route_store)} x 3", process_memory.known, fmt=size),
    bound_row("control plane: CPU per node, percent of a core", CPU_BOUND, cpu, per(gossip_cpu),
              gossip_cpu.known and task_cpu.known),
    bound_row("control plane: bytes/s per node at rest", TRAFFIC_BOUND, rest_at_size + sync_bytes,
              per(rest_large) + ", " + per(digest), rest_large.known),
    bound_row("control plane: bytes/s per node on an ordinary day", TRAFFIC_BOUND, day_bytes, per(change_bytes),
              change_bytes.known and restart_bytes.known),
    bound_row("control plane: bytes/s per node, endpoints change without end", TRAFFIC_BOUND, change_storm_bytes,
              per(change_storm), change_storm.known),
    bound_row("same before the bound on pushes, a whole failure domain of 25 of 200 nodes changes", TRAFFIC_BOUND,
              change_storm_before.last(), per(change_storm_before), change_storm_before.known),
    bound_row("same in the worst second, a failure domain returns", TRAFFIC_BOUND, max(0, return_worst.at(domain_nodes)),
              per(return_worst), return_worst.known),
    bound_row("configuration in force everywhere, ms (revision by gossip)", FORCE_BOUND, config_ms.at(NODES),
              per(config_ms), config_ms.known),
    bound_row("platform: calls/s at rest", READS_BOUND, rest_calls, per(task_rest), task_rest.known),
    bound_row("platform: calls/s on an ordinary day, decision records included", WRITES_BOUND, day_calls, "",
              task_change.known),
    bound_row("platform: reads when all services change at once", READS_BOUND, head_reads,
              "1 read/service, 8 in flight", True),
    bound_row("same when each failure domain reads them", READS_BOUND, head_reads_before,
              f"{DOMAINS} reads/service, 16 in flight in each", True),
    bound_row("platform: calls of a cold start of all nodes, spread over 2 s", 2 * READS_BOUND, join_calls,
              per(task_join), task_join.known),
    bound_row("majority of known nodes heard from within 150 s, percent, one domain lost", 50,
              heard.last() * (1 - 1 / DOMAINS), "", heard.known and heard.largest() >= NODES, at_least=True),
    bound_row("same before peers shared their evidence", 50, heard_before.last() * (1 - 1 / DOMAINS), "",
              heard_before.known and heard_before.largest() >= NODES, at_least=True),
    bound_row("key home: records when each request has a key", KEY_RECORDS, keys, per(key), key.known),
    bound_row("gate and owner: memory of connections within the own failure domain", MEMORY_BOUND, connections_near,
              f"{size(end_memory)} per end", connection.known, fmt=size),
    bound_row("gate and owner: memory of connections if every gate reaches every owner", MEMORY_BOUND,
              connections_all, f"{size(end_memory)} per end", connection.known, fmt=size),
    ["requests/s on one core", "at least 20,000", "", "see bench results", "", "not measured"],
    ["file descriptors and kernel memory of connections", "", "", "", "", "not measured"],
]

roles = [
    ["gate", f"endpoint loads {size(picker_memory)}; routes {size(routes_memory)}; customers up to "
     f"{size(gate_customers_memory)}; connections {size(connections_near)} in the own domain",
     f"{number(REQUESTS / NODES)} dispatches/s", "see bench results",
     "picks by load on responses; connections on demand, idle ones closed after 60 s",
     f"{number(MEMORY_BOUND / (4 * end_memory)) if end_memory else '?'} owners within 32 MB, both classes and both roles"],
    ["owner", f"request ids {size(ledger_memory)} (kept responses at their limit); copy of the services "
     f"{size(copies_memory / 2)}", f"{number(REQUESTS / NODES)} requests/s", "see bench results",
     "ids of 120 s in the ledger", f"{size(ledger.slope)} per id: {number(MEMORY_BOUND / ledger.slope / ID_RETENTION) if ledger.slope else '?'} "
     "requests/s per node fill 32 MB"],
    ["membership", f"{size(members_memory)}", f"{number(rest_packets.last())} packets/s, {size(rest_at_size)}/s at rest",
     f"{number(gossip_cpu.at(NODES))}% of a core", "SWIM; pushes within a budget; digests every 30 s",
     f"{number(change_room)} changes/s of endpoints in the fleet reach {size(TRAFFIC_BOUND)}/s; above it updates wait"],
    ["configuration watcher (one per failure domain)", f"configuration {size(store_memory)}",
     f"{number(change_calls / DOMAINS)} platform calls per change", f"{number(task_cpu.last())}% of a core with membership",
     "watch, then reads of changed services", f"{head_reads} reads by one node if all services change"],
    ["key home", f"{number(keys)} keys, {size(keys_memory)} when each request has a key",
     f"{number(REQUESTS / NODES)} claims/s at most", "not measured", "rendezvous hash over known nodes",
     f"{number(KEY_RECORDS)} records, {number(KEY_RECORDS / KEY_RETENTION)} keys/s per home"],
    ["rate limiter home", f"{number(CUSTOMERS / NODES)} buckets, {size(buckets_memory)}",
     "one lease per gate, customer and second", "not measured", "rendezvous hash over live nodes",
     f"{size(bucket.slope)} per bucket"],
    ["decision log", f"at most {size(LOG_BYTES)}, {number(LOG_BYTES / log_record.slope) if log_record.slope else '?'} records",
     f"{number(LOG_WRITES / NODES)} writes/s per node", "not measured", "one object per flush, at most 20/s in the fleet",
     "older records are dropped and counted"],
]


def traffic(fit, affected):
    """Traffic of an event that affects this many nodes; each of them has one record to propagate."""
    return max(0.0, fit.at(affected)) if fit.known else 0.0


events = []
for name, affected, worst, total, extra in [
    (f"{FAILURES} hosts fail in a day, one at a time", 1, loss_worst, loss_total,
     f"{FAILURES} times; suspect and dead without endpoints"),
    (f"{RESTARTS} restarts in a day, one at a time", 1, return_worst, return_total,
     f"each relearns {size(records_wire.at(NODES))} of members and {size(config_wire.at(SERVICES))} of configuration"
     " (once; the second and third peer send only what is newer)"),
    ("a rack of 20 hosts fails", 20, loss_worst, loss_total, "no platform call until the hosts return"),
    ("a rack of 20 hosts returns", 20, return_worst, return_total,
     f"{number(20 * task_join.slope)} platform calls; {size(20 * (records_wire.at(NODES) + config_wire.at(SERVICES)))} relearned"),
    (f"a failure domain of {number(domain_nodes)} hosts fails", domain_nodes, loss_worst, loss_total,
     "gates use other domains"),
    ("the failure domain returns", domain_nodes, return_worst, return_total,
     f"{number(domain_nodes * task_join.slope)} platform calls; "
     f"{size(domain_nodes * (records_wire.at(NODES) + config_wire.at(SERVICES)))} relearned from peers"),
    ("two regions parted for 1 minute", NODES / 2, partition_worst, partition_total,
     "each side holds the other for dead and remembers it for 450 s"),
    ("the link between the regions returns", NODES / 2, heal_worst, heal_total,
     f"all alive again in all views after {number(heal_time.last())} s at 200 nodes"),
]:
    events.append([name, size(traffic(worst, affected)) + "/s", size(traffic(total, affected)), extra])

lines = [
    "# Capacity",
    "",
    "Written by `benchmark/capacity_page.py` from `benchmark/capacity.json`, which `benchmark/capacity.sh build/release`",
    "measures. Absolute CPU times come from a shared machine. Traffic is without UDP, IP and TCP headers. Sizes in two",
    "years: section 1.4 of [the design](design.md).",
    "",
    "## Bounds",
    "",
    f"A margin below {100 * MIN_MARGIN:.0f}% counts as at risk.",
    "",
    table(["bound", "limit", "computed", "slope", "margin", "verdict"], bounds),
    "",
    "Largest contributions to the memory of the control plane: process "
    f"{size(base_memory)}, member table {size(members_memory)}, configuration store {size(store_memory)}, its copies at "
    f"owner and rate limiter home {size(copies_memory)}, route table {size(routes_memory)}, decision log {size(LOG_BYTES)}.",
    "",
    "## Roles at the size of two years",
    "",
    table(["role", "state per node", "messages", "CPU", "mechanism", "limit"], roles),
    "",
    "## An ordinary day",
    "",
    "Measured at 200 machines with 15 endpoints each, extrapolated by the count of nodes affected; traffic at rest is included, sizes above "
    "100 affected nodes (25 for losses and returns) lie outside of the measured range. Pushed updates are "
    f"bounded to {size(PUSH_RATE)}/s with a burst of {size(PUSH_BURST)} per node.",
    "",
    table(["event", "worst second per node", "in total per node", "platform calls and relearned state"], events),
    "",
    "With the platform unavailable at the same time: membership, configuration in force and serving go on from memory. "
    "Joining nodes find peers in their settings and take the configuration from 3 of them; a node without peers in its "
    f"settings waits. The {DOMAINS} watchers retry every 1 to 2 s ({number(DOMAINS / 1.5)} calls/s). Decision records wait "
    f"in {size(LOG_BYTES)} per node.",
    "",
    f"Traffic per node of an average second: at rest {size(rest_at_size)}, digests {size(sync_bytes)}, restarts "
    f"{size(day_restart)}, states of endpoints {size(day_endpoint)} ({number(daily_endpoint_changes)} changes a day), "
    f"configuration {size(day_config + day_pull)}.",
    "",
    "## Changes made because of these slopes",
    "",
    table(["change", "before", "after", "measured at"], [
        ["copies of a change without endpoints", size(change_before.last()), size(change_bytes.last()),
         f"{number(change_bytes.largest())} machines, bytes per node and change"],
        ["bound on pushed and requested updates", size(change_storm_before.last()) + "/s", size(change_storm.last()) + "/s",
         f"{number(change_storm.largest())} of 200 machines change twice a second"],
        ["refutations without endpoints", size(heal_total_before.last()), size(heal_total.last()),
         f"bytes per node in the 60 s after {number(heal_total.largest())} of 200 machines were parted"],
        ["a change of more than 16 services is read by one node", number(head_reads_before), number(head_reads),
         f"reads if {SERVICES} services change; computed from the rule, checked by membership_task_test"],
        ["copies of the services at owner and rate limiter home without routes", size(copies_before),
         size(copies_memory), f"{SERVICES} services, {ROUTES} routes, bytes per node"],
        ["peers share whom they heard from", f"{number(heard_before.last())}%", f"{number(heard.last())}%",
         f"{number(heard.largest())} machines, share heard from within 150 s"],
    ]),
    "",
    "## Fits",
    "",
    "Least squares lines; the residual is the largest distance of a point from the line, relative to the largest value.",
    "",
]
rows = []
for name in sorted(data):
    fit = Fit(name)
    if fit.known:
        rows.append([name, f"{number(fit.slope)} {fit.unit} per {fit.per}", number(fit.intercept),
                     f"{100 * fit.residual:.0f}%", ", ".join(f"{number(x)}: {number(y)}" for x, y in fit.points),
                     f"`{fit.command}`"])
lines.append(table(["series", "slope", "intercept", "residual", "points", "command"], rows))
if missing:
    lines += ["", "Not measured in this run: " + ", ".join(dict.fromkeys(missing)) + "."]
lines += ["", CUSTOMERS_SECTION.strip()]
open(sys.argv[2], "w").write("\n".join(lines) + "\n")

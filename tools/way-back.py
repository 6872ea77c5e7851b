#!/usr/bin/env python3
"""Prints how fast workers are back at work in days that were played with logs.

usage: tools/way-back.py LOG...

LOG is what `fleetbench run SITE DAY --log all` printed, such as for
deploy/days/way-back-to-work.toml. Each row gives the number of cases in all logs, the
median, the 90th percentile and the longest, in milliseconds.
"""

import collections
import datetime
import json
import re
import statistics
import sys

# Later than this, something else has brought the worker back.
LONGEST_MS = 6000


def events(path):
    """Yields (seconds since the start of traffic, event) for each log line."""
    with open(path, errors="replace") as file:
        for line in file:
            found = re.match(r"\s*(-?[\d.]+) \S+ (\{.*\})\s*$", line)
            if found:
                yield float(found[1]), json.loads(found[2])


def unix_ms(event):
    return datetime.datetime.fromisoformat(event["time"]).timestamp() * 1000


def next_after(times, start):
    """The time in ms from start to the next of times, or None."""
    later = [at - start for at in times if at >= start]
    return 1000 * min(later) if later and 1000 * min(later) < LONGEST_MS else None


def read(path):
    """Returns (what, ms) for each way back to work in one log."""
    attached = collections.defaultdict(list)
    placed = collections.defaultdict(list)
    workers = collections.defaultdict(set)
    rows = list(events(path))
    for at, event in rows:
        name = event["name"]
        if name == "worker-announced":
            workers[event["process"]].add(event["worker"])
        elif name == "worker-attached":
            attached[event["worker"]].append(at)
        elif name == "task-placed":
            placed[event["worker"]].append(at)
    ways = []
    lives = set()
    for at, event in rows:
        name = event["name"]
        if name == "worker-attached":
            life = (event["worker"], event["born"])
            if at > 0 and life not in lives:
                ways.append(
                    ("new life: born to attached", unix_ms(event) - int(event["born"]))
                )
                ways.append(
                    (
                        "new life: attached to first start",
                        next_after(placed[event["worker"]], at),
                    )
                )
            lives.add(life)
        elif name == "worker-detached":
            ways.append(
                ("session lost to attached", next_after(attached[event["worker"]], at))
            )
        elif name == "process-started" and at > 0:
            own = [t for w in workers[event["process"]] for t in attached[w]]
            ways.append(("agent started to attached", next_after(own, at)))
    return [(what, ms) for what, ms in ways if ms is not None and ms < LONGEST_MS]


def main(paths):
    if not paths:
        sys.exit(__doc__)
    found = collections.defaultdict(list)
    for path in paths:
        for what, ms in read(path):
            found[what].append(ms)
    print(f"{'':36}{'cases':>6}{'median':>9}{'p90':>9}{'longest':>9}")
    for what, times in sorted(found.items()):
        times.sort()
        p90 = times[int(len(times) * 0.9)]
        print(
            f"{what:36}{len(times):6}{statistics.median(times):9.0f}"
            f"{p90:9.0f}{times[-1]:9.0f}"
        )


if __name__ == "__main__":
    main(sys.argv[1:])

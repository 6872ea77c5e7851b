#!/usr/bin/env python3
"""Plays days of the users' bench several times and prints one row a day.

usage: tools/play-days.py BENCH WHY PLAYS[@SEED] JOBS SITE[:DAY,DAY...] ...

BENCH is the users' fleetbench, WHY goes to the journal, PLAYS is how often each
day is played, JOBS how many plays run side by side. With SEED, the plays of a day
have the seeds from SEED on; else all have the day's own. Without days, the standard
days of the site are played. A row gives the median worth and its range, what was
earned by kind of request, the largest prices and any broken rule.
"""

import concurrent.futures
import json
import os
import statistics
import subprocess
import sys
import tempfile
import tomllib


def days_of(site):
    with open(site, "rb") as file:
        return [day["name"] for day in tomllib.load(file)["day"]]


def play(bench, why, site, day, folder, number, seed):
    report = os.path.join(folder, f"{os.path.basename(site)}-{day}-{number}.json")
    command = [bench, "run", site, day, "--report", report, "--why", why]
    if seed is not None:
        command += ["--seed", str(seed + number)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    try:
        with open(report, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, json.JSONDecodeError):
        print(result.stdout[-2000:], result.stderr[-2000:], file=sys.stderr)
        raise


def row(site, day, reports):
    worths = sorted(report["G"] for report in reports)
    kinds = []
    for index, kind in enumerate(reports[0]["classes"]):
        median = statistics.median(report["classes"][index]["worth"] for report in reports)
        kinds.append(f"{kind['name']} {median:.2f}")
    prices = sorted(((price[2], price[0]) for price in reports[0]["prices"]), reverse=True)
    costs = ", ".join(f"{name} {cost:.3f}" for cost, name in prices[:2])
    broken = sum(bool(report["breaks"]) or bool(report["fault"]) for report in reports)
    short = sum(bool(report["short"]) for report in reports)
    name = os.path.basename(site).removesuffix(".toml")
    print(f"{name:28} {day:10} {statistics.median(worths):.3f} "
          f"({worths[0]:.3f} to {worths[-1]:.3f})  {', '.join(kinds)}; {costs}"
          + (f"; BROKEN in {broken}" if broken else "")
          + (f"; short of the gate in {short}" if short else ""), flush=True)
    return statistics.median(worths)


def main():
    if len(sys.argv) < 6:
        sys.exit(__doc__)
    bench, why, jobs = sys.argv[1], sys.argv[2], int(sys.argv[4])
    plays, _, seed = sys.argv[3].partition("@")
    plays, seed = int(plays), int(seed) if seed else None
    subprocess.run([bench, "build"], check=True, capture_output=True)
    with tempfile.TemporaryDirectory() as folder, \
            concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        wanted = []
        for argument in sys.argv[5:]:
            site, _, names = argument.partition(":")
            for day in names.split(",") if names else days_of(site):
                wanted.append((site, day, [pool.submit(play, bench, why, site, day, folder, number,
                                                       seed)
                                           for number in range(plays)]))
        troubled = {}
        for site, day, futures in wanted:
            worth = row(site, day, [future.result() for future in futures])
            if not day.startswith("quiet"):
                troubled.setdefault(site, []).append(worth)
    for site, worths in troubled.items():
        print(f"{site}: mean worth of {len(worths)} days with trouble {statistics.mean(worths):.3f}")


if __name__ == "__main__":
    main()

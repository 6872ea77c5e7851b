#!/usr/bin/env python3
"""Explains where the worth of days on the users' bench is lost.

usage: tools/explain-worth.py account SITE REPORT LOG [--picture FILE]
       tools/explain-worth.py play BENCH SITE DAY... [--plays N] [--jobs N]
           [--without WHAT]... [--vary SEED] [--why TEXT] [--picture FOLDER]

`account` reads the files that one play has written with `--report FILE` and
`--log all`, and prints the lost credit by kind of request, by cause and by
window of two seconds. `play` plays days and prints the same for each; more plays
add up to one account. `--without` plays a copy of the site without
`interference`, `faults`, `plan`, `closing`, or one kind of fault. The picture
(SVG or PNG, by the ending) needs python3-matplotlib.

Lost credit of a job is divided among the delays on the chain of tasks that ended
last, in proportion to their length. All shares are of the credit owed on the day.
"""

import argparse
import collections
import concurrent.futures
import json
import os
import re
import subprocess
import sys
import tempfile
import tomllib

REPORT_KEYS = ("G", "served", "parts", "prices", "classes", "windows", "events", "hints")
OBSTACLES = ("memory", "processors", "spare_processors", "tail_latency")
LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$")
OVER_TARGET = re.compile(r"for (\d+) s in all, (\d+) s of it by others' doing")


class InputError(Exception):
    pass


def load_report(path):
    try:
        with open(path, encoding="utf-8") as file:
            report = json.load(file)
    except (OSError, json.JSONDecodeError) as error:
        raise InputError(f"{path}: no report: {error}") from error
    missing = [key for key in REPORT_KEYS if key not in report]
    if missing:
        raise InputError(f"{path}: a report of another version, without {', '.join(missing)}")
    return report


def load_log(path):
    """Returns the events of the processes as (seconds, process, fields)."""
    events, ended = [], False
    with open(path, encoding="utf-8", errors="replace") as file:
        for number, line in enumerate(file, 1):
            ended = ended or line.startswith("what happened")
            match = LINE.match(line)
            if not match:
                continue
            try:
                fields = json.loads(match[3])
            except json.JSONDecodeError as error:
                raise InputError(f"{path}:{number}: {error}") from error
            if "name" not in fields:
                raise InputError(f"{path}:{number}: an event without a name")
            events.append((float(match[1]), match[2], fields))
    if not events:
        raise InputError(f"{path}: no events; the play needs --log all")
    if not ended:
        raise InputError(f"{path}: cut at {events[-1][0]:.1f} s, before the day ended")
    return sorted(events, key=lambda event: event[0])


def overlap(begin, end, spans):
    return sum(max(0, min(end, last) - max(begin, first)) for first, last in spans)


class Run:
    def __init__(self, placed_at):
        self.placed_at = placed_at
        self.ended_at = None
        self.how = "running"
        self.speeds = []

    def slowed(self, until):
        """Seconds lost to speeds below 100 percent."""
        end = self.ended_at or until
        lost, speed, since = 0, 100, self.placed_at
        for at, percent in self.speeds + [(end, 0)]:
            at = min(max(at, since), end)
            lost += (at - since) * (100 - speed) / 100
            speed, since = percent, at
        return lost


class Job:
    def __init__(self, accepted_at, steps):
        self.accepted_at = accepted_at
        self.ended_at = None
        self.state = "running"
        self.runs = [collections.defaultdict(list) for _ in steps.split(",")]
        self.obstacles = collections.Counter()
        self.steps = []
        for text in steps.split(","):
            match = re.fullmatch(r"(\d+)x(\d+):(\w+)(?:<([\d+]+))?", text)
            if not match:
                raise InputError(f"job-accepted: unknown steps '{steps}'")
            depends = [int(part) for part in match[4].split("+")] if match[4] else []
            self.steps.append((int(match[1]), int(match[2]) / 1000, depends))
        self.kind = steps.split(":")[1].split(",")[0].split("<")[0]

    def work(self, until):
        return sum(cores * ((run.ended_at or until) - run.placed_at - run.slowed(until))
                   for step, (_, cores, _) in enumerate(self.steps)
                   for runs in self.runs[step].values() for run in runs[-1:])


class Day:
    """What the log tells about one play."""

    def __init__(self, events):
        self.jobs, self.runs = {}, {}
        self.until = events[-1][0]
        self.summaries = []
        self.obstacles = collections.defaultdict(collections.Counter)
        led, attached, self.leaderless, self.detached = None, 0, [], []
        lost_at, elected_at, workers = events[0][0], None, 0
        for at, process, event in events:
            name = event["name"]
            if name == "leader-elected":
                self.leaderless.append((lost_at, at))
                led, elected_at, attached = process, at, 0
            elif name in ("leader-lost", "process-started") and process == led:
                led, lost_at = None, at
            elif name == "worker-attached" and elected_at is not None:
                attached += 1
                workers = max(workers, attached)
                if attached * 2 >= workers:
                    self.detached.append((elected_at, at))
                    elected_at = None
            elif name == "job-accepted" and event["job"] not in self.jobs:
                if "steps" not in event:
                    raise InputError("job-accepted without steps: a log of an older build")
                self.jobs[event["job"]] = Job(at, event["steps"])
            elif name == "job-ended" and event["job"] in self.jobs:
                job = self.jobs[event["job"]]
                job.ended_at, job.state = at, event["state"]
            elif name == "job-cancelled" and event["job"] in self.jobs:
                job = self.jobs[event["job"]]
                job.ended_at, job.state = job.ended_at or at, "cancelled"
            elif name == "task-placed" and event["job"] in self.jobs:
                run = Run(at)
                self.runs[f"{event['job']}.{event['step']}.{event['index']}#{event['run']}"] = run
                self.jobs[event["job"]].runs[int(event["step"])][int(event["index"])].append(run)
            elif name == "run-ended":
                key = f"{event['job']}.{event['step']}.{event['index']}#{event['run']}"
                if key in self.runs:
                    self.runs[key].ended_at, self.runs[key].how = at, event["how"]
            elif name == "speed-changed" and event["run"] in self.runs:
                self.runs[event["run"]].speeds.append((at, int(event["percent"])))
            elif name == "task-waits" and event["job"] in self.jobs:
                job = self.jobs[event["job"]]
                for obstacle in OBSTACLES:
                    job.obstacles[obstacle] += int(event[obstacle])
                    self.obstacles[job.kind][obstacle] += int(event[obstacle])
            elif name == "dispatch-summary":
                self.summaries.append((at, event))
        if led is None:
            self.leaderless.append((lost_at, self.until))

    def wait(self, causes, job, begin, end, phase):
        """Adds the causes of a wait from begin to end."""
        without = overlap(begin, end, self.leaderless)
        causes["wait: no leader"] += without
        sessions = overlap(begin, end, self.detached)
        causes["wait: no worker sessions"] += sessions
        rest = max(0, end - begin - without - sessions)
        obstacles = job.obstacles if job.obstacles.total() else self.obstacles[job.kind]
        if rest < 0.1 or not obstacles.total():
            causes["wait: commit and orders"] += rest
            return
        for obstacle, count in obstacles.items():
            causes[f"wait{phase}: {obstacle.replace('_', ' ')}"] += rest * count / obstacles.total()

    def delays(self, job):
        """Returns the seconds of each cause on the job's critical chain, and the
        seconds of undisturbed work there."""
        causes, work = collections.Counter(), 0
        ready = [job.accepted_at] * len(job.steps)
        chains = []
        for step, (count, _, depends) in enumerate(job.steps):
            begin = max([chains[index][0] for index in depends], default=job.accepted_at)
            path = max((chains[index] for index in depends), key=lambda row: row[0], default=None)
            ready[step] = begin
            tasks = job.runs[step]
            if len(tasks) < count or any(runs[-1].ended_at is None for runs in tasks.values()):
                end, last = job.ended_at or self.until, None
                for runs in tasks.values():
                    if runs[-1].ended_at is None:
                        last = runs
            else:
                last = max(tasks.values(), key=lambda runs: runs[-1].ended_at)
                end = last[-1].ended_at
            chains.append((max(end, begin), step, last, path))
        node = max(chains, key=lambda row: row[0])
        while node is not None:
            end, step, last, path = node
            first = min((runs[0].placed_at for runs in job.runs[step].values()), default=end)
            at = ready[step]
            for run in last or []:
                if run.placed_at > at:
                    self.wait(causes, job, at, min(first, run.placed_at) if first > at else at, "")
                    self.wait(causes, job, max(at, min(first, run.placed_at)), run.placed_at,
                              ", step begun")
                finish = run.ended_at or self.until
                if run.how in ("finished", "running"):
                    slowed = run.slowed(self.until)
                    causes["slowed"] += slowed
                    work += finish - run.placed_at - slowed
                else:
                    causes[f"run again: {run.how}"] += finish - run.placed_at
                at = max(at, finish)
            if at < end:
                self.wait(causes, job, at, end, "")
            node = path
        return causes, work


def job_losses(day, site_class, late_share):
    """Returns the lost share of one kind of job by cause, and by window."""
    jobs = [job for job in day.jobs.values()
            if job.kind == site_class["step_kind"] and job.state != "cancelled"]
    works = [max(job.work(day.until), 0.01) for job in jobs]
    if not jobs:
        return collections.Counter(), {}
    mean = sum(works) / len(works)
    owed, lost, windows = 0, collections.Counter(), collections.defaultdict(collections.Counter)
    for job, work in zip(jobs, works):
        weight = min(4, 0.3 + 0.7 * work / mean)
        owed += weight
        causes, chain = day.delays(job)
        objective = site_class["stretch"] * chain + site_class["aim_s"]
        elapsed = (job.ended_at or day.until) - job.accepted_at
        if job.state == "failed":
            lost["job failed"] += weight * (site_class["poison"] == 0)
            continue
        share = 1 if job.state != "completed" or elapsed > 3 * objective else (
            1 - late_share if elapsed > objective else 0)
        total = causes.total()
        if share == 0 or total <= 0:
            continue
        for cause, seconds in causes.items():
            part = weight * share * seconds / total
            lost[cause] += part
            windows[int(job.accepted_at // 2) * 2][cause] += part
    return (collections.Counter({cause: part / owed for cause, part in lost.items()}),
            {at: collections.Counter({cause: part / owed for cause, part in row.items()})
             for at, row in windows.items()})


def serving_losses(day, report):
    """Returns the lost share of serving jobs by cause."""
    owed, lost = 0, collections.Counter()
    for job in day.jobs.values():
        if job.kind != "serving":
            continue
        end = job.ended_at or day.until
        for step, (count, _, _) in enumerate(job.steps):
            owed += count * (end - job.accepted_at)
            for index in range(count):
                at = job.accepted_at
                for run in job.runs[step].get(index, []):
                    day.wait(lost, job, at, max(at, run.placed_at), "")
                    at = max(at, run.ended_at or end)
                if at < end:
                    day.wait(lost, job, at, end, "")
    match = next(filter(None, map(OVER_TARGET.search, report["hints"])), None)
    if match:
        others = int(match[2])
        lost["over target beside batch work (x4)"] = 4 * others
        lost["over target by own load"] = int(match[1]) - others
    return collections.Counter({cause: part / owed for cause, part in lost.items()}) if owed else lost


def site_classes(site):
    with open(site, "rb") as file:
        table = tomllib.load(file)
    rows = []
    for row in table["classes"]:
        shares = row.get("jobs", {}).get("shares", {})
        kind = "batch" if shares.get("fills") else "serving" if row["jobs"].get("lasts") else "short"
        rows.append({"name": row["name"], "step_kind": kind, "worth": row["worth"],
                     "late": row["late_worth"] / row["worth"], "poison": row.get("poison", 0),
                     "stretch": row["jobs"].get("stretch", 1), "aim_s": row["aim_ms"] / 1000})
    return rows


def account(site, report, day):
    """Returns rows (kind, cause, share of the credit owed) and lost by window."""
    classes = {row["name"]: row for row in site_classes(site)}
    owed = {row["name"]: classes[row["name"]]["worth"] * (row["n"] - row["not_owed"])
            for row in report["classes"]}
    total = sum(owed.values())
    rows, windows = [], collections.defaultdict(collections.Counter)
    for row in report["classes"]:
        share, lost = owed[row["name"]] / total, 1 - row["worth"]
        kind = classes[row["name"]]
        if kind["step_kind"] == "serving":
            causes = serving_losses(day, report)
        else:
            causes, by_window = job_losses(day, kind, kind["late"])
            for at, parts in by_window.items():
                for cause, part in parts.items():
                    windows[at][f"{row['name']}, {cause}"] += part * share
        rows += [(row["name"], cause, part * share) for cause, part in causes.items()]
        rows.append((row["name"], "difference from the report", (lost - causes.total()) * share))
    explained = sum(owed[row["name"]] / total * (1 - row["worth"]) for row in report["classes"])
    rows.append(("", "difference by sizes of jobs", 1 - report["served"] - explained))
    return rows, windows


def print_account(name, site, plays):
    """Prints the account of plays, each a pair of a report and a Day."""
    count, sums, windows = len(plays), collections.Counter(), collections.defaultdict(collections.Counter)
    for report, day in plays:
        rows, lost = account(site, report, day)
        for kind, cause, part in rows:
            sums[kind, cause] += part / count
        for at, causes in lost.items():
            for cause, part in causes.items():
                windows[at][cause] += part / count
    worths = sorted(report["G"] for report, _ in plays)
    served = sum(report["served"] for report, _ in plays) / count
    prices = sum(price[2] for report, _ in plays for price in report["prices"]) / count
    print(f"{name}: worth {worths[count // 2]:.3f} ({worths[0]:.3f} to {worths[-1]:.3f}), "
          f"whole day {served:.3f}, prices {prices:.3f}")
    for part in zip(*(report["parts"] for report, _ in plays)):
        values = sorted(row[2] for row in part)
        print(f"  {part[0][0]:16} weight {part[0][1]:.2f}  {values[count // 2]:.3f}")
    kinds = collections.Counter()
    for (kind, _), part in sums.items():
        kinds[kind] += part
    for kind, total in kinds.most_common():
        print(f"  lost on {kind or 'rounding'}: {total:.3f}")
        for (owner, cause), part in sums.most_common():
            if owner == kind and abs(part) >= 0.001:
                print(f"    {part:7.3f}  {cause}")
    (kind, cause), part = max(((key, part) for key, part in sums.items() if "difference" not in key[1]),
                              key=lambda row: row[1], default=(("", "nothing"), 0))
    print(f"  binds: {kind}, {cause} ({part:.3f} of the credit owed)")
    names = [window["name"] for window in plays[0][0]["windows"]]
    for index, window in enumerate(names):
        values = [report["windows"][index]["worth"] for report, _ in plays
                  if index < len(report["windows"])]
        mean = sum(values) / len(values)
        if mean < 0.75:
            causes = windows[int(float(window))].most_common(2)
            print(f"  second {window}: {mean:.2f}  "
                  + "; ".join(f"{cause} {part:.3f}" for cause, part in causes))


def draw(path, name, report, day):
    try:
        import matplotlib
    except ImportError as error:
        raise InputError("the picture needs python3-matplotlib") from error
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(3, 1, sharex=True, figsize=(11, 8),
                                   gridspec_kw={"height_ratios": [3, 3, 2]})
    axes[0].step([float(row["name"]) for row in report["windows"]],
                 [row["worth"] for row in report["windows"]], where="post")
    axes[0].set(title=name, ylabel="worth by second of hand-in", ylim=(0, 1.05))
    for key, label in (("processors", "all"), ("processors_reserved", "reserved"),
                       ("processors_spare_used", "spare, requested")):
        axes[1].plot([at for at, _ in day.summaries],
                     [int(event[key]) / 1000 for _, event in day.summaries], label=label)
    axes[1].set_ylabel("processors")
    wanted = axes[1].twinx()
    wanted.plot([at for at, _ in day.summaries],
                [int(event["tasks_waiting"]) for _, event in day.summaries],
                color="black", linewidth=0.8, label="tasks waiting (right)")
    axes[1].legend(loc="upper left")
    wanted.legend(loc="upper right")
    for index, fault in enumerate(report["events"]):
        axes[2].barh(index, fault["to_s"] - fault["at_s"], left=fault["at_s"],
                     color="tab:gray" if fault["planned"] else "tab:red")
    axes[2].set_yticks(range(len(report["events"])),
                       [fault["kind"] for fault in report["events"]], fontsize=6)
    axes[2].set(xlabel="seconds of traffic", xlim=(min(-2, axes[0].get_xlim()[0]), day.until))
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def site_without(site, what, folder):
    """Writes a copy of the site without one thing and returns its path."""
    with open(site, encoding="utf-8") as file:
        text = file.read()
    before = text
    if what == "interference":
        text = re.sub(r"presses = [\d.]+", "presses = 0.0", text)
    elif what in ("faults", "plan"):
        text = re.sub(rf"^{what} = \[\n.*?^\]$", lambda match: f"{what} = [\n" + "".join(
            line + "\n" for line in match[0].splitlines() if 'kind = "burst"' in line) + "]",
                      text, flags=re.M | re.S)
    elif what == "closing":
        text = re.sub(r"^closing = .*\n", "", text, flags=re.M)
    else:
        head, mark, days = text.partition("[[day]]")
        text = head + mark + re.sub(rf'^  \{{[^\n]*kind = "{re.escape(what)}"[^\n]*\n', "", days,
                                    flags=re.M)
    if text == before:
        raise InputError(f"{site}: nothing to leave out for '{what}'")
    path = os.path.join(folder, os.path.basename(site))
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    wire = os.path.join(os.path.dirname(site), "wire.json")
    if os.path.exists(wire) and not os.path.exists(os.path.join(folder, "wire.json")):
        os.symlink(os.path.abspath(wire), os.path.join(folder, "wire.json"))
    return path


def play(options, site, day, number, folder):
    base = os.path.join(folder, f"{day}-{number}")
    command = [options.bench, "run", site, day, "--report", base + ".json", "--log", "all",
               "--why", options.why]
    if options.vary is not None:
        command += ["--vary", "--seed", str(options.vary + number)]
    with open(base + ".log", "w", encoding="utf-8") as file:
        subprocess.run(command, stdout=file, stderr=subprocess.STDOUT, check=False)
    return load_report(base + ".json"), Day(load_log(base + ".log"))


def play_days(options):
    subprocess.run([options.bench, "build"], check=True, capture_output=True)
    with tempfile.TemporaryDirectory() as folder, \
            concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        site = options.site
        for what in options.without:
            site = site_without(site, what, folder)
        wanted = [(day, [pool.submit(play, options, site, day, number, folder)
                         for number in range(options.plays)]) for day in options.days]
        for day, futures in wanted:
            plays = [future.result() for future in futures]
            print_account(day, site, plays)
            if options.picture:
                os.makedirs(options.picture, exist_ok=True)
                draw(os.path.join(options.picture, f"{os.path.basename(day)}.svg"), day, *plays[0])


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = parser.add_subparsers(dest="verb", required=True)
    reader = verbs.add_parser("account")
    for name in ("site", "report", "log"):
        reader.add_argument(name)
    reader.add_argument("--picture")
    player = verbs.add_parser("play")
    player.add_argument("bench")
    player.add_argument("site")
    player.add_argument("days", nargs="+")
    player.add_argument("--plays", type=int, default=1)
    player.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    player.add_argument("--without", action="append", default=[])
    player.add_argument("--vary", type=int)
    player.add_argument("--why", default="account of the lost worth")
    player.add_argument("--picture")
    options = parser.parse_args()
    try:
        if options.verb == "play":
            play_days(options)
            return
        report, day = load_report(options.report), Day(load_log(options.log))
        print_account(os.path.basename(options.report), options.site, [(report, day)])
        if options.picture:
            draw(options.picture, os.path.basename(options.report), report, day)
    except (InputError, OSError, subprocess.CalledProcessError) as error:
        sys.exit(f"explain-worth: {error}")


if __name__ == "__main__":
    main()

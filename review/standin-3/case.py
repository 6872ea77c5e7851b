"""Runs one case: sets up a deployment, calls the case, writes record.txt and
ends with 1 where the rule was broken, 0 where it held, 2 where the case could
not run."""
import os
import random
import sys
import time
import traceback

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
sys.dont_write_bytecode = True

from deploy import CannotRun, Deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def new_id():
    return f"{random.getrandbits(64):016x}"


def step(count, ms, **more):
    return {"Count": count, "Cpu": 1000, "MemMb": 100, "EstimateMs": ms, **more}


def submit(d, prefix, spec, steps, job=None, tries=4):
    """As a client: hands the job in again after no response, a 502 or 504, and
    after a refusal. Returns the id where it was accepted."""
    job = job or new_id()
    for _ in range(tries):
        got = d.client("POST", prefix + job, {"Spec": spec, "Steps": steps})
        d.note("POST", path=prefix + job, spec=spec, answer=got)
        if got and 200 <= got[0] < 300:
            return job
        if got and got[0] == 404:
            return None
        time.sleep(0.5)
    return None


def state(d, prefix, job):
    got = d.client("GET", prefix + job)
    d.note("GET", path=prefix + job, answer=got)
    return got[1].get("State") if got and got[0] == 200 else got


def of_job(d, job):
    return [e for e in d.events() if e.get("task", "").startswith(job)]


def wait_for(test, seconds, period=0.005):
    """Returns the first value of `test` that counts as true, or None."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        value = test()
        if value:
            return value
        time.sleep(period)
    return None


def run(folder, body, **options):
    """Calls `body`, which returns the texts of the broken promises."""
    record = os.path.join(folder, "record.txt")
    d = None
    code = 2
    try:
        d = Deployment(**options)
        d.note("case", trouble=int(TROUBLE))
        broken = body(d)
        for e in d.events():
            at = e.pop("t") - d.t0
            what = e.pop("what")
            d.record_lines.append(f"{at:8.3f} worker {what} " + " ".join(
                f"{k}={v}" for k, v in e.items()))
        d.record_lines.sort(key=lambda line: float(line.split()[0]))
        for text in broken:
            d.note("BROKEN: " + text)
        d.note("result", broken=len(broken))
        code = 1 if broken else 0
        print("\n".join(broken) if broken else "the rule held")
    except CannotRun as fault:
        print("the case could not run:", fault)
    except Exception:
        traceback.print_exc()
    finally:
        if d is not None:
            d.close(record)
    sys.exit(code)

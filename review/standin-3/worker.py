"""A stand-in worker that follows PROTOCOL.md, "Running tasks" and "Service
discovery". One process is one life of the worker; killing it is a crash.

The Spec of a job tells how long each of its tasks works: "ms=1500", or
"lasts" for tasks that work until they are stopped. A run never ends `failed`.
Every event is written as one JSON line to the log file, with the time of
CLOCK_MONOTONIC, which all processes of this machine share.
"""
import argparse
import asyncio
import json
import os
import signal
import sys
import time

STOP_S = 0.3            # StopTimeoutMs of the sheets is 400 or more
STARTUP_S = 0.2         # a lasting task shows 100 percent after this
ENDS_AT_ONCE = 500


def parse():
    p = argparse.ArgumentParser()
    for name in ("id", "ip", "port", "agent", "service", "zone", "log"):
        p.add_argument("--" + name, required=True)
    p.add_argument("--labels", default="a,r1-1")
    p.add_argument("--cpu", type=int, default=16000)
    p.add_argument("--mem", type=int, default=64000)
    p.add_argument("--beat", type=float, default=1.1)
    p.add_argument("--hold-max-ms", type=int, default=10000)
    p.add_argument("--late", default="",
                   help="folder of orders that are carried out late")
    return p.parse_args()


def take_arm(folder, task):
    """Returns after how many seconds the order is to be carried out, or None.
    The script arms one order by a file that holds the job and that time; the
    first worker that gets a start of the job takes it."""
    path = os.path.join(folder, "arm")
    try:
        with open(path) as f:
            job, seconds = f.read().split()
        if not task.startswith(job):
            return None
        os.rename(path, path + ".taken")
        return float(seconds)
    except (OSError, ValueError):
        return None


class Worker:
    def __init__(self, args):
        self.args = args
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.log = open(args.log, "a", buffering=1)
        self.fence = 0
        self.lease = 0          # on the worker's own clock, in ms
        self.runs = {}          # task -> dict
        self.settled = {}       # task -> highest run stopped or ended here
        self.ends = []          # [n, task, run, how, saved]
        self.count = 0
        self.changed = asyncio.Event()
        self.sequence = 0
        self.state = "ready"

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def note(self, what, **more):
        self.log.write(json.dumps(dict(t=round(time.monotonic(), 4), what=what,
                                       worker=self.args.id, **more)) + "\n")

    def end(self, task, how):
        run = self.runs.pop(task)
        self.count += 1
        self.settled[task] = max(self.settled.get(task, 0), run["run"])
        self.ends.append([self.count, task, run["run"], how, ""])
        self.note("end", task=task, run=run["run"], how=how, n=self.count)
        self.changed.set()

    def tick(self):
        now = time.monotonic()
        if self.runs and self.clock() >= self.lease:
            for task in list(self.runs):
                self.end(task, "lapsed")
        for task, run in list(self.runs.items()):
            if run["stops"] is not None and now >= run["stops"]:
                self.end(task, "stopped")
            elif run["ends"] is not None and now >= run["ends"]:
                self.end(task, "done")

    def extend(self, body):
        if "DeadlineMs" in body:
            most = self.clock() + self.args.hold_max_ms
            self.lease = max(self.lease, min(body["DeadlineMs"], most))

    def fenced(self, body):
        token = body.get("FencingToken", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def start(self, body):
        task, number = body["Task"], body["Run"]
        if self.fenced(body):
            return 409, {"Reason": "fence"}
        self.extend(body)
        held = self.runs.get(task)
        if held is not None and held["run"] == number:
            return 200, {}
        if number <= self.settled.get(task, 0):
            return 409, {"Reason": "old"}
        if self.clock() >= self.lease:
            return 409, {"Reason": "late"}
        now = time.monotonic()
        spec = body["Spec"]
        work = None
        if spec.startswith("ms="):
            work = int(spec[3:]) / 1000
        self.runs[task] = {"run": number, "began": now, "stops": None,
                           "work": work,
                           "ends": None if work is None else now + work}
        self.note("start", task=task, run=number, spec=spec,
                  fence=body.get("FencingToken", 0))
        return 200, {}

    def leave_unanswered(self, body, seconds):
        """The call is still on its way, whoever has the worker's id then."""
        path = os.path.join(self.args.late, "order-" + self.args.id)
        with open(path + ".new", "w") as f:
            json.dump({"at": time.monotonic() + seconds, "body": body}, f)
        os.rename(path + ".new", path)
        self.note("unanswered", task=body["Task"], run=body["Run"],
                  fence=body.get("FencingToken", 0))

    def carry_out_late(self):
        path = os.path.join(self.args.late, "order-" + self.args.id)
        if not self.args.late or not os.path.exists(path):
            return
        with open(path) as f:
            order = json.load(f)
        if time.monotonic() < order["at"]:
            return
        os.remove(path)
        status, reply = self.start(order["body"])
        self.note("late", task=order["body"]["Task"], run=order["body"]["Run"],
                  status=status, reason=reply.get("Reason", ""))

    def stop(self, body):
        task, number = body["Task"], body["Run"]
        if self.fenced(body):
            return 409, {"Reason": "fence"}
        self.settled[task] = max(self.settled.get(task, 0), number)
        held = self.runs.get(task)
        if held is not None and held["run"] <= number and held["stops"] is None:
            held["stops"] = time.monotonic() + STOP_S
        self.note("stop", task=task, run=number)
        return 200, {}

    def percent(self, run):
        age = time.monotonic() - run["began"]
        if run["work"] is None:
            return 100 if age >= STARTUP_S else 0
        return min(99, int(100 * age / max(run["work"], 0.001)))

    async def hold(self, body):
        if self.fenced(body):
            return 409, {"Reason": "fence"}
        self.extend(body)
        seen = body.get("LastSeen", 0)
        gone = [e for e in self.ends if e[0] <= seen]
        self.ends = [e for e in self.ends if e[0] > seen]
        for e in gone:
            self.note("noted", task=e[1], run=e[2], n=e[0])
        until = time.monotonic() + min(body.get("WaitMs", 0), 2000) / 1000
        while not self.ends and time.monotonic() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       max(0.0, until - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        rows = [[t, r["run"], "", self.percent(r), 0.0]
                for t, r in self.runs.items()]
        return 200, {"Running": rows, "Finished": self.ends[:ENDS_AT_ONCE]}

    async def answer(self, method, path, headers, body):
        if path == "/healthz":
            return 200, {}
        wanted = headers.get("x-dragonflyproxy-expect-instance")
        if wanted and wanted != self.args.id:
            return 421, {}
        self.tick()
        if path == "/v1/run-start":
            if self.args.late:
                seconds = take_arm(self.args.late, body["Task"])
                if seconds is not None:
                    self.leave_unanswered(body, seconds)
                    await asyncio.sleep(3600)
            return self.start(body)
        if path == "/v1/run-stop":
            return self.stop(body)
        if path == "/v1/hold":
            return await self.hold(body)
        if path == "/v1/pace":
            return (409, {"Reason": "fence"}) if self.fenced(body) else (200, {})
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        key, value = line.split(":", 1)
                        headers[key.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                raw = await reader.readexactly(size) if size else b""
                status, reply = await self.answer(
                    method, path, headers, json.loads(raw) if raw else {})
                reply["ClockMs"] = self.clock()
                reply["born"] = self.born
                data = json.dumps(reply).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n" %
                             (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def call_agent(self, method, body):
        host, port = self.args.agent.split(":")
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port),
                                    local_addr=(self.args.ip, 0)), 1.0)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            writer.write((f"{method} /v1/instances/{self.args.id} HTTP/1.1\r\n"
                          f"Host: {self.args.agent}\r\n"
                          "Content-Type: application/json\r\n"
                          f"Content-Length: {len(data)}\r\n"
                          "Connection: close\r\n\r\n").encode() + data)
            await writer.drain()
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return int(line.split(b" ")[1])
        finally:
            writer.close()

    async def beat(self):
        a = self.args
        while True:
            self.sequence += 1
            body = {"Service": a.service, "Address": f"{a.ip}:{a.port}",
                    "Zone": a.zone, "Version": "v1", "Slots": 8,
                    "State": self.state, "ColdRemainingMs": 0,
                    "Capacity": {"Cpu": a.cpu, "MemMb": a.mem, "Gpu": 0},
                    "Labels": a.labels.split(","), "ClockMs": self.clock(),
                    "Sequence": self.sequence, "born": self.born}
            try:
                status = await self.call_agent("PUT", body)
                self.note("heartbeat", service=a.service, state=self.state,
                          sequence=self.sequence, status=status)
                await asyncio.sleep(a.beat)
            except (OSError, ValueError, IndexError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)

    async def main(self):
        server = await asyncio.start_server(self.serve, self.args.ip,
                                            int(self.args.port),
                                            reuse_address=True)
        self.note("up", born=self.born)
        self.beats = asyncio.create_task(self.beat())
        while True:
            self.carry_out_late()
            self.tick()
            await asyncio.sleep(0.01)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    asyncio.run(Worker(parse()).main())

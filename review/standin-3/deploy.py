"""A small deployment on loopback addresses: 3 edge machines with control and
entry, and one agent with a stand-in worker on each side machine. The project's
programs are started with the commands of deploy/system.toml."""
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
FRONT, READY, CONTROL, APP, INTERNAL = 8161, 8167, 8166, 8165, 7720
SERVICE, ZONE = "huvo11a", "zone-a"
HOST = "nony24.example"


class CannotRun(Exception):
    pass


def free_network():
    """Returns the first two parts of loopback addresses that nobody uses."""
    for _ in range(50):
        net = f"127.{random.randint(80, 250)}.{random.randint(1, 250)}"
        try:
            for port in (FRONT, READY, CONTROL, APP, INTERNAL, INTERNAL + 1,
                         9464, 9465, 9466):
                with socket.socket() as s:
                    s.bind((net + ".11", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback network")


def commands():
    path = os.path.join(ROOT, "deploy", "system.toml")
    with open(path, "rb") as f:
        roles = tomllib.load(f)["roles"]
    return {name: role["run"].split() for name, role in roles.items()}


class Process:
    def __init__(self, args, log, env=None):
        self.args, self.log, self.env = args, log, env
        self.p = None
        self.start()

    def start(self):
        with open(self.log, "ab") as out:
            self.p = subprocess.Popen(self.args, cwd=ROOT, env=self.env,
                                      stdin=subprocess.DEVNULL, stdout=out,
                                      stderr=subprocess.STDOUT)

    def alive(self):
        return self.p.poll() is None

    def signal(self, number):
        if self.alive():
            self.p.send_signal(number)

    def kill(self):
        if self.p is not None and self.alive():
            self.p.send_signal(signal.SIGCONT)
            self.p.kill()
        if self.p is not None:
            self.p.wait()


class Deployment:
    def __init__(self, workers=4, cpu=16000, first_label="a",
                 last_service=SERVICE):
        self.dir = tempfile.mkdtemp(prefix="review3-")
        self.net = free_network()
        self.record_lines = []
        self.lock = threading.Lock()
        self.t0 = time.monotonic()
        self.processes = []
        self.workers = {}
        self.lives = 0
        self.cpu = cpu
        self.first_label = first_label
        self.last_service = last_service
        self.worker_log = os.path.join(self.dir, "workers.log")
        open(self.worker_log, "w").close()
        self.late = os.path.join(self.dir, "late")
        os.makedirs(self.late)
        if not os.path.exists(os.path.join(ROOT, "target/dragonfly-platform")):
            raise CannotRun("target/dragonfly-platform is not built")
        self.edges = [f"{self.net}.{11 + i}" for i in range(3)]
        self.sides = [f"{self.net}.{31 + i}" for i in range(workers)]
        run = commands()
        self.control, self.entry, self.agent = {}, {}, {}
        for ip in self.edges:
            self.control[ip] = self.spawn(run["control"], "control", ip)
            self.entry[ip] = self.spawn(run["entry"], "entry", ip)
        for ip in self.sides:
            self.agent[ip] = self.spawn(run["agent"], "agent", ip)
        for ip in self.sides:
            self.start_worker(ip)

    def settings(self, role, ip):
        data = os.path.join(self.dir, f"data-{role}-{ip}")
        os.makedirs(data, exist_ok=True)
        edge = role != "agent"
        seeds = ",".join(f"{e}:{CONTROL}" for e in self.edges)
        lines = [f"Node={role}-{ip}", f"Role={role}", f"Ip={ip}",
                 f"MachineClass={'edge' if edge else 'side'}", f"Zone={ZONE}",
                 "Region=region", f"Zones.{ZONE}=region",
                 f"InternalPorts={INTERNAL},{INTERNAL + 15}", f"Seeds={seeds}",
                 "Bootstrap=true", "Limits.MemoryMb=260", "Limits.MaxFds=4100",
                 "HeartbeatMs=1100", "FaultTolerance.Machines=1",
                 "Bounds.GraceS=6", "Bounds.HoldMaxMs=10000",
                 "Bounds.StopTimeoutMs=400", "Bounds.RemoteFactor=1.5",
                 "config_mode=highest", "Orders=push",
                 "Contracts=base,drain,config,cost,recover,sched,advice,"
                 "upkeep,sharing"]
        if role == "control":
            lines += [f"Bind.Control={ip}:{CONTROL}", f"DataDir={data}",
                      "Limits.DiskMb=128", "LossCounts=true", "Serves=control"]
        elif role == "entry":
            lines += [f"Bind.Frontend={ip}:{FRONT}",
                      f"Bind.Readiness={ip}:{READY}", "Serves=edge"]
        else:
            lines += [f"Bind.Control={ip}:{CONTROL}", f"app={ip}:{APP}",
                      f"Service={self.service_of(ip)}", "Serves=side"]
        path = os.path.join(self.dir, f"{role}-{ip}.conf")
        with open(path, "w") as f:
            f.write("\n".join(lines) + "\n")
        return path

    def spawn(self, args, role, ip):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["DRAGONFLYPROXY_SETTINGS"] = self.settings(role, ip)
        p = Process(args, os.path.join(self.dir, f"{role}-{ip}.log"), env)
        self.processes.append(p)
        return p

    def service_of(self, ip):
        return self.last_service if ip == self.sides[-1] else SERVICE

    def start_worker(self, ip, name=None):
        """Starts a life of the worker, under a new id or the one that it had."""
        self.lives += 1
        name = name or f"i-{self.lives:08x}"
        args = [sys.executable, os.path.join(os.path.dirname(__file__),
                                             "worker.py"),
                "--id", name, "--ip", ip, "--port", str(APP),
                "--agent", f"{ip}:{CONTROL}",
                "--service", self.service_of(ip),
                "--zone", ZONE, "--log", self.worker_log,
                "--cpu", str(self.cpu), "--late", self.late,
                "--labels", (self.first_label if ip == self.sides[0]
                             else "a") + ",r1-1"]
        p = Process(args, os.path.join(self.dir, f"worker-{ip}.log"))
        self.processes.append(p)
        self.workers[ip] = (name, p)
        return name

    def arm_late_order(self, job, seconds):
        """The next start of the job gets no answer and is carried out late."""
        with open(os.path.join(self.late, "arm.new"), "w") as f:
            f.write(f"{job} {seconds}")
        os.rename(os.path.join(self.late, "arm.new"),
                  os.path.join(self.late, "arm"))

    def crash_worker(self, ip):
        name, p = self.workers[ip]
        p.kill()
        # What ran on it has ended by now.
        with open(self.worker_log, "a") as f:
            f.write(json.dumps({"t": round(time.monotonic(), 4), "what": "down",
                                "worker": name}) + "\n")

    def note(self, what, /, **more):
        with self.lock:
            self.record_lines.append(
                f"{time.monotonic() - self.t0:8.3f} {what} " +
                " ".join(f"{k}={v}" for k, v in more.items()))

    def events(self):
        with open(self.worker_log) as f:
            return [json.loads(line) for line in f if line.endswith("\n")]

    def call(self, method, ip, port, path, body=None, host=None, timeout=3.0):
        """Returns the status and the body, or None where there was no whole
        answer."""
        try:
            c = http.client.HTTPConnection(ip, port, timeout=timeout)
            data = json.dumps(body) if body is not None else None
            headers = {"Content-Type": "application/json"}
            if host:
                headers["Host"] = host
                headers["X-Dragonflyproxy-Deadline-Ms"] = str(
                    int(timeout * 1000))
            c.request(method, path, data, headers)
            r = c.getresponse()
            raw = r.read()
            c.close()
            return r.status, (json.loads(raw) if raw else {})
        except (OSError, http.client.HTTPException, ValueError):
            return None

    def client(self, method, path, body=None, ip=None, timeout=3.0,
               host=HOST):
        return self.call(method, ip or random.choice(self.edges), FRONT, path,
                         body, host, timeout)

    def put_config(self, version, routes, deadline_s=20):
        """As the operator: sends it again, to any daemon, until there is a
        final answer."""
        services = sorted({r["Service"] for r in routes})
        body = {"Version": version, "Routes": routes,
                "Services": [{"Name": name, "HealthPath": "/healthz",
                              "MaxConnections": 64, "Protocol": "h1",
                              "Tls": False, "AdmissionCheck": False,
                              "Standby": False} for name in services],
                "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                           "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
        until = time.monotonic() + deadline_s
        while time.monotonic() < until:
            got = self.call("PUT", random.choice(self.edges), CONTROL,
                            "/v1/config", body, timeout=2.0)
            if got and got[0] in (200, 400, 409, 412, 413, 422):
                self.note("config", version=version, status=got[0])
                return got[0]
            time.sleep(0.2)
        return None

    def route(self, name, prefix, attempts=4, priority=0, target=1000,
              slack=2.0, host=HOST, service=SERVICE):
        return {"Name": name, "Host": host, "PathPrefix": prefix,
                "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": target,
                "Priority": priority, "Service": service,
                "MaxAttempts": attempts, "SlackFactor": slack}

    def wait_ready(self, deadline_s=15):
        until = time.monotonic() + deadline_s
        while time.monotonic() < until:
            if all((self.call("GET", ip, READY, "/v1/readyz") or (0,))[0] == 200
                   for ip in self.edges):
                return
            time.sleep(0.1)
        raise CannotRun("the entries did not become ready")

    def close(self, record_path=None):
        for p in self.processes:
            p.kill()
        if record_path:
            with open(record_path, "w") as f:
                f.write("\n".join(self.record_lines) + "\n")
        if os.environ.get("KEEP"):
            print("kept", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)

"""The operator sends configurations that cannot be read in full: a field is
missing, or of another type."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
sys.dont_write_bytecode = True

from case import TROUBLE, run, step, submit  # noqa: E402
from deploy import CONTROL, SERVICE  # noqa: E402

CONFIG_APPLY_S = 2.0


def configuration(d, version, routes):
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": SERVICE, "HealthPath": "/healthz",
                          "MaxConnections": 64, "Protocol": "h1", "Tls": False,
                          "AdmissionCheck": False, "Standby": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def put(d, body):
    """As the operator: follows a redirection, and sends the same again to any
    daemon until there is a final answer."""
    until = time.monotonic() + 20
    while time.monotonic() < until:
        for ip in d.edges:
            got = d.call("PUT", ip, CONTROL, "/v1/config", body)
            if got and got[0] in (200, 400, 409, 412, 413, 422):
                d.note("PUT", version=body.get("Version"), answer=got)
                return got[0]
        time.sleep(0.2)
    raise RuntimeError("no final answer")


def read(d):
    """Returns the configuration; only the leader answers with it here, the
    others name it."""
    until = time.monotonic() + 20
    while time.monotonic() < until:
        for ip in d.edges:
            got = d.call("GET", ip, CONTROL, "/v1/config")
            if got and got[0] == 200:
                d.note("GET", version=got[1].get("Version"),
                       limits=got[1].get("Limits"),
                       routes=[r["Name"] for r in got[1]["Routes"]])
                return got[1]
        time.sleep(0.2)
    raise RuntimeError("the configuration cannot be read")


def body(d):
    both = [d.route("batch", "/lohu930/"), d.route("watch", "/pule252/")]
    broken = []
    if put(d, configuration(d, 1, both)) != 200:
        raise RuntimeError("the first configuration was refused")
    d.wait_ready()
    time.sleep(CONFIG_APPLY_S)
    valid = 1

    # Each of them drops a route besides, so that it can be told where it is in
    # force. The next valid version repairs that.
    def word_for_number(worse):
        worse["Limits"]["MaxBodyBytes"] = "lots"

    def field_missing(worse):
        del worse["Limits"]

    def no_timeout(worse):
        # Fields whose value is 0 are omitted.
        del worse["Routes"][0]["TimeoutMs"]

    for text, spoil in (("a word for MaxBodyBytes", word_for_number),
                        ("no Limits", field_missing),
                        ("a route without TimeoutMs", no_timeout)):
        if TROUBLE:
            worse = configuration(d, valid + 1, both[:1])
            spoil(worse)
            if put(d, worse) == 200:
                broken.append(f"CONFIG: a configuration with {text} is "
                              "acknowledged")
            time.sleep(CONFIG_APPLY_S)
        if read(d)["Version"] != valid:
            broken.append(f"CONFIG: the configuration with {text} is read back")
        if not submit(d, "/pule252/", "ms=200", [step(1, 200)]):
            broken.append(f"CONFIG: the configuration with {text} is in force: "
                          "a request at a route of each valid configuration "
                          "is refused with 404")
        valid += 2
        if put(d, configuration(d, valid, both)) != 200:
            raise RuntimeError("a valid configuration was refused")
        time.sleep(CONFIG_APPLY_S)
    return broken


run(HERE, body, workers=2)

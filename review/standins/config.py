"""The configuration of a small deployment, in the form of the platform's store."""

from deployment import HOST, KEY, LIMITS


def route(name, prefix, kind, service, timeout_ms, slo_ms, attempts, **more):
    return {"name": name, "hostname": HOST, "path_prefix": prefix, "route_kind": kind,
            "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": 1, "service": service,
            "max_attempts": attempts, "anonymous": False, **more}


def service(name, connections):
    return {"name": name, "health_path": "/healthz", "max_conns": connections, "protocol": "h1",
            "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0}


def config(version=7):
    return {
        "version": version,
        "routes": [
            route("r-draft", "/draft/", "streaming", "drafts", 8000, 500, 2, sticky=True,
                  resumable=True, gap_target_ms=120),
            route("r-order", "/order/", "unsafe", "desk", 1500, 100, 1),
            route("r-status", "/status/", "safe", "desk", 1500, 100, 2)],
        "services": [service("drafts", 318), service("desk", 48)],
        "limits": LIMITS,
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}]}

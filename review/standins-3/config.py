"""Configuration of the operator."""

HOST = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
          "idle_timeout_ms": 30000}


def route(name, kind, service, **more):
    return {"name": name, "hostname": HOST, "path_prefix": f"/{name}/", "route_kind": kind,
            "timeout_ms": 4000, "slo_ms": 300, "priority": 1, "service": service,
            "max_attempts": 2, "anonymous": False, "sticky": False, "resumable": False, **more}


def service(name, **more):
    return {"name": name, "health_path": "/healthz", "max_conns": 288, "protocol": "h1",
            "tls": False, "cold_start_s": 3.0, "cold_per_s": 0, **more}


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services, "limits": dict(LIMITS),
            "tenants": [{"name": TENANT, "api_keys": [KEY]}]}

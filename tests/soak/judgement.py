"""Which requests of a soak broke a promise: the rules LOST, ORDER, TWICE and REFUSED."""

import signal

from clients import DEADLINE_S, MOST_GAP_S
from deployment import BOUNDS

GRACE_S = BOUNDS["grace_s"]
LAST_SIXTH_S = GRACE_S * 5 / 6
SENT_SOON_S = 3.0  # A request sent until then may be cut off in the last sixth of the grace time.
READ_SLACK_S = 0.2
LAG_S = 0.3  # Of the stand-ins, between an event of a replica and a client that waits for it.
IN_FLIGHT_S = 0.05  # Of an event that is on its way when the client leaves.
TIMER_S = 0.002  # Deadlines are counted in whole milliseconds.
OWN_FAILURES = (502, 504)
PROMISES_NOT_RUN = (408, 421, 429, 503)


def judge(requests, runs, stops):
    """Returns the breaches, a list of texts."""
    found = (breach(one, runs, stops) for one in requests if one.ended)
    return [text for text in found if text] + [text for text in map(odd_end, stops) if text]


def odd_end(stop):
    # Before main() a signal has its default action, and no request can have come by then.
    if stop.status == 0 or (stop.status == -signal.SIGTERM and stop.how == "early"):
        return None
    return f"{stop.gateway.name} ended with {stop.status} ({stop.how})"


def breach(request, noted, stops):
    runs = noted.of.get(request.id, [])
    if request.kind in ("unsafe", "once") and len(runs) > 1:
        return f"TWICE {request.text()}{describe(runs)}"
    if request.status in PROMISES_NOT_RUN and runs:
        return f"REFUSED {request.text()}{describe(runs)}"
    if not request.complete or request.status in OWN_FAILURES:
        return lost(request, runs, request.id in noted.arrived, stops)
    if request.status not in (200, 503):
        return f"ODD STATUS {request.text()}{describe(runs)}"
    if request.status != 200 or not request.events:
        return None
    numbers = [int(line[4:]) for line in request.body.split(b"\n") if line.startswith(b"id: ")]
    if numbers == list(range(request.events)):
        return None
    return f"ORDER {request.text()}: {numbers} of {request.events}"


def abandoned(request, runs):
    """Whether the client left at its deadline, or in a silence of the replica itself."""
    if request.closed == "gap":
        # Events of a replica count until another one has taken the request over.
        ends = [run["began"] for run in runs[1:]] + [request.ended]
        sent = [at for run, end in zip(runs, ends) for at in run["events"]
                if at < end - IN_FLIGHT_S]
        return max(sent, default=request.began) <= request.ended - MOST_GAP_S + LAG_S
    return request.closed == "deadline" or \
        request.ended - request.began >= DEADLINE_S[request.kind] - TIMER_S


def lost(request, runs, passed_on, stops):
    """A request that was passed on, or read, and got no answer of a replica in its time."""
    if abandoned(request, runs):
        return None
    stop = next((one for one in reversed(stops) if one.gateway is request.gateway and
                 request.began <= (one.ended or one.at) and one.at <= request.ended), None)
    where = " without a stop" if stop is None else (
        f" SIGTERM ({stop.how}), sent {request.began - stop.at:.3f} and ended "
        f"{request.ended - stop.at:.3f} s after it, exit at {(stop.ended or 0) - stop.at:.3f}")
    if not passed_on and not request.complete:
        late = request.sent is not None and request.ended - request.sent > READ_SLACK_S
        return f"LOST, read only: {request.text()}{where}" if late else None
    if stop and runs and request.ended - stop.at >= LAST_SIXTH_S and \
            (request.sent or request.began) - stop.at <= SENT_SOON_S and \
            (runs[-1]["ended"] or request.ended) - stop.at >= LAST_SIXTH_S:
        return None
    return f"LOST {request.text()}{where}{describe(runs)}"


def describe(runs):
    return " [" + "; ".join(
        f"{run['at']} {run['began']:.3f}..{run['ended'] or 0:.3f}"
        f"{' whole' if run['whole'] else ''}" for run in runs) + "]"

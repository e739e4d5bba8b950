"""Runs a case within its time and ends every process that it has started."""

import asyncio
import os
import signal
import traceback

HELD, BROKEN, NOT_RUN = 0, 1, 2
MOST_S = 115


async def _run(case):
    task = asyncio.ensure_future(case.run())
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        return await asyncio.wait_for(task, MOST_S)
    except (Exception, asyncio.CancelledError):  # pylint: disable=broad-except
        case.record.write("the case could not run: " + traceback.format_exc())
        return NOT_RUN


async def _main(case):
    try:
        result = await _run(case)
    finally:
        case.deployment.stop()
    case.record.write(f"result {result}")
    # Ends without waiting for the stand-ins' connections.
    os._exit(result)


def run_case(make_case):
    try:
        asyncio.run(_main(make_case()))
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
    os._exit(NOT_RUN)

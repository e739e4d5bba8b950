"""The platform's limit on memory: kills a process that exceeds it, and starts it again."""

import asyncio
import signal

MEMORY_MIB = 260  # Of an entry host of the small deployments.
RESTART_S = 1.0


class Watch:
    """The platform: kills a process that uses more memory than its machine has."""

    def __init__(self, record, gateways):
        self.record, self.gateways = record, gateways
        self.ends = {gateway.name: 0 for gateway in gateways}
        self.peaks = {gateway.name: 0.0 for gateway in gateways}

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            for gateway in self.gateways:
                used = gateway.rss_mib() if gateway.running() else 0
                self.peaks[gateway.name] = max(self.peaks[gateway.name], used)
                if used <= MEMORY_MIB and gateway.running():
                    continue
                if gateway.process.poll() is None:
                    gateway.signal(signal.SIGKILL)
                    gateway.process.wait()
                self.ends[gateway.name] += 1
                self.record.write(f"{gateway.name} ended, {used:.0f} MiB of {MEMORY_MIB} MiB used")
                asyncio.ensure_future(self.restart(gateway))
                gateway.process = Restarting()

    async def restart(self, gateway):
        await asyncio.sleep(RESTART_S)
        gateway.start()


class Restarting:
    """Stands for a process between its end and its next start."""

    pid = 0

    @staticmethod
    def poll():
        return None

    @staticmethod
    def send_signal(number):
        pass

    @staticmethod
    def wait():
        pass

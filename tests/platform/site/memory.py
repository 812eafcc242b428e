"""Watches the resident memory of a site, and the load of the machine."""

import os

import anyio

_MIB = 1024 * 1024


class Memory:
    """The greatest resident memory seen, in MiB, and the greatest load."""

    def __init__(self, processes):
        self._processes = processes
        self.host_mib = 0.0
        self.hosts_mib = 0.0
        self.all_mib = 0.0
        self.processes = 0
        self.load_average = 0.0

    async def watch(self):
        while True:
            found = self._processes.resident_bytes()
            hosts = [
                size for name, size in found.items() if name.startswith("host")
            ]
            self.host_mib = max(self.host_mib, max(hosts, default=0) / _MIB)
            self.hosts_mib = max(self.hosts_mib, sum(hosts) / _MIB)
            self.all_mib = max(self.all_mib, sum(found.values()) / _MIB)
            self.processes = max(self.processes, len(found))
            self.load_average = max(self.load_average, os.getloadavg()[0])
            await anyio.sleep(0.5)

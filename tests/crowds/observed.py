"""What a process holds: memory, bytes in the system's buffers, and descriptors."""

from pathlib import Path


class ObservedProcess:
    """Read what the system tells of a process.

    :param pid: its id.
    :param ports: ports on which it serves callers.
    """

    def __init__(self, pid, ports):
        self._folder = Path(f"/proc/{pid}")
        self._ports = set(ports)
        self.most_bytes = 0
        self.most_descriptors = 0

    def look(self):
        """Record the memory that it holds now, buffers of connections included."""
        held = self._read_status("VmRSS") + self._count_buffered_bytes()
        self.most_bytes = max(self.most_bytes, held, self._read_status("VmHWM"))
        count = len(list((self._folder / "fd").iterdir()))
        self.most_descriptors = max(self.most_descriptors, count)

    def _read_status(self, name):
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith(f"{name}:"):
                return 1024 * int(line.split()[1])
        raise AssertionError(f"{name}: the process has ended")

    def _count_buffered_bytes(self):
        """Return the bytes of its connections that callers, or it, haven't read."""
        total = 0
        for line in (self._folder / "net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            is_listening = fields[3] == "0A"
            port = int(fields[1].rpartition(":")[2], 16)
            if port in self._ports and not is_listening:
                unacknowledged, unread = fields[4].split(":")
                total += int(unacknowledged, 16) + int(unread, 16)
        return total

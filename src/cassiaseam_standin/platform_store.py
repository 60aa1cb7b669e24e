"""Objects, watches and VM list of the stand-in platform, without I/O."""

from collections.abc import Callable
from dataclasses import dataclass, field
from operator import itemgetter
from typing import Any

# Older versions of the VM list are needed only within its lag.
MAX_VM_CHANGES = 100_000


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object; `version` is the revision of the store that wrote it."""

    key: str
    version: int
    content: Any

    def describe(self) -> dict[str, Any]:
        """Return the object as the HTTP interface shows it."""
        return {'key': self.key, 'version': self.version, 'value': self.content}


@dataclass(frozen=True, slots=True)
class Watch:
    """Long poll for objects under `prefix` with a version above `after`."""

    prefix: str
    after: int
    notify: Callable[[], None]


@dataclass(slots=True)
class ObjectStore:
    """Versioned objects.

    Attributes:
        revision: Revision of the latest write to any object.
        objects: Objects by key.
        watches: Long polls that wait for a write.
        era: Number that rises by one with each restore.
        former: Key and former object of each write, oldest first.
    """

    revision: int = 0
    objects: dict[str, StoredObject] = field(default_factory=dict)
    watches: list[Watch] = field(default_factory=list)
    era: int = 1
    former: list[tuple[str, StoredObject | None]] = field(default_factory=list)

    def find_version(self, key: str) -> int:
        """Return the version of an object, 0 if it does not exist."""
        stored = self.objects.get(key)
        return stored.version if stored else 0

    def write_object(self, key: str, expected_version: int, content: Any) -> int | None:
        """Write an object if its version is `expected_version`.

        Returns:
            The new version, or None on a conflict.
        """
        if self.find_version(key) != expected_version:
            return None
        self.former.append((key, self.objects.get(key)))
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, content)
        self.notify_watches(key)
        return self.revision

    def restore(self, writes: int) -> None:
        """Lose the latest writes, as a store does that comes back from a copy."""
        for _ in range(min(writes, len(self.former))):
            key, former = self.former.pop()
            self.revision -= 1
            if former is None:
                del self.objects[key]
            else:
                self.objects[key] = former
        self.era += 1

    def list_objects(self, prefix: str, after: int = 0) -> list[StoredObject]:
        """Return the objects under `prefix` with a version above `after`, oldest write first."""
        found = [
            stored
            for stored in self.objects.values()
            if stored.version > after and stored.key.startswith(prefix)
        ]
        return sorted(found, key=lambda stored: stored.version)

    def notify_watches(self, key: str) -> None:
        """Answer the long polls that wait for `key`."""
        for watch in tuple(self.watches):
            if key.startswith(watch.prefix):
                self.remove_watch(watch)
                watch.notify()

    def remove_watch(self, watch: Watch) -> None:
        """Remove a long poll that was answered or cancelled."""
        if watch in self.watches:
            self.watches.remove(watch)


@dataclass(slots=True)
class VmList:
    """List of VMs that lags behind the changes.

    Attributes:
        changes: Times in seconds, names and entries, oldest first; None removes a VM.
    """

    changes: list[tuple[float, str, dict[str, Any] | None]] = field(default_factory=list)

    def record_change(self, name: str, entry: dict[str, Any] | None, now: float) -> None:
        """Register, change or remove a VM."""
        self.changes.append((now, name, entry))
        del self.changes[:-MAX_VM_CHANGES]

    def list_vms(self, until: float) -> list[dict[str, Any]]:
        """Return the list as it was at the time `until` in seconds, by name."""
        vms: dict[str, dict[str, Any]] = {}
        for changed_at, name, entry in self.changes:
            if changed_at > until:
                break
            if entry is None:
                vms.pop(name, None)
            else:
                vms[name] = {**entry, 'name': name}
        return sorted(vms.values(), key=itemgetter('name'))

"""The file system interface of the journal, so that tests can replace it with `faulty.FaultyDisk`."""

import os


class Disk:
    """Files of one folder, by name. Every method may raise OSError."""

    def __init__(self, folder):
        self.folder = str(folder)

    def path(self, name):
        return os.path.join(self.folder, name)

    def names(self):
        return sorted(os.listdir(self.folder))

    def size(self, name):
        return os.stat(self.path(name)).st_size

    def create(self, name):
        """Creates an empty file for appending and returns its handle."""
        return os.open(self.path(name), os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)

    def write(self, handle, data):
        """Writes and returns the number of bytes written, possibly fewer than given."""
        return os.write(handle, data)

    def truncate(self, handle, size):
        os.ftruncate(handle, size)

    def cut(self, name, size):
        os.truncate(self.path(name), size)

    def sync(self, handle):
        os.fdatasync(handle)

    def sync_folder(self):
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def duplicate(self, handle):
        """Duplicates a handle, so that the copy can be synced and closed independently."""
        return os.dup(handle)

    def close(self, handle):
        os.close(handle)

    def read(self, name, at=0, size=-1):
        with open(self.path(name), "rb") as file:
            file.seek(at)
            return file.read(size)

    def rename(self, name, other):
        os.replace(self.path(name), self.path(other))

    def remove(self, name):
        os.unlink(self.path(name))

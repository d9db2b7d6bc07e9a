"""The file system interface of the journal, so that tests can replace it with `faulty.FaultyDisk`."""

import os


class Disk:
    """Files of one folder, by name. Every method may raise OSError."""

    def __init__(self, folder):
        self.folder = str(folder)

    def path(self, name):
        """The path of a file in the folder."""
        return os.path.join(self.folder, name)

    def names(self):
        """The sorted names of all files in the folder."""
        return sorted(os.listdir(self.folder))

    def size(self, name):
        """The size of a file in bytes."""
        return os.stat(self.path(name)).st_size

    def create(self, name):
        """Creates an empty file for appending and returns its handle."""
        return os.open(self.path(name), os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)

    def write(self, handle, data):
        """Writes and returns the number of bytes written, possibly fewer than given."""
        return os.write(handle, data)

    def truncate(self, handle, size):
        """Truncates an open file to `size` bytes."""
        os.ftruncate(handle, size)

    def cut(self, name, size):
        """Truncates a file, given by name, to `size` bytes."""
        os.truncate(self.path(name), size)

    def sync(self, handle):
        """Syncs a file's data to disk."""
        os.fdatasync(handle)

    def sync_folder(self):
        """Syncs the folder, so that created, renamed and removed files survive a power failure."""
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
        """Reads up to `size` bytes from offset `at`; all that follow if `size` is negative."""
        with open(self.path(name), "rb") as file:
            file.seek(at)
            return file.read(size)

    def rename(self, name, other):
        """Renames a file, replacing the file that has the new name."""
        os.replace(self.path(name), self.path(other))

    def remove(self, name):
        os.unlink(self.path(name))

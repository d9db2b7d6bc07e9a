"""Standard modules that trio imports for features which a relay doesn't use: they are loaded at first use.

A relay speaks plain TCP, so TLS (`ssl`) and DTLS (`hmac`) are never used. With the libraries behind them they
take 5 MB of a relay's memory, which may be 32 MB in all.
"""

import importlib
import sys
import types

UNUSED_MODULES = ("ssl", "hmac")


class DeferredModule(types.ModuleType):
    """Stands in for a module until one of its attributes is used, which loads it."""

    def __getattr__(self, name):
        if name.startswith("__"):  # the import system looks for these
            raise AttributeError(name)
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        return getattr(importlib.import_module(self.__name__), name)


def defer(names=UNUSED_MODULES):
    """Defers the modules that are not loaded yet. Called before trio is imported."""
    for name in names:
        sys.modules.setdefault(name, DeferredModule(name))

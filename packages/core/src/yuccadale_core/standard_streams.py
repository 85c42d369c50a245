"""Standard streams of a process that was started without some of them."""

from yuccadale_core._internal.standard_streams import open_standard_streams

__all__ = ['open_standard_streams']

"""Choice of the instance that sends to a server, the same on all instances."""

from collections.abc import Callable, Iterable
from hashlib import blake2b

from yuccadale_edge._internal.model import Place
from yuccadale_edge._internal.system_view import Instance

IsSuspected = Callable[[Instance], bool]


def choose_sender(
    hash_key: str,
    data_centre: str,
    instances: Iterable[Instance],
    place: Place,
    suspected: IsSuspected,
) -> Instance | None:
    """Returns the instance that sends to a server; None if none is usable.

    Uses rendezvous hashing, so that the loss of an instance changes the sender
    of its own servers only. Instances in the given data centre come first, to
    avoid another hop between data centres, then those in its region.
    """
    region = place.region_by_data_centre.get(data_centre)

    def rank(instance: Instance) -> tuple[bool, bool, bytes]:
        instance_region = place.region_by_data_centre.get(instance.data_centre)
        return (
            instance.data_centre == data_centre,
            instance_region == region,
            _weight(hash_key, instance.name),
        )

    usable = [one for one in instances if not suspected(one)]
    return max(usable, key=rank, default=None)


def _weight(hash_key: str, instance: str) -> bytes:
    return blake2b(f'{hash_key}|{instance}'.encode(), digest_size=8).digest()

"""Choice of the instance that sends to a server, the same on all instances."""

from collections.abc import Callable, Iterable
from hashlib import blake2b
from heapq import nlargest
from math import log

from yuccadale_edge._internal.model import Place
from yuccadale_edge._internal.system_view import Instance

_DIGEST_BYTES = 6
_DIGESTS = 1 << (_DIGEST_BYTES * 8)
_MIN_CAPACITY = 1e-3

IsSuspected = Callable[[Instance], bool]


def choose_sender(
    hash_key: str,
    data_centre: str,
    instances: Iterable[Instance],
    place: Place,
    suspected: IsSuspected,
) -> Instance | None:
    """Returns the instance that sends to a server; None if none is usable.

    Uses weighted rendezvous hashing, so that the loss of an instance changes
    the sender of its own servers only, and instances send in proportion to
    their capacity. Instances in the given data centre come first, to avoid
    another hop between data centres, then those in its region.
    """
    usable = [one for one in instances if not suspected(one)]
    preference = _preference(hash_key, data_centre, place)
    return max(usable, key=preference, default=None)


def first_senders(
    hash_key: str,
    data_centre: str,
    instances: Iterable[Instance],
    place: Place,
    count: int,
) -> list[Instance]:
    """Returns the sender of a server and those that would replace it, in order.

    Args:
        hash_key: see ``choose_sender``, like the other arguments.
        data_centre: of the server.
        instances: all candidates.
        place: names the regions.
        count: the number of instances to return, if there are as many.
    """
    preference = _preference(hash_key, data_centre, place)
    return nlargest(count, instances, key=preference)


def _preference(
    hash_key: str, data_centre: str, place: Place
) -> Callable[[Instance], tuple[bool, bool, float]]:
    region = place.region_by_data_centre.get(data_centre)

    def preference(instance: Instance) -> tuple[bool, bool, float]:
        instance_region = place.region_by_data_centre.get(instance.data_centre)
        return (
            instance.data_centre == data_centre,
            instance_region == region,
            _weight(hash_key, instance),
        )

    return preference


def _weight(hash_key: str, instance: Instance) -> float:
    digest = blake2b(
        f'{hash_key}|{instance.name}'.encode(), digest_size=_DIGEST_BYTES
    ).digest()
    share = (int.from_bytes(digest) + 1) / _DIGESTS
    # An instance that runs an earlier version reports no capacity.
    return log(share) / max(instance.capacity, _MIN_CAPACITY)

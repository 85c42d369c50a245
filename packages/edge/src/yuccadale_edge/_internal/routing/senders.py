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
# Part of the highest capacity in the region with which a machine is capable of
# sending for many instances. One sender carries all requests of a data centre
# to a service without keys, which fills the link of a small machine.
_CAPABLE_SHARE = 0.25

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
    the sender of its own servers only. Capable machines of the region of the
    given data centre come first, then others of that region; among them those
    in the data centre, to avoid another hop.
    """
    usable = [one for one in instances if not suspected(one)]
    preference = _preference(hash_key, data_centre, usable, place)
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
    candidates = list(instances)
    preference = _preference(hash_key, data_centre, candidates, place)
    return nlargest(count, candidates, key=preference)


def _preference(
    hash_key: str, data_centre: str, instances: list[Instance], place: Place
) -> Callable[[Instance], tuple[bool, bool, bool, float]]:
    region_of = place.region_by_data_centre
    region = region_of.get(data_centre)
    most = max(
        (
            one.capacity
            for one in instances
            if region_of.get(one.data_centre) == region
        ),
        default=0,
    )

    def preference(instance: Instance) -> tuple[bool, bool, bool, float]:
        return (
            region_of.get(instance.data_centre) == region,
            instance.capacity >= most * _CAPABLE_SHARE,
            instance.data_centre == data_centre,
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

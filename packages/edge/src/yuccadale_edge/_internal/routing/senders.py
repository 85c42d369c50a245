"""Which instance sends to a server, as all instances compute it alike."""

from collections.abc import Callable, Iterable
from hashlib import blake2b

from yuccadale_edge._internal.system_view import Instance
from yuccadale_edge._internal.model import Place

Suspect = Callable[[Instance], bool]


def choose_sender(
    subject: str,
    data_centre: str,
    instances: Iterable[Instance],
    place: Place,
    suspected: Suspect,
) -> Instance | None:
    """Returns the instance with the highest rank near a data centre.

    Rendezvous hashing: a lost instance moves only what it sent to, and an
    instance in the server's own data centre saves the second way.
    """
    region = place.region_by_data_centre.get(data_centre)

    def rank(instance: Instance) -> tuple[bool, bool, bytes]:
        own = place.region_by_data_centre.get(instance.data_centre)
        return (
            instance.data_centre == data_centre,
            own == region,
            _weight(subject, instance.name),
        )

    usable = [one for one in instances if not suspected(one)]
    return max(usable, key=rank, default=None)


def _weight(subject: str, instance: str) -> bytes:
    return blake2b(f'{subject}|{instance}'.encode(), digest_size=8).digest()

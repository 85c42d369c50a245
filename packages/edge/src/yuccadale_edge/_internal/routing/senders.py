"""Which instance sends to a server, as all instances compute it alike."""

from collections.abc import Callable, Iterable
from hashlib import blake2b

from yuccadale_edge._internal.beliefs import Instance
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
    best: tuple[int, bytes, Instance] | None = None
    for instance in instances:
        if suspected(instance):
            continue
        near = 0
        if instance.data_centre == data_centre:
            near = 2
        elif place.region_by_data_centre.get(instance.data_centre) == region:
            near = 1
        rank = (near, _weight(subject, instance.name), instance)
        if best is None or rank[:2] > best[:2]:
            best = rank
    return None if best is None else best[2]


def _weight(subject: str, instance: str) -> bytes:
    return blake2b(f'{subject}|{instance}'.encode(), digest_size=8).digest()

"""Shares of instances of different capacity among the senders of servers."""

from collections import Counter

from yuccadale_edge._internal.model import Place
from yuccadale_edge._internal.routing.senders import choose_sender
from yuccadale_edge._internal.system_view import Instance

_PLACE = Place('a', 'north', {'a': 'north'})
_SERVERS = 400


def _senders(capacity_by_name: dict[str, float]) -> Counter[str]:
    instances = [
        Instance(name, ('127.0.0.1', 1), 'a', capacity)
        for name, capacity in capacity_by_name.items()
    ]
    chosen = [
        choose_sender(f's{number}', 'a', instances, _PLACE, lambda _: False)
        for number in range(_SERVERS)
    ]
    return Counter(one.name for one in chosen if one is not None)


def test_a_small_machine_sends_to_no_service() -> None:
    """Guards against one slow link for all requests of a data centre."""
    small = {f'small-{number}': 2.0 for number in range(40)}
    assert set(_senders(small | {'large': 215})) == {'large'}


def test_a_small_machine_sends_to_few_servers() -> None:
    """Guards against a slow link that carries as much as a fast one."""
    senders = _senders({'large': 200, 'medium': 60, 'small': 2})
    assert senders['large'] > senders['medium'] * 2
    assert not senders['small']


def test_a_lost_instance_changes_its_own_servers_only() -> None:
    """Guards against queues that all move when one instance is lost."""
    before = {'p': 10.0, 'q': 20.0, 'r': 30.0}
    after = before.copy()
    after.pop('p')
    kept = _senders(before)
    assert _senders(after)['q'] >= kept['q']
    assert _senders(after)['r'] >= kept['r']


def test_equal_machines_share_the_servers() -> None:
    """Guards against a bias where capacities are equal, or not reported."""
    for capacity in (0, 50):
        senders = _senders(dict.fromkeys('pqrs', capacity))
        assert min(senders.values()) > _SERVERS / 4 * 0.7

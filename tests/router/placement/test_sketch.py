"""Space-saving sketch of hot keys."""

import random
from collections import Counter

from yuccadale_router._internal.placement import HotKeySketch


def _skewed_keys(seed: int, count: int) -> list[str]:
    randomness = random.Random(seed)
    return [f'k{int(randomness.paretovariate(0.8))}' for _ in range(count)]


def test_memory_is_bounded_and_heavy_keys_are_found():
    """Guards against unbounded memory and missed hot keys."""
    sketch = HotKeySketch(100)
    keys = _skewed_keys(1, 20_000)
    for key in keys:
        sketch.add(key, 1)
    true_weights = Counter(keys)
    found = {hot_key.key for hot_key in sketch.heaviest(10)}
    assert len(sketch) == 100
    assert {key for key, _ in true_weights.most_common(10)} == found


def test_true_weight_is_within_the_bounds():
    """Guards against bounds that exclude the true weight."""
    sketch = HotKeySketch(50)
    keys = _skewed_keys(2, 5000)
    for key in keys:
        sketch.add(key, 1)
    true_weights = Counter(keys)
    for hot_key in sketch.heaviest(50):
        assert hot_key.guaranteed <= true_weights[hot_key.key] <= hot_key.weight


def test_merge_of_heaviest_keys_keeps_the_heaviest():
    """Guards against missing keys that are hot only over all instances."""
    merged = HotKeySketch(100)
    keys = _skewed_keys(3, 20_000)
    for part in range(4):
        sketch = HotKeySketch(100)
        for key in keys[part::4]:
            sketch.add(key, 1)
        merged.merge(sketch.heaviest(32))
    heaviest = Counter(keys).most_common(5)
    found = {hot_key.key for hot_key in merged.heaviest(5)}
    assert found == {key for key, _ in heaviest}


def test_decay_lets_new_keys_overtake():
    """Guards against formerly hot keys that stay the heaviest."""
    sketch = HotKeySketch(10)
    sketch.add('old', 1000)
    for _ in range(10):
        sketch.decay(0.5)
        sketch.add('new', 1)
    assert sketch.heaviest(1)[0].key == 'new'

"""Hypothesis strategies for bundles, and the settings of all properties."""

import hypothesis
from hypothesis import strategies

from sedgering import bundle as bundles

MESH = 'mesh'
NAMES = [f'n{number}' for number in range(6)]

#: The same examples every run, no database, no wall-clock deadline.
PROPERTY = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def subsets(least: int = 0):
    """Make lists of different names."""
    return strategies.lists(
        strategies.sampled_from(NAMES), min_size=least, unique=True
    )


@strategies.composite
def valid_bundles(draw) -> bundles.Bundle:
    """Draw a bundle that is valid."""
    policies = [
        bundles.Policy(
            name,
            timeout_ms=draw(strategies.integers(1, 60_000)),
            attempts=draw(strategies.integers(1, 5)),
        )
        for name in draw(subsets(1))
    ]
    target_sets = [
        bundles.TargetSet(
            name, 'party', slots=draw(strategies.integers(1, 40))
        )
        for name in draw(subsets(1))
    ]
    routes = [
        _draw_route(draw, name, policies, target_sets)
        for name in draw(subsets())
    ]
    return bundles.make_bundle(
        MESH,
        policies,
        target_sets,
        routes,
        _draw_workspaces(draw),
        _draw_keyed(draw, routes),
    )


def _draw_workspaces(draw) -> list[bundles.Workspace]:
    """Draw workspaces, mostly none; each key has at most one holder."""
    if draw(strategies.booleans()):
        return []
    keys = iter(draw(strategies.permutations(range(12))))
    return [
        bundles.Workspace(
            name,
            tuple(
                f'{next(keys):064x}'
                for _ in range(draw(strategies.integers(0, 2)))
            ),
            priority=draw(strategies.integers(0, 1)),
            rate_per_s=draw(strategies.integers(0, 300)),
            burst=draw(strategies.integers(0, 300)),
        )
        for name in draw(subsets())
    ]


def _draw_keyed(draw, routes) -> list[str]:
    if not routes or draw(strategies.booleans()):
        return []
    names = [route.name for route in routes]
    return draw(strategies.lists(strategies.sampled_from(names), unique=True))


def _draw_route(draw, name, policies, target_sets) -> bundles.Route:
    chosen = draw(
        strategies.lists(
            strategies.sampled_from(target_sets),
            min_size=1,
            max_size=3,
            unique=True,
        )
    )
    shares = tuple(
        bundles.WeightedTargetSet(item.name, draw(strategies.integers(1, 9)))
        for item in chosen
    )
    return bundles.Route(
        name,
        'party',
        f'{name}.example',
        draw(strategies.sampled_from(['/', '/a', '/a/b'])),
        shares,
        draw(strategies.sampled_from(policies)).name,
        repeatable=draw(strategies.booleans()),
    )

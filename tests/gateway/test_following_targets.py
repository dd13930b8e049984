"""A gateway routes to and takes witnesses from followed data centres."""

from types import SimpleNamespace

import pytest

from verbenamux_config.entities import Target, TargetKind
from verbenamux_config.state import Configuration
from verbenamux_gateway.gateway import Gateway

TARGETS = {
    name: Target(name, TargetKind.ENGINE, '127.0.0.1:1', data_centre)
    for name, data_centre in (('a', 'north'), ('b', 'lake'), ('c', 'oasis'))
}


@pytest.mark.parametrize(
    ('follow', 'names'),
    [((), 'abc'), (('north',), 'a'), (('lake', 'oasis'), 'bc')],
)
def test_targets_of_the_data_centres_followed(
    follow: tuple[str, ...],
    names: str,
) -> None:
    gateway = SimpleNamespace(
        settings=SimpleNamespace(follow=follow),
        configuration=Configuration(targets_by_name=TARGETS),
    )
    followed = Gateway.followed_targets(gateway)
    assert [target.name for target in followed] == list(names)

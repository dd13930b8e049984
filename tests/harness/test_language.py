"""The scenario language."""

import pytest

from verbenamux_harness.language import (
    Expectation,
    LoadClause,
    MutantClause,
    ScenarioSyntaxError,
    Step,
    parse_scenarios,
)
from verbenamux_harness.soak import describe_steps, draw_scenario

TEXT = """
# A comment.
scenario first-one
  promise whole-answer, at-most-once
  fleet addis gateways=3 service_work=150ms fencing=no
  balancer favours first 4
  load stream 2.5/s from opera output_tokens=40 start=3s
  for 7s
  at 500ms fault log down=true delay_ms=4
  at 2s kill agent-engine-0 engine-1
  without resume at gateway-* breaks expectations
  expect whole at least 99.5% of opera-stream

scenario second
  expect rate_exceeded at most 0% of all
"""


def test_every_clause_is_parsed() -> None:
    first, second = parse_scenarios(TEXT)
    assert first.promises == ['whole-answer', 'at-most-once']
    assert first.fleet == 'addis'
    assert first.fleet_options == {
        'gateways': 3,
        'service_work': '150ms',
        'fencing': 'no',
    }
    assert first.first_gateway_weight == 4
    options = {'output_tokens': 40, 'start': '3s'}
    assert first.loads == [LoadClause('stream', 2.5, 'opera', options)]
    assert first.seconds == 7
    assert first.steps == [
        Step(0.5, 'fault', ('log',), {'down': 'true', 'delay_ms': 4}),
        Step(2, 'kill', ('agent-engine-0', 'engine-1')),
    ]
    assert first.mutants == [
        MutantClause('resume', 'gateway-*', 'expectations'),
    ]
    assert first.expectations == [
        Expectation('whole', at_least=True, share=0.995, kind='opera-stream'),
    ]
    assert not second.expectations[0].at_least


@pytest.mark.parametrize(
    'text',
    [
        'scenario',
        'scenario a\n  sometimes',
        'scenario a\n  at soon kill b',
        'scenario a\n  load chat from b',
    ],
)
def test_bad_text_is_a_typed_error_with_its_line(text: str) -> None:
    with pytest.raises(ScenarioSyntaxError, match='line'):
        parse_scenarios(text)


def test_seed_draws_the_same_faults_again() -> None:
    draws = [list(describe_steps(draw_scenario(7))) for _ in range(2)]
    assert draws[0] == draws[1]
    assert draws[0] != list(describe_steps(draw_scenario(8)))

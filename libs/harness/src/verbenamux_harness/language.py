"""The scenario language: parsing a text into scenarios."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput

GRAMMAR = r"""
start: _NL* scenario*
scenario: "scenario" WORD _NL+ clause*
?clause: promise | fleet | balancer | load | length | step | mutant | expect
promise: "promise" WORD ("," WORD)* _NL+
fleet: "fleet" WORD option* _NL+
load: "load" WORD RATE "from" WORD option* _NL+
balancer: "balancer" "favours" "first" NUMBER _NL+
length: "for" TIME _NL+
step: "at" TIME WORD argument* _NL+
mutant: "without" WORD "at" WORD "breaks" WORD _NL+
expect: "expect" WORD COMPARE PERCENT "of" WORD _NL+
option: WORD "=" (WORD | NUMBER | TIME)
?argument: option | WORD | NUMBER
COMPARE: "at least" | "at most"
RATE: /\d+(\.\d+)?\/s/
TIME: /\d+(\.\d+)?(ms|s)(?![\w])/
PERCENT: /\d+(\.\d+)?%/
NUMBER: /\d+(?![\w.%\/-])/
WORD: /[A-Za-z_\/][\w.\/*-]*/
COMMENT: /#[^\n]*/
_NL: /(\r?\n[ \t]*)+/
%import common.WS_INLINE
%ignore WS_INLINE
%ignore COMMENT
"""


class ScenarioSyntaxError(Exception):
    """A scenario text with a syntax error."""


@dataclass(frozen=True, slots=True)
class LoadClause:
    """One caller: its kind, requests per second and workspace."""

    kind: str
    rate: float
    workspace: str
    options: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Step:
    """An action on the fleet, `at` seconds after the start."""

    at: float
    action: str
    arguments: tuple[str, ...] = ()
    options: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class MutantClause:
    """A mechanism to disable, and the promise that must then break."""

    mechanism: str
    process_pattern: str
    breaks: str


@dataclass(frozen=True, slots=True)
class Expectation:
    """A bound on the share of calls of a kind that end in an outcome."""

    outcome: str
    at_least: bool
    share: float
    kind: str


@dataclass(slots=True)
class Scenario:
    """One scenario, ready to run."""

    name: str
    promises: list[str] = field(default_factory=list)
    fleet: str = 'nakhla'
    fleet_options: dict[str, Any] = field(default_factory=dict)
    loads: list[LoadClause] = field(default_factory=list)
    seconds: float = 6
    first_gateway_weight: int = 1
    steps: list[Step] = field(default_factory=list)
    mutants: list[MutantClause] = field(default_factory=list)
    expectations: list[Expectation] = field(default_factory=list)


class _Builder(Transformer[Token, list[Scenario]]):
    """Turns the parse tree into scenarios."""

    def option(self, words: list[Token]) -> tuple[str, Any]:
        """Return a name with its value."""
        name, token = words
        if token.type == 'NUMBER':
            return str(name), int(token)
        return str(name), str(token)

    def promise(self, words: list[Token]) -> list[str]:
        """Return the names of promises."""
        return [str(word) for word in words]

    def fleet(self, parts: list[Any]) -> dict[str, Any]:
        """Return the fleet's name with its options."""
        return {'name': str(parts[0]), 'options': dict(parts[1:])}

    def load(self, parts: list[Any]) -> LoadClause:
        """Return a caller."""
        kind, rate, workspace = parts[:3]
        return LoadClause(
            str(kind),
            float(rate.removesuffix('/s')),
            str(workspace),
            dict(parts[3:]),
        )

    def balancer(self, parts: list[Token]) -> int:
        """Return the weight of the first gateway."""
        return int(parts[0])

    def length(self, parts: list[Token]) -> float:
        """Return the duration of a run in seconds."""
        return seconds_of(parts[0])

    def step(self, parts: list[Any]) -> Step:
        """Return a timed action."""
        at, action = parts[:2]
        following = parts[2:]
        arguments = tuple(
            str(clause) for clause in following if isinstance(clause, Token)
        )
        options: dict[str, Any] = dict(
            clause for clause in following if isinstance(clause, tuple)
        )
        return Step(seconds_of(at), str(action), arguments, options)

    def mutant(self, words: list[Token]) -> MutantClause:
        """Return a mechanism to disable."""
        mechanism, where, breaks = words
        return MutantClause(str(mechanism), str(where), str(breaks))

    def expect(self, words: list[Token]) -> Expectation:
        """Return a bound on outcomes."""
        outcome, comparison, percent, kind = words
        return Expectation(
            str(outcome),
            comparison == 'at least',
            float(percent.removesuffix('%')) / 100,
            str(kind),
        )

    def scenario(self, parts: list[Any]) -> Scenario:
        """Return a scenario of all its clauses."""
        target_scenario = Scenario(str(parts[0]))
        for clause in parts[1:]:
            _add_clause(target_scenario, clause)
        return target_scenario

    def start(self, scenarios: list[Scenario]) -> list[Scenario]:
        """Return all scenarios of a text."""
        return scenarios


def _add_clause(target_scenario: Scenario, clause: Any) -> None:
    ADDER_BY_TYPE[type(clause)](target_scenario, clause)


def _add_fleet(target_scenario: Scenario, clause: dict[str, Any]) -> None:
    target_scenario.fleet = clause['name']
    target_scenario.fleet_options = clause['options']


def _set_first_gateway_weight(target_scenario: Scenario, weight: int) -> None:
    target_scenario.first_gateway_weight = weight


def _set_seconds(target_scenario: Scenario, seconds: float) -> None:
    target_scenario.seconds = seconds


ADDER_BY_TYPE: dict[type, Callable[[Scenario, Any], None]] = {
    list: lambda target_scenario, clause: target_scenario.promises.extend(
        clause
    ),
    dict: _add_fleet,
    int: _set_first_gateway_weight,
    float: _set_seconds,
    LoadClause: lambda target_scenario, clause: target_scenario.loads.append(
        clause
    ),
    Step: lambda target_scenario, clause: target_scenario.steps.append(clause),
    MutantClause: lambda target_scenario, clause: (
        target_scenario.mutants.append(clause)
    ),
    Expectation: lambda target_scenario, clause: (
        target_scenario.expectations.append(clause)
    ),
}

_parser = Lark(GRAMMAR, parser='lalr', lexer='contextual')


def parse_scenarios(text: str) -> list[Scenario]:
    """Return the scenarios in a text, or raise ScenarioSyntaxError."""
    try:
        tree = _parser.parse(f'{text}\n')
    except UnexpectedInput as error:
        raise ScenarioSyntaxError(
            f'line {error.line}: {error.get_context(text)}',
        ) from error
    return _Builder().transform(tree)


def read_scenarios(folder: Path) -> Iterator[Scenario]:
    """Yield the scenarios of every file in a folder."""
    for path in sorted(folder.glob('*.scenario')):
        yield from parse_scenarios(path.read_text())


def seconds_of(text: str) -> float:
    """Parse a duration like 250ms or 3s; return seconds."""
    if text.endswith('ms'):
        return float(text.removesuffix('ms')) / 1000
    return float(text.removesuffix('s'))

"""Decides which prompt part crashes the targets that begin to answer it.

Load pattern: requests that share one part keep arriving, no two alike, and each
crashes its target. Sound requests share their other parts, their workspace and
their route. Each crash is attributed to the part of its request that crashes
targets most often; a sequential probability ratio test (Wald 1945) then weighs
the crashes of a part against the answers with it that began. Many targets that
end at once have one cause, such as a loss of power, and interrupt requests with
the same parts by chance: they count as one crash.

One whole prompt may crash targets, too: its request is sent again, by a gateway
or by its caller with a new id, and ends one after another. Its crashes convict
that prompt, and count as one against the parts that it shares with others.

A request whose target ended before a byte of its answer may only have waited
there. It counts half if it was not answered elsewhere either: two targets that
end so under one request weigh like one that wrote a head.
"""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from math import log

# Fraction of sound requests that a crash of another cause interrupts between
# the head of their answer and its first event.
COINCIDENCE_RATE = 0.002
# The same soon after the first event: many answers are there at any moment.
EVENT_COINCIDENCE_RATE = 0.01
# Fraction of requests with a deadly part that crash their target, at least.
MIN_CRASH_RATE = 0.25
# Probability that a sound part is convicted by coincidences.
FALSE_CONVICTION_RATE = 1e-4
CRASH_WEIGHT = log(MIN_CRASH_RATE / COINCIDENCE_RATE)
EVENT_CRASH_WEIGHT = log(MIN_CRASH_RATE / EVENT_COINCIDENCE_RATE)
UNANSWERED_CRASH_WEIGHT = CRASH_WEIGHT / 2
ANSWER_WEIGHT = log((1 - MIN_CRASH_RATE) / (1 - COINCIDENCE_RATE))
CONVICTION_WEIGHT = -log(FALSE_CONVICTION_RATE)
# Crashes that become known within this time after the first one of them are one
# burst. A crash is told to all gateways in less.
BURST_TIME = timedelta(milliseconds=500)
# Parts that are convicted together when no evidence tells them apart.
MAX_JOINT_PARTS = 3


@dataclass(frozen=True, slots=True)
class Began:
    """A request whose answer had just begun when its target crashed.

    `prompt` names all of its prompt, `parts` are those that others may share.
    `has_event` is whether an event had arrived, `is_unanswered` whether not
    even a head had. `sent_at` is None if another gateway sent it.
    """

    workspace: str
    prompt: str
    parts: tuple[str, ...]
    has_event: bool = False
    is_unanswered: bool = False
    sent_at: timedelta | None = field(default=None, compare=False)

    @property
    def part_weight(self) -> float:
        """Return what it weighs against its parts."""
        return UNANSWERED_CRASH_WEIGHT if self.is_unanswered else CRASH_WEIGHT

    @property
    def prompt_weight(self) -> float:
        """Return what it weighs against its whole prompt."""
        return EVENT_CRASH_WEIGHT if self.has_event else self.part_weight


@dataclass(frozen=True, slots=True)
class Crash:
    """A target that ended as it began to answer a request.

    `crash_id` names one lifetime of the target. `parts` are those that other
    requests may share, in the order of the prompt. Several requests may have
    begun as it ended: `workspaces` and `parts` are those of all. `known_at` is
    when this gateway learned of it. `began` are the requests that are known;
    without them, `sent_at` is when its request was sent, if that is known.
    """

    crash_id: str
    workspaces: tuple[str, ...]
    parts: tuple[str, ...]
    known_at: timedelta
    sent_at: timedelta | None = None
    began: tuple[Began, ...] = ()

    @property
    def weight_by_prompt(self) -> dict[str, float]:
        """Return what the crash weighs against the prompts of its requests."""
        weights: dict[str, float] = {}
        for began in self.began:
            weights[began.prompt] = max(
                began.prompt_weight, weights.get(began.prompt, 0)
            )
        return weights


@dataclass(frozen=True, slots=True)
class Culprit:
    """Parts that crash targets, with the evidence against them.

    Several parts are one culprit if all of its crashes had all of them: only
    prompts with all of them are known to crash targets. `crash_weight` is what
    the crashes weigh without the answers.
    """

    parts: tuple[str, ...]
    crashes: tuple[Crash, ...]
    answers: int
    crash_weight: float

    @property
    def weight(self) -> float:
        """Return the logarithm of the likelihood ratio."""
        return self.crash_weight + self.answers * ANSWER_WEIGHT

    @property
    def workspaces(self) -> frozenset[str]:
        """Return the workspaces whose requests crashed targets."""
        return frozenset(
            workspace
            for crash in self.crashes
            for workspace in crash.workspaces
        )


@dataclass(frozen=True, slots=True)
class _Sighting:
    """A request with one part under which a target crashed."""

    prompt: str
    at: timedelta
    sent_at: timedelta | None
    weight: float


def find_culprits(
    crashes: Collection[Crash],
    answers_by_part: Mapping[str, int],
) -> Iterator[Culprit]:
    """Yield the parts that the evidence convicts."""
    rate_by_part = _crash_rates(crashes, answers_by_part)
    crashes_by_part: defaultdict[str, list[Crash]] = defaultdict(list)
    for crash in crashes:
        if crash.parts:
            part = _likeliest_part(crash, rate_by_part)
            crashes_by_part[part].append(crash)
    for part, attributed in crashes_by_part.items():
        culprit = Culprit(
            _joint_parts(part, attributed, rate_by_part),
            tuple(attributed),
            answers_by_part.get(part, 0),
            _weight_against(part, attributed),
        )
        if culprit.weight >= CONVICTION_WEIGHT:
            yield culprit


def find_prompts(
    crashes: Iterable[Crash],
    answers_by_part: Mapping[str, int],
) -> Iterator[Culprit]:
    """Yield the whole prompts that the evidence convicts.

    Crashes at once are several: a prompt's next send follows the last one.
    """
    crashes_by_prompt: defaultdict[str, list[Crash]] = defaultdict(list)
    for crash in crashes:
        for prompt in crash.weight_by_prompt:
            crashes_by_prompt[prompt].append(crash)
    for prompt, met in crashes_by_prompt.items():
        culprit = Culprit(
            (prompt,),
            tuple(met),
            answers_by_part.get(prompt, 0),
            sum(crash.weight_by_prompt[prompt] for crash in met),
        )
        if culprit.weight >= CONVICTION_WEIGHT:
            yield culprit


def _weight_against(part: str, crashes: Iterable[Crash]) -> float:
    """Return what crashes weigh against a part.

    Those at once weigh as one, and all under one prompt as one.
    """
    return sum(_burst_weights(_bursts(_sightings(part, crashes))))


def _burst_weights(bursts: Iterable[list[_Sighting]]) -> Iterator[float]:
    left_by_prompt: defaultdict[str, float] = defaultdict(lambda: CRASH_WEIGHT)
    for burst in bursts:
        weight, prompt = max(_weights_in(burst, left_by_prompt))
        left_by_prompt[prompt] -= weight
        yield weight


def _weights_in(
    burst: Iterable[_Sighting], left_by_prompt: Mapping[str, float]
) -> Iterator[tuple[float, str]]:
    """Yield what the prompts of a burst still weigh, each with its prompt."""
    weight_by_prompt: defaultdict[str, float] = defaultdict(float)
    for sighting in burst:
        weight_by_prompt[sighting.prompt] += sighting.weight
    for prompt, weight in weight_by_prompt.items():
        yield min(weight, left_by_prompt[prompt]), prompt


def _bursts(sightings: Iterable[_Sighting]) -> Iterator[list[_Sighting]]:
    """Yield the sightings in order, those at once together.

    A request that was sent once the first of them was known did not begin
    beside it.
    """
    burst: list[_Sighting] = []
    for sighting in sightings:
        if burst and _is_apart(burst[0], sighting):
            yield burst
            burst = []
        burst.append(sighting)
    if burst:
        yield burst


def _is_apart(first: _Sighting, sighting: _Sighting) -> bool:
    sent_at = sighting.sent_at
    was_sent_later = sent_at is not None and sent_at >= first.at
    return was_sent_later or sighting.at - first.at > BURST_TIME


def _sightings(part: str, crashes: Iterable[Crash]) -> Iterator[_Sighting]:
    """Yield the requests with a part under which targets crashed, in order."""
    for crash in sorted(crashes, key=_known_at):
        if not crash.began:
            yield _Sighting(
                crash.crash_id, crash.known_at, crash.sent_at, CRASH_WEIGHT
            )
        for began in crash.began:
            if part in began.parts:
                yield _Sighting(
                    began.prompt,
                    crash.known_at,
                    began.sent_at,
                    began.part_weight,
                )


def _known_at(crash: Crash) -> timedelta:
    return crash.known_at


def _crash_rates(
    crashes: Collection[Crash],
    answers_by_part: Mapping[str, int],
) -> dict[str, float]:
    """Return how often each part crashes targets, by a Jeffreys estimate."""
    crash_counts = Counter(
        part for crash in crashes for part in set(crash.parts)
    )
    return {
        part: (count + 0.5) / (count + answers_by_part.get(part, 0) + 1)
        for part, count in crash_counts.items()
    }


def _likeliest_part(crash: Crash, rate_by_part: Mapping[str, float]) -> str:
    """Return the part with the highest rate, of equal ones the last."""
    return max(reversed(crash.parts), key=lambda part: rate_by_part[part])


def _joint_parts(
    culprit: str,
    crashes: Iterable[Crash],
    rate_by_part: Mapping[str, float],
) -> tuple[str, ...]:
    """Return the culprit with the parts that explain its crashes as well."""
    first, *others = crashes
    joint = tuple(
        part
        for part in dict.fromkeys(first.parts)
        if rate_by_part[part] >= rate_by_part[culprit]
        and all(part in crash.parts for crash in others)
    )
    return joint[-MAX_JOINT_PARTS:]

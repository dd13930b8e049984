"""Keeps prompts that crash targets away from them, in the whole fleet.

Load pattern: evidence is rare and spread over the gateways; each sees a few of
the crashes. Every gateway tells the others the crashes that it saw, how many
answers with the suspected parts began since, and the verdicts it knows. All
tables have a fixed size, and only a crash makes an entry.

A verdict is on some parts that other requests share, or on one whole prompt: a
delivery limit for a request that is sent again, whatever its id. The name of
the prompt stands for it like a further part.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from hashlib import blake2b
from itertools import chain

from verbenamux_contracts.clock import to_milliseconds
from verbenamux_contracts.messages import CrashEvidence, CrashNotice, Verdict
from verbenamux_relay.answer_counts import AnswerCounts
from verbenamux_relay.crash_evidence import (
    Began,
    Crash,
    Culprit,
    find_culprits,
    find_prompts,
)
from verbenamux_relay.terms import RequestTerms
from verbenamux_relay.unanswered_cuts import Cut, UnansweredCuts

# A part whose answers began within this time may be sent again after a crash.
RECENT_ANSWER_WINDOW = timedelta(seconds=5)
# A target that ended within this time after it cut an answer has crashed. Its
# next instance is known by then: one that restarts soon is introduced by its
# keeper, or refuses a request for the one before.
SUSPICION_WINDOW = timedelta(seconds=5)
# Evidence is forgotten after this time.
CRASH_RETENTION = timedelta(minutes=2)
# Wait before the first probe of a convicted part; each probe that fails makes
# the next wait longer by this factor.
FIRST_PROBE_WAIT = timedelta(minutes=1)
PROBE_WAIT_FACTOR = 10
MAX_PROBE_WAIT = timedelta(days=1)
# A part that crashed targets for this many workspaces is refused to all.
MIN_SHARED_WORKSPACES = 2
# After this time the first gateway by name saves a verdict that is not stored.
SAVE_TIMEOUT = timedelta(seconds=2)
MAX_CRASHES = 64
MAX_VERDICTS = 200
MAX_INSTANCES = 200
MAX_FORGIVEN_IDS = 1000
# Answers that are counted for a suspected part: they outweigh all the crashes
# that a gateway keeps.
MAX_ANSWERS = 2000
# Parts of one prompt that are considered, and their length.
MAX_PARTS = 16
MAX_PART_LENGTH = 64
# Of all requests whose answers had just begun when a target crashed.
MAX_CRASH_PARTS = 64
MAX_CRASH_WORKSPACES = 8
MAX_CRASH_REQUESTS = 16
# Between the parts of a verdict's key; no part contains it.
PART_SEPARATOR = ','
PROMPT_PREFIX = 'prompt-'
PROMPT_DIGEST_BYTES = 8


@dataclass(slots=True)
class _Known:
    """A verdict on prompts with all of some parts.

    `known_at` is when this gateway learned it, `stored` what the store has.
    `probe_id` is the request that this gateway let through as a probe.
    """

    parts: frozenset[str]
    verdict: Verdict
    known_at: timedelta
    stored: Verdict | None = None
    is_own: bool = False
    probe_id: str | None = None


class Quarantine:
    """Suspected and convicted prompt parts as one gateway knows them."""

    def __init__(
        self,
        elapsed: Callable[[], timedelta],
        settle_time: Callable[[], timedelta],
        is_first: Callable[[], bool],
        log: Callable[..., None],
    ) -> None:
        """Start without evidence.

        What the others know arrives within `settle_time`; until then this
        gateway convicts nothing. `is_first` is whether it is the one that
        probes.
        """
        self.has_news = False
        self._elapsed = elapsed
        self._settle_time = settle_time
        self._started_at = elapsed()
        self._is_first = is_first
        self._log = log
        self._answered_parts = AnswerCounts()
        # Apart from the parts, which the many prompts would push out.
        self._answered_prompts = AnswerCounts()
        self._crash_by_id: OrderedDict[str, Crash] = OrderedDict()
        self._own_began_by_crash: dict[str, tuple[Began, ...]] = {}
        self._suspicions_by_target: OrderedDict[str, list[Cut]] = OrderedDict()
        self._unanswered = UnansweredCuts()
        self._forgiven_ids: OrderedDict[str, None] = OrderedDict()
        self._own_answers: Counter[str] = Counter()
        self._answers_by_instance: OrderedDict[str, Mapping[str, int]] = (
            OrderedDict()
        )
        self._known_by_key: OrderedDict[str, _Known] = OrderedDict()

    def record_answer(self, terms: RequestTerms) -> None:
        """Record that an answer to these terms began, and its target lives."""
        now = self._elapsed()
        self._unanswered.acquit(terms.request_id)
        prompt = _prompt_name(terms)
        self._answered_prompts.record(prompt, now)
        for part in _shared_parts(terms):
            self._answered_parts.record(part, now)
        for name in (*_shared_parts(terms), prompt):
            if name in self._own_answers:
                self._count_answer(name, terms)
        for key, known in tuple(self._known_by_key.items()):
            if known.probe_id == terms.request_id:
                self.release(key, is_own=True)

    def record_crash(self, cut: Cut) -> None:
        """Record a target that ended as it began to answer a request.

        Without a byte of the answer the request may only have waited there: it
        is held until it ends another target, or ends.
        """
        if not cut.terms.parts:
            return
        evidence = self._unanswered.add(cut) if cut.is_unanswered else (cut,)
        self._add_evidence(evidence)

    def record_unanswered_end(self, request_id: str) -> None:
        """Record that a request, cut by ended targets, got no answer."""
        self._add_evidence(self._unanswered.end(request_id))

    def record_withdrawal(self, request_id: str) -> None:
        """Record that a request's caller left: it might have been answered."""
        self._unanswered.acquit(request_id)

    def suspect(self, target_id: str, cut: Cut) -> None:
        """Record a cut answer of a target that accepts connections.

        It is a crash if the target turns out to have ended soon.
        """
        suspicions = self._suspicions_by_target.setdefault(target_id, [])
        suspicions.append(cut)
        del suspicions[:-MAX_CRASH_REQUESTS]
        if len(self._suspicions_by_target) > MAX_CRASHES:
            self._suspicions_by_target.popitem(last=False)

    def confirm_end(self, target_id: str) -> None:
        """Record that a target ended: what was suspected is a crash."""
        for cut in self._suspicions_by_target.pop(target_id, ()):
            if self._elapsed() - cut.at < SUSPICION_WINDOW:
                self.record_crash(cut)

    def may_send_again(self, terms: RequestTerms) -> bool:
        """Return whether all parts of a prompt were answered lately."""
        return all(map(self._is_answered_lately, _shared_parts(terms)))

    def blocked_parts(self, workspace: str, terms: RequestTerms) -> str | None:
        """Return the parts for which a request is refused, None if it is not.

        They may be the name of its whole prompt. One request with them is not
        refused when a probe is due.
        """
        if not self._known_by_key:
            return None
        parts = frozenset((*_shared_parts(terms), _prompt_name(terms)))
        for key, known in tuple(self._known_by_key.items()):
            if not known.parts <= parts:
                continue
            if not _applies(known.verdict, workspace):
                continue
            is_probe = known.probe_id == terms.request_id
            if not (is_probe or self._begin_probe(key, known, terms)):
                return key
        return None

    def release(self, key: str, *, is_own: bool = False) -> None:
        """End a conviction; `is_own` is whether to save that in the store."""
        known = self._known_by_key.get(key)
        if known is None or not known.verdict.is_conviction:
            return
        self._set_verdict(
            key,
            Verdict(known.verdict.version + 1, known.verdict.workspaces),
            is_own=is_own,
        )

    def evidence(self) -> CrashEvidence:
        """Return what the other gateways are told."""
        return CrashEvidence(
            crashes=tuple(
                CrashNotice(
                    crash_id,
                    began.workspace,
                    began.parts,
                    began.prompt,
                    began.has_event,
                    began.is_unanswered,
                )
                for crash_id, own in self._own_began_by_crash.items()
                for began in own
            ),
            answers=dict(+self._own_answers),
            verdicts={
                key: known.verdict for key, known in self._known_by_key.items()
            },
        )

    def handle_evidence(self, instance: str, evidence: CrashEvidence) -> None:
        """Adopt what another gateway instance knows."""
        for key, verdict in evidence.verdicts.items():
            self._adopt(key, verdict)
        for notice in evidence.crashes:
            parts = _bounded(notice.parts, MAX_CRASH_PARTS)
            began = Began(
                notice.workspace,
                notice.prompt,
                parts,
                notice.has_event,
                notice.is_unanswered,
            )
            self._add_crash(
                Crash(
                    notice.crash_id,
                    (notice.workspace,),
                    parts,
                    self._elapsed(),
                    began=(began,) if notice.prompt else (),
                )
            )
        self._answers_by_instance[instance] = evidence.answers
        self._answers_by_instance.move_to_end(instance)
        if len(self._answers_by_instance) > MAX_INSTANCES:
            self._answers_by_instance.popitem(last=False)
        self.review()

    def adopt_stored(self, key: str, verdict: Verdict) -> None:
        """Adopt a verdict as the store has it."""
        self._adopt(key, verdict)
        known = self._known_by_key.get(key)
        if known is not None:
            known.stored = verdict

    def forget_stored(self) -> None:
        """Record that the store may have lost verdicts that it had."""
        for known in self._known_by_key.values():
            known.stored = None

    def unsaved(self) -> Iterator[tuple[str, Verdict]]:
        """Yield the verdicts that this gateway is to save in the store."""
        oldest = self._elapsed() - SAVE_TIMEOUT
        for key, known in tuple(self._known_by_key.items()):
            is_overdue = known.known_at < oldest and self._is_first()
            if known.stored != known.verdict and (known.is_own or is_overdue):
                yield key, known.verdict

    def convicted_counts(self) -> tuple[int, int]:
        """Return how many verdicts refuse parts, and how many whole prompts."""
        keys = [key for key, _ in self._convictions()]
        prompts = sum(key.startswith(PROMPT_PREFIX) for key in keys)
        return len(keys) - prompts, prompts

    def review(self) -> None:
        """Decide on the evidence that is known now."""
        if not self._crash_by_id:
            return
        now = self._elapsed()
        for crash_id, crash in tuple(self._crash_by_id.items()):
            if now - crash.known_at > CRASH_RETENTION:
                self._forget_crash(crash_id)
            else:
                self._extend_conviction(crash)
        if now - self._started_at < self._settle_time():
            return
        crashes = tuple(self._crash_by_id.values())
        answers = self._answers()
        for culprit in chain(
            find_prompts(map(self._without_forgiven, crashes), answers),
            find_culprits(crashes, answers),
        ):
            self._convict(culprit)

    def _convictions(self) -> Iterator[tuple[str, _Known]]:
        for key, known in tuple(self._known_by_key.items()):
            if known.verdict.is_conviction:
                yield key, known

    def _begin_probe(
        self, key: str, known: _Known, terms: RequestTerms
    ) -> bool:
        """Return whether this request probes the part, and record it."""
        probes = known.verdict.probes
        wait = min(
            FIRST_PROBE_WAIT * PROBE_WAIT_FACTOR ** min(probes, 9),
            MAX_PROBE_WAIT,
        )
        age = self._elapsed() - known.known_at
        if age < wait or not self._is_first():
            return False
        self._log(
            'parts_probed',
            request_id=terms.request_id,
            parts=key,
            probes=probes + 1,
            age_ms=to_milliseconds(age),
        )
        self._set_verdict(
            key,
            Verdict(known.verdict.version + 2, known.verdict.workspaces),
            is_own=True,
        )
        self._known_by_key[key].probe_id = terms.request_id
        return True

    def _answers(self) -> Counter[str]:
        """Return the answers of all gateways with the suspected parts."""
        total = Counter(self._own_answers)
        for answers in self._answers_by_instance.values():
            total.update(answers)
        return total

    def _count_answer(self, part: str, terms: RequestTerms) -> None:
        """Count an answer with a suspected part."""
        answers = self._own_answers[part]
        self._own_answers[part] = min(answers + 1, MAX_ANSWERS)
        if not answers:
            self._log(
                'part_acquitted',
                request_id=terms.request_id,
                part=part,
                crashes=[
                    crash.crash_id
                    for crash in self._crash_by_id.values()
                    if part in crash.parts
                ],
            )

    def _add_evidence(self, cuts: Iterable[Cut]) -> None:
        for cut in cuts:
            self._add_cut(cut)
            self.has_news = True
        self.review()

    def _add_cut(self, cut: Cut) -> None:
        parts = _shared_parts(cut.terms)
        began = Began(
            cut.workspace,
            _prompt_name(cut.terms),
            parts,
            cut.has_event,
            cut.is_unanswered,
            cut.sent_at,
        )
        self._own_began_by_crash[cut.crash_id] = _all_began(
            self._own_began_by_crash.get(cut.crash_id, ()), (began,)
        )
        self._add_crash(
            Crash(
                cut.crash_id,
                (cut.workspace,),
                parts,
                cut.at,
                began=(began,),
            )
        )
        self._log(
            'crash_suspected',
            request_id=cut.terms.request_id,
            target=cut.crash_id,
            workspace=cut.workspace,
            parts=parts,
            prompt=began.prompt,
            has_event=cut.has_event,
            has_head=not cut.is_unanswered,
            crashes=len(self._crash_by_id),
        )

    def _add_crash(self, added: Crash) -> None:
        """Add a crash, or the parts of another request that may explain it."""
        if added.crash_id in self._forgiven_ids:
            return
        known = self._crash_by_id.get(added.crash_id)
        self._crash_by_id[added.crash_id] = (
            added if known is None else _joined(known, added)
        )
        if len(self._crash_by_id) > MAX_CRASHES:
            self._forget_crash(next(iter(self._crash_by_id)))
        for part in (*added.parts, *added.weight_by_prompt):
            if part in self._own_answers:
                continue
            self._own_answers[part] = min(
                round(self._recent_answers(part)), MAX_ANSWERS
            )
            # An objection must reach the others before they decide.
            self.has_news |= bool(self._own_answers[part])

    def _recent_answers(self, part: str) -> float:
        """Return how many answers with a part or prompt began lately."""
        now = self._elapsed()
        counts = (self._answered_parts, self._answered_prompts)
        return max(count.recent(part, now) for count in counts)

    def _is_answered_lately(self, part: str) -> bool:
        last_at = self._answered_parts.last_at(part)
        if last_at is None:
            return False
        return self._elapsed() - last_at < RECENT_ANSWER_WINDOW

    def _forget_crash(self, crash_id: str) -> None:
        self._crash_by_id.pop(crash_id)
        self._own_began_by_crash.pop(crash_id, None)
        listed = {
            part
            for crash in self._crash_by_id.values()
            for part in (*crash.parts, *crash.weight_by_prompt)
        }
        for part in self._own_answers.keys() - listed:
            self._own_answers.pop(part)

    def _extend_conviction(self, crash: Crash) -> None:
        """Extend convictions to the workspace of a further crash."""
        for key, known in self._convictions():
            workspaces = known.verdict.workspaces
            if set(crash.workspaces) <= set(workspaces):
                continue
            if not known.parts <= {*crash.parts, *crash.weight_by_prompt}:
                continue
            self._set_verdict(
                key,
                Verdict(
                    known.verdict.version,
                    _sorted({*workspaces, *crash.workspaces}),
                ),
                is_own=crash.crash_id in self._own_began_by_crash,
            )

    def _convict(self, culprit: Culprit) -> None:
        """Convict a culprit unless a verdict on fewer parts covers it."""
        parts = set(culprit.parts)
        if any(known.parts <= parts for _, known in self._convictions()):
            return
        key = PART_SEPARATOR.join(culprit.parts)
        known = self._known_by_key.get(key)
        version = known.verdict.version if known else 0
        first_known_at = min(crash.known_at for crash in culprit.crashes)
        self._log(
            'parts_convicted',
            parts=key,
            crashes=[crash.crash_id for crash in culprit.crashes],
            answers=culprit.answers,
            weight=round(culprit.weight, 2),
            workspaces=_sorted(culprit.workspaces),
            age_ms=to_milliseconds(self._elapsed() - first_known_at),
        )
        self._set_verdict(
            key,
            Verdict(version + 1, _sorted(culprit.workspaces)),
            is_own=any(
                crash.crash_id in self._own_began_by_crash
                for crash in culprit.crashes
            ),
        )

    def _adopt(self, key: str, verdict: Verdict) -> None:
        """Adopt a verdict unless a newer one is known."""
        known = self._known_by_key.get(key)
        if known is None or verdict.version > known.verdict.version:
            self._log(
                'verdict_adopted', parts=key, convicted=verdict.is_conviction
            )
            self._set_verdict(key, verdict, is_own=False)
        elif verdict.version == known.verdict.version:
            workspaces = _sorted(
                {*known.verdict.workspaces, *verdict.workspaces}
            )
            if workspaces != known.verdict.workspaces:
                known.verdict = Verdict(verdict.version, workspaces)
                self.has_news = True

    def _set_verdict(self, key: str, verdict: Verdict, *, is_own: bool) -> None:
        previous = self._known_by_key.pop(key, None)
        self._known_by_key[key] = _Known(
            frozenset(key.split(PART_SEPARATOR)),
            verdict,
            self._elapsed(),
            previous.stored if previous else None,
            is_own,
        )
        if len(self._known_by_key) > MAX_VERDICTS:
            self._known_by_key.popitem(last=False)
        self.has_news = True
        if not verdict.is_conviction:
            self._log('parts_released', parts=key, version=verdict.version)
            self._forgive(self._known_by_key[key].parts)

    def _forgive(self, parts: frozenset[str]) -> None:
        """Drop the crashes of released parts, whoever reports them again."""
        for crash_id, crash in tuple(self._crash_by_id.items()):
            if parts <= set(crash.parts):
                self._forget_crash(crash_id)
                self._forgiven_ids[crash_id] = None
            for prompt in parts & crash.weight_by_prompt.keys():
                self._forgiven_ids[crash_id + prompt] = None
        while len(self._forgiven_ids) > MAX_FORGIVEN_IDS:
            self._forgiven_ids.popitem(last=False)

    def _without_forgiven(self, crash: Crash) -> Crash:
        """Return a crash without the prompts that were released since.

        It still counts once against the parts that they share.
        """
        return replace(
            crash,
            began=tuple(
                began
                for began in crash.began
                if crash.crash_id + began.prompt not in self._forgiven_ids
            ),
        )


def _joined(known: Crash, added: Crash) -> Crash:
    """Return a crash with what another request tells of it."""
    workspaces = dict.fromkeys((*known.workspaces, *added.workspaces))
    parts = dict.fromkeys((*known.parts, *added.parts))
    return replace(
        known,
        workspaces=tuple(workspaces)[:MAX_CRASH_WORKSPACES],
        parts=tuple(parts)[:MAX_CRASH_PARTS],
        began=_all_began(known.began, added.began),
    )


def _all_began(
    known: tuple[Began, ...], added: tuple[Began, ...]
) -> tuple[Began, ...]:
    return tuple(dict.fromkeys((*known, *added)))[:MAX_CRASH_REQUESTS]


def _prompt_name(terms: RequestTerms) -> str:
    """Return a name of all of a prompt, the same when its request returns.

    The id of a request that comes again is a new one.
    """
    parts = (terms.model_key, *(part.part_id for part in terms.parts))
    digest = blake2b(
        PART_SEPARATOR.join(parts).encode(), digest_size=PROMPT_DIGEST_BYTES
    )
    return f'{PROMPT_PREFIX}{digest.hexdigest()}'


def _shared_parts(terms: RequestTerms) -> tuple[str, ...]:
    return _bounded(tuple(part.part_id for part in terms.shared_parts))


def _bounded(
    parts: tuple[str, ...], max_parts: int = MAX_PARTS
) -> tuple[str, ...]:
    return tuple(
        part for part in parts[-max_parts:] if len(part) <= MAX_PART_LENGTH
    )


def _applies(verdict: Verdict, workspace: str) -> bool:
    """Return whether a verdict stands for the requests of a workspace."""
    return verdict.is_conviction and (
        workspace in verdict.workspaces
        or len(verdict.workspaces) >= MIN_SHARED_WORKSPACES
    )


def _sorted(workspaces: Iterable[str]) -> tuple[str, ...]:
    return tuple(sorted(workspaces))

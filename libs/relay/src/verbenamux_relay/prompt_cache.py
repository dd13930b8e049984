"""Tracks the prompt parts that targets have cached."""

from collections import OrderedDict

from verbenamux_relay.terms import RequestTerms

# Part ids remembered for each target; the least recently sent are dropped.
MAX_PARTS_PER_TARGET = 600
# Fraction of shared tokens assumed to be cached at the preferred target.
PREFERRED_CACHED_FRACTION = 0.5


class PromptMemory:
    """The parts this gateway sent to each target, newest last."""

    def __init__(self) -> None:
        """Start without any parts."""
        self._parts_by_target: dict[str, OrderedDict[str, None]] = {}

    def note(self, target_id: str, terms: RequestTerms) -> None:
        """Remember that a target has read a prompt."""
        parts = self._parts_by_target.setdefault(target_id, OrderedDict())
        for part in terms.parts:
            name = f'{terms.model_key}:{part.part_id}'
            parts[name] = None
            parts.move_to_end(name)
        while len(parts) > MAX_PARTS_PER_TARGET:
            parts.popitem(last=False)

    def missing(
        self,
        target_id: str,
        terms: RequestTerms,
        is_preferred: bool,
    ) -> int:
        """Return the prompt tokens that the target must still read."""
        parts = self._parts_by_target.get(target_id, OrderedDict())
        cached = 0
        for part in terms.parts:
            if f'{terms.model_key}:{part.part_id}' not in parts:
                break
            cached += part.tokens
        shared = shared_tokens(terms)
        if is_preferred:
            cached = max(cached, int(shared * PREFERRED_CACHED_FRACTION))
        return max(terms.prompt_tokens - cached, 0)

    def forget(self, target_id: str) -> None:
        """Drop the parts of a target that ended."""
        self._parts_by_target.pop(target_id, None)

    def forget_model(self, target_id: str, model: str) -> None:
        """Drop the parts cached for a model that was unloaded."""
        parts = self._parts_by_target.get(target_id, OrderedDict())
        for name in tuple(parts):
            if name.startswith(f'{model}/'):
                parts.pop(name)


def shared_tokens(terms: RequestTerms) -> int:
    """Return the tokens of the parts that other requests may share."""
    return sum(part.tokens for part in terms.shared_parts)


def affinity(terms: RequestTerms) -> str:
    """Return the affinity key: requests that share it prefer one target.

    Requests for an adapter share its key; others the key of the shared parts
    of their prompts.
    """
    if terms.adapter is not None:
        return terms.model_key
    shared = ','.join(part.part_id for part in terms.shared_parts)
    return f'{terms.model_key}:{shared}'

"""What an engine holds, and what fits into its memory."""

from verbenamux_contracts.messages import EngineNotice
from verbenamux_keeper.engine import EngineState, OrderKind


def fits(model: str, engine: EngineState, notice: EngineNotice) -> bool:
    """Return whether an engine has memory for one more model.

    A model of unknown size takes all the memory.
    """
    size_by_model = {size.name: size.weights_mb for size in notice.models}
    used_mb = sum(
        size_by_model.get(held_model, notice.weights_mb)
        for held_model in engine.models | models_of(engine.pending)
    )
    needed_mb = size_by_model.get(model, notice.weights_mb + 1)
    return used_mb + needed_mb <= notice.weights_mb


def is_cold(model: str, engine: EngineState) -> bool:
    """Return whether loading the model would read the weight store."""
    return model not in engine.on_disk | engine.in_memory


def models_of(pending: frozenset[str]) -> frozenset[str]:
    """Return the models among pending models and adapters."""
    return frozenset(name for name in pending if '/' not in name)


def without_versions(pending: frozenset[str]) -> frozenset[str]:
    """Return pending adapters without their versions."""
    return frozenset(name.partition('@')[0] for name in pending)


def is_done(
    engine: EngineState,
    kind: OrderKind,
    model: str,
    adapter: str | None,
) -> bool:
    """Return whether the engine already is in the state that is ordered."""
    is_loaded = (
        model in engine.models
        if adapter is None
        else f'{model}/{adapter}' in engine.adapters
    )
    return is_loaded is (kind is OrderKind.LOAD)

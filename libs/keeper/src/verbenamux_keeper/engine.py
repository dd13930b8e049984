"""The engine interface of a keeper, independent of the protocol."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field


class OrderKind(enum.Enum):
    """What an order does with a model or an adapter."""

    LOAD = 'load'
    UNLOAD = 'unload'


class OrderAnswer(enum.Enum):
    """How an engine answered an order.

    UNKNOWN: no answer came; the order may be carried out, even much later.
    NO_ROOM: not sent, as the engine holds too much by now.
    """

    ACCEPTED = 'accepted'
    HOLDS = 'holds'
    CONFLICT = 'conflict'
    FENCED = 'fenced'
    INVALID = 'invalid'
    OTHER_TARGET = 'other_target'
    UNKNOWN = 'unknown'
    NO_ROOM = 'no_room'


@dataclass(frozen=True, slots=True)
class Order:
    """One order; the engine accepts it only after `after_orders` others.

    This makes an order that is retried, or carried out late, harmless: of
    all orders with the same number the engine accepts only the first.
    """

    kind: OrderKind
    model: str
    adapter: str | None
    after_orders: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """The state that an engine reports. Memory is in tokens.

    `orders_taken` counts the orders it accepted since its start,
    `running_ids` names the requests that run, `unstarted` counts those
    without a first event, queued or being read.
    """

    adapters_by_model: dict[str, frozenset[str]] = field(default_factory=dict)
    pending: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    in_memory: frozenset[str] = frozenset()
    running_ids: frozenset[str] = frozenset()
    is_busy: bool = False
    orders_taken: int = 0
    unstarted: int = 0
    active: int = 0
    used_tokens: int = 0
    total_tokens: int = 0
    started_ms: int = 0

    @property
    def models(self) -> frozenset[str]:
        """Return the loaded models."""
        return frozenset(self.adapters_by_model)

    @property
    def adapters(self) -> frozenset[str]:
        """Return the loaded adapters, each as MODEL/ADAPTER."""
        return frozenset(
            f'{model}/{adapter}'
            for model, adapters in self.adapters_by_model.items()
            for adapter in adapters
        )


@dataclass(frozen=True, slots=True)
class EnginePort:
    """The calls to an engine.

    `read` and `identify` return None without a usable answer.
    """

    read: Callable[[], EngineState | None]
    identify: Callable[[], str | None]
    order: Callable[[str, int, Order], OrderAnswer]
    new_fencing_token: Callable[[], int | None]

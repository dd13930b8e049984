"""Messages between the system's own processes, encoded by msgspec."""

from typing import TypeAlias

import msgspec

from verbenamux_contracts.ids import AttemptId, InstanceId, RequestId


class Message(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Base of everything sent between processes; encoded without names."""


class Hello(Message, frozen=True):
    """A gateway presents itself to a peer and asks for heartbeats.

    `holder` is the name under which it holds rate units now. `asked_ms`
    is the asker's own clock, which a reply repeats, so that the asker
    knows how old the reply may be. An agent sends heartbeats no more often
    than `period_ms`, but for changes, which it tells at once.
    """

    sender: str
    instance: InstanceId
    version: int
    digest: str
    holder: str = ''
    data_centre: str = ''
    withdrawn: int = 0
    reply_wanted: bool = False
    asked_ms: int = 0
    period_ms: int = 0
    leaving: bool = False


class ResidentModel(msgspec.Struct, frozen=True, array_like=True):
    """One model that a target holds ready."""

    name: str
    version: str


class Heartbeat(Message, frozen=True):
    """An agent's report of its target.

    Durations are milliseconds, memory is MB, rates are tokens a second.
    `target_up` is false while the target itself does not report.
    """

    target: str
    instance: InstanceId
    version: int
    leaving: bool = False
    target_up: bool = True
    resident: tuple[ResidentModel, ...] = ()
    adapters: tuple[str, ...] = ()
    slots: int = 0
    running: int = 0
    queued_tokens: int = 0
    free_mb: int = 0
    prefill_tokens_per_second: int = 0
    decode_ms: int = 0
    prefixes: tuple[int, ...] = ()
    prefixes_trusted: bool = True


class Dispatch(Message, frozen=True):
    """A gateway hands one attempt to an agent.

    `budget_ms` is what is left of the deadline when the message leaves.
    `emitted` numbers the chunks the caller already has: a continuation
    starts with that chunk.
    """

    attempt_id: AttemptId
    request_id: RequestId
    workspace: str
    target_path: str
    budget_ms: int
    model: str = ''
    adapter: str = ''
    method: str = 'POST'
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    tokens: int = 1
    prompt_tokens: int = 0
    priority: int = 0
    weight: int = 1
    idempotent: bool = True
    emitted: int = 0


class Resume(Message, frozen=True):
    """A gateway asks for an attempt's answer from a chunk number on.

    `instance` is the agent's run that the attempt was sent to: that very
    run can prove that an attempt it does not know has not run.
    """

    attempt_id: AttemptId
    from_chunk: int
    budget_ms: int
    instance: str = ''


class Cancel(Message, frozen=True):
    """A gateway gives an attempt up; the agent leaves a tombstone."""

    attempt_id: AttemptId


class Accepted(Message, frozen=True):
    """The agent has queued the attempt."""

    attempt_id: AttemptId


class Refused(Message, frozen=True):
    """The agent has not run the attempt and never will."""

    attempt_id: AttemptId
    code: str
    message: str
    retry_after_ms: int = 1000


class Started(Message, frozen=True):
    """The target has answered with a status and headers."""

    attempt_id: AttemptId
    status: int
    headers: tuple[tuple[str, str], ...] = ()


class Chunk(Message, frozen=True):
    """One numbered piece of the answer."""

    attempt_id: AttemptId
    index: int
    body: bytes


class End(Message, frozen=True):
    """The answer is whole and has `count` chunks.

    It carries the target's load, so that busy targets need few heartbeats.
    """

    attempt_id: AttemptId
    count: int
    tokens: int = 0
    running: int = 0
    queued_tokens: int = 0


class Broken(Message, frozen=True):
    """The attempt failed after it was accepted."""

    attempt_id: AttemptId
    run: str
    code: str
    message: str
    retry_after_ms: int = 1000


class Cancelled(Message, frozen=True):
    """The agent confirms a cancel and says whether the attempt ran."""

    attempt_id: AttemptId
    run: str


class ConfigurationAsk(Message, frozen=True):
    """A process that is behind asks for a newer configuration.

    With a target's name, only what its agent needs is wanted.
    """

    version: int
    target: str = ''


class ConfigurationReply(Message, frozen=True):
    """A whole configuration, as a snapshot."""

    snapshot: bytes


class Withdrawal(Message, frozen=True):
    """Key hashes that no longer open anything, in any order."""

    key_hashes: tuple[str, ...]


class WithdrawalDone(Message, frozen=True):
    """The receiver refuses the keys from now on."""

    sender: str
    count: int


class TokensAsk(Message, frozen=True):
    """A gateway asks a peer for tokens of a workspace.

    It needs `tokens` and can use up to `at_most`.
    """

    ask_id: str
    sender: str
    workspace: str
    tokens: int
    at_most: int


class TokensGrant(Message, frozen=True):
    """The giver has already debited these tokens."""

    ask_id: str
    workspace: str
    tokens: int


class LeaseAsk(Message, frozen=True):
    """A holder of rate units asks a witness for a promise."""

    ask_id: str
    holder: InstanceId
    duration_ms: int


class LeasePromise(Message, frozen=True):
    """The witness consents to no reclaim of the holder until then."""

    ask_id: str
    witness: str
    instance: InstanceId
    granted: bool


class ConsentAsk(Message, frozen=True):
    """A gateway asks a witness to let it reclaim a dead holder."""

    ask_id: str
    holder: InstanceId


class Consent(Message, frozen=True):
    """The witness promises the holder nothing more, if granted."""

    ask_id: str
    witness: str
    instance: InstanceId
    granted: bool


class DemandReport(Message, frozen=True):
    """A gateway tells the planner what it saw; tokens a second."""

    sender: str
    tokens_by_model: dict[str, float]


class PlaceModel(Message, frozen=True):
    """The planner asks an agent to hold a model."""

    model: str
    version: str


class DropModel(Message, frozen=True):
    """The planner asks an agent to give a copy up, if another agrees.

    `holders` are the addresses of agents that are believed to hold the
    model too.
    """

    model: str
    version: str
    holders: tuple[str, ...] = ()


class KeepAsk(Message, frozen=True):
    """An agent asks another to go on holding a model."""

    ask_id: str
    sender: str
    model: str


class KeepReply(Message, frozen=True):
    """Whether the asked agent holds the model and does not drop it."""

    ask_id: str
    model: str
    granted: bool


class Drain(Message, frozen=True):
    """An operator or the host list marks a process as leaving."""

    target: str


class KeeperHello(Message, frozen=True):
    """A gateway asks a keeper for reports of its engine.

    `wants_report` asks for a whole one at once.
    """

    sender: str
    wants_report: bool = False


class ModelSize(msgspec.Struct, frozen=True, array_like=True):
    """A model with the memory that its weights take."""

    name: str
    weights_mb: float


class EngineNotice(Message, frozen=True):
    """What an engine may hold, from the newest configuration.

    `store_loads_per_second` is the pace of the weight store for all
    `targets` of the service together. `terms` names all that it says, but
    for the `version` that it comes from.
    """

    version: int
    models: tuple[ModelSize, ...]
    weights_mb: float
    adapter_places: int
    store_loads_per_second: float
    targets: int
    terms: str = ''


class KeeperReport(Message, frozen=True):
    """A keeper tells what its engine holds and does now.

    `unstarted` counts requests without a first event, queued or being read.
    `pending` lists models that are being loaded. While
    `store_loads_ready` is false, this engine's part of the weight store's
    pace is spent. `terms` are those of the newest EngineNotice. `started_ms`
    is the Unix time of the engine's start, `ordered_ms` how long ago the
    model order under way was asked for.
    `revision` counts the changes of holdings, and `keeper` names the run of
    the keeper's process.
    """

    target_id: str
    started_ms: int = 0
    service: str = ''
    address: str = ''
    data_centre: str = ''
    terms: str = ''
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    pending: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    in_memory: tuple[str, ...] = ()
    unstarted: int = 0
    active: int = 0
    used_tokens: int = 0
    total_tokens: int = 0
    is_ordering: bool = False
    ordered_ms: int = 0
    store_loads_ready: bool = True
    revision: int = 0
    keeper: str = ''


class KeeperLoad(Message, frozen=True):
    """A keeper tells that it lives and what changed since it told last.

    What is None is as in the report of revision `follows`, and so is all
    that a KeeperReport has besides. `ordered_ms` is news with any holding.
    """

    target_id: str
    follows: int
    revision: int
    unstarted: int = 0
    active: int = 0
    used_tokens: int = 0
    adapters: tuple[str, ...] | None = None
    models: tuple[str, ...] | None = None
    pending: tuple[str, ...] | None = None
    on_disk: tuple[str, ...] | None = None
    in_memory: tuple[str, ...] | None = None
    is_ordering: bool | None = None
    store_loads_ready: bool | None = None
    ordered_ms: int = 0


class KeeperLeaving(Message, frozen=True):
    """A keeper that stops: its engine gets no orders until another reports."""

    target_id: str


class ModelAsk(Message, frozen=True):
    """A gateway asks a keeper to load a model once others made way."""

    ask_id: str
    model: str
    evict: tuple[str, ...] = ()


class AdapterAsk(Message, frozen=True):
    """A gateway asks a keeper to load an adapter of a model it holds.

    `patience_ms` bounds the wait for a model that the engine is loading.
    """

    ask_id: str
    model: str
    adapter: str
    patience_ms: int = 0


class AdapterUse(Message, frozen=True):
    """A gateway sends a request that uses a loaded adapter."""

    request_id: str
    model: str
    adapter: str


class LoadReply(Message, frozen=True):
    """Whether what was asked for is in place; `cause` tells why not."""

    ask_id: str
    in_place: bool
    cause: str = ''


class UsageNotice(Message, frozen=True):
    """A gateway tells another what it spent and what waits there.

    The sums start at zero with each `instance`. A notice holds what changed
    since the one with the `number` before on this link, everything if it is
    `whole`. `left`, in whole notices only, is what the sender believes each
    workspace may still spend. By model, `waiting` counts requests before
    their first event, `asked` all requests. `wants_whole` asks the receiver
    for a whole notice.
    """

    sender: str
    instance: str
    number: int
    whole: bool = False
    wants_whole: bool = False
    spent: dict[str, float] = {}
    waiting: dict[str, int] = {}
    asked: dict[str, int] = {}
    left: dict[str, float] = {}
    leaving: bool = False


class ReadAsk(Message, frozen=True):
    """A gateway asks another for a topic's records from an offset on."""

    ask_id: str
    topic: str
    from_offset: int


class ReadReply(Message, frozen=True):
    """The records that a read of the store found.

    `found` is false when the read failed or the offset is not kept. `fresh`
    is true when the read began after the ask came; `late_ms` is how long
    before it the read began otherwise, None when that is not known.
    """

    ask_id: str
    found: bool
    fresh: bool = False
    records: tuple[bytes, ...] = ()
    late_ms: int | None = None


RelayMessage: TypeAlias = (
    KeeperHello
    | EngineNotice
    | KeeperReport
    | KeeperLoad
    | KeeperLeaving
    | ModelAsk
    | AdapterAsk
    | AdapterUse
    | LoadReply
    | UsageNotice
    | ReadAsk
    | ReadReply
)
AnyMessage: TypeAlias = (
    Hello
    | Heartbeat
    | Dispatch
    | Resume
    | Cancel
    | Accepted
    | Refused
    | Started
    | Chunk
    | End
    | Broken
    | Cancelled
    | ConfigurationAsk
    | ConfigurationReply
    | Withdrawal
    | WithdrawalDone
    | TokensAsk
    | TokensGrant
    | LeaseAsk
    | LeasePromise
    | ConsentAsk
    | Consent
    | DemandReport
    | PlaceModel
    | DropModel
    | KeepAsk
    | KeepReply
    | Drain
    | RelayMessage
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(
    AnyMessage,
)


class MessageDecodeError(Exception):
    """Bytes from a peer that are no message of ours."""


def encode_message(message: Message) -> bytes:
    """Return the message as msgpack bytes."""
    return _encoder.encode(message)


def decode_message(frame: bytes) -> AnyMessage:
    """Return the message in the bytes, or raise MessageDecodeError."""
    try:
        return _decoder.decode(frame)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise MessageDecodeError(str(error)) from error

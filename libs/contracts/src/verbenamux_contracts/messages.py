"""Messages between the processes of the system, encoded by msgspec."""

from typing import TypeAlias

import msgspec

from verbenamux_contracts.decoding import DECODE_ERRORS
from verbenamux_contracts.ids import AttemptId, InstanceId, RequestId


class Message(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Base of all messages; encoded as arrays, without field names."""


class Hello(Message, frozen=True):
    """A gateway introduces itself to a peer and requests heartbeats.

    `holder` is the name under which it currently holds rate units.
    `asked_ms` is the requester's own clock, which a reply echoes, so that
    the requester can bound the age of the reply. An agent sends heartbeats
    at most every `period_ms`, except for changes, which it sends at once.
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
    """A model that is loaded and ready at a target."""

    name: str
    version: str


class Heartbeat(Message, frozen=True):
    """An agent's report of its target.

    Durations are in milliseconds, memory in MB, rates in tokens a second.
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
    """A gateway sends one attempt to an agent.

    `budget_ms` is the time left until the deadline when the message is
    sent. `emitted` is the number of chunks the caller already has, and so
    the index of the first chunk of a continuation.
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
    """A gateway requests an attempt's answer from a chunk index on.

    `instance` is the agent instance that the attempt was sent to: only that
    instance can prove that an attempt it does not know has not run.
    """

    attempt_id: AttemptId
    from_chunk: int
    budget_ms: int
    instance: str = ''


class Cancel(Message, frozen=True):
    """A gateway abandons an attempt; the agent records a tombstone."""

    attempt_id: AttemptId


class Accepted(Message, frozen=True):
    """The agent has queued the attempt."""

    attempt_id: AttemptId


class Refused(Message, frozen=True):
    """The agent has not run the attempt and will never run it."""

    attempt_id: AttemptId
    code: str
    message: str
    retry_after_ms: int = 1000


class Started(Message, frozen=True):
    """The target has responded with a status and headers."""

    attempt_id: AttemptId
    status: int
    headers: tuple[tuple[str, str], ...] = ()


class Chunk(Message, frozen=True):
    """One numbered chunk of the answer."""

    attempt_id: AttemptId
    index: int
    body: bytes


class End(Message, frozen=True):
    """The answer is complete and has `count` chunks.

    It includes the target's load, so that busy targets need few heartbeats.
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
    """The agent confirms a cancel and reports whether the attempt ran."""

    attempt_id: AttemptId
    run: str


class ConfigurationAsk(Message, frozen=True):
    """A process with an old configuration requests a newer one.

    With a target's name, only the part its agent needs is requested.
    """

    version: int
    target: str = ''


class ConfigurationReply(Message, frozen=True):
    """A complete configuration, as a snapshot."""

    snapshot: bytes


class Withdrawal(Message, frozen=True):
    """Hashes of keys that are no longer valid, in any order."""

    key_hashes: tuple[str, ...]


class WithdrawalDone(Message, frozen=True):
    """The receiver rejects the keys from now on."""

    sender: str
    count: int


class TokensAsk(Message, frozen=True):
    """A gateway requests tokens of a workspace from a peer.

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
    """A holder of rate units requests a promise from a witness."""

    ask_id: str
    holder: InstanceId
    duration_ms: int


class LeasePromise(Message, frozen=True):
    """The witness consents to no reclaim of the holder for the duration."""

    ask_id: str
    witness: str
    instance: InstanceId
    granted: bool


class ConsentAsk(Message, frozen=True):
    """A gateway requests consent to reclaim the units of a dead holder."""

    ask_id: str
    holder: InstanceId


class Consent(Message, frozen=True):
    """If granted, the witness makes no further promise to the holder."""

    ask_id: str
    witness: str
    instance: InstanceId
    granted: bool


class DemandReport(Message, frozen=True):
    """A gateway reports observed demand to the planner; tokens a second."""

    sender: str
    tokens_by_model: dict[str, float]


class PlaceModel(Message, frozen=True):
    """The planner requests that an agent load a model."""

    model: str
    version: str


class DropModel(Message, frozen=True):
    """The planner requests that an agent drop a copy, if another agrees.

    `holders` are the addresses of other agents that hold the model, as far
    as the planner knows.
    """

    model: str
    version: str
    holders: tuple[str, ...] = ()


class KeepAsk(Message, frozen=True):
    """An agent requests that another keep a model."""

    ask_id: str
    sender: str
    model: str


class KeepReply(Message, frozen=True):
    """Whether the queried agent holds the model and does not drop it."""

    ask_id: str
    model: str
    granted: bool


class Drain(Message, frozen=True):
    """An operator or the host list marks a process as draining."""

    target: str


class KeeperHello(Message, frozen=True):
    """A gateway requests reports of a keeper's engine.

    `wants_report` requests a complete report at once. `target_id` and
    `revision` are those of the newest report that the gateway has; it gets a
    complete one if they are not the current ones.
    """

    sender: str
    wants_report: bool = False
    target_id: str = ''
    revision: int = -1


class ModelSize(msgspec.Struct, frozen=True, array_like=True):
    """A model and the memory size of its weights."""

    name: str
    weights_mb: float


class EngineNotice(Message, frozen=True):
    """What an engine may hold, from the newest configuration.

    `store_loads_per_second` is the rate limit of the weight store for all
    `targets` of the service together. `terms` identifies the content apart
    from the `version` it comes from.
    """

    version: int
    models: tuple[ModelSize, ...]
    weights_mb: float
    adapter_places: int
    store_loads_per_second: float
    targets: int
    terms: str = ''


class KeeperReport(Message, frozen=True):
    """A keeper reports what its engine holds and does now.

    `unstarted` counts requests without a first event, queued or in prefill.
    `pending` lists models that are being loaded. While
    `store_loads_ready` is false, this engine's share of the weight store's
    rate is used up. `terms` are those of the newest EngineNotice.
    `started_ms` is the Unix time of the engine's start, `ordered_ms` the
    time since the model order in progress was requested.
    `revision` counts the changes of holdings, and `keeper` identifies the
    lifetime of the keeper's process. The next report follows within
    `interval_ms`.
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
    interval_ms: int = 500


class KeeperLoad(Message, frozen=True):
    """A keeper's heartbeat with the changes since its last message.

    Fields that are None, and those only a KeeperReport has, are unchanged
    since revision `follows`. `ordered_ms` is current if any holding is
    present. The next message follows within `interval_ms`.
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
    interval_ms: int = 500
    terms: str | None = None


class KeeperLeaving(Message, frozen=True):
    """A keeper stops: its engine gets no orders until another reports."""

    target_id: str


class ModelAsk(Message, frozen=True):
    """A gateway requests a model load, after the evictions it names."""

    ask_id: str
    model: str
    evict: tuple[str, ...] = ()


class AdapterAsk(Message, frozen=True):
    """A gateway requests that a keeper load an adapter of a held model.

    `patience_ms` is the timeout for a model that the engine is loading.
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
    """Whether the requested load is in place; `cause` says why not."""

    ask_id: str
    in_place: bool
    cause: str = ''


class CrashNotice(msgspec.Struct, frozen=True, array_like=True):
    """A target that ended as it began to answer a request.

    `crash_id` names one lifetime of the target. `parts` are the parts of the
    prompt that other requests may share, in its order; `prompt` names all of
    it, empty if the sender does not tell. `has_event` is whether an event of
    the answer had arrived, `is_unanswered` whether not even its head had.
    """

    crash_id: str
    workspace: str
    parts: tuple[str, ...]
    prompt: str = ''
    has_event: bool = False
    is_unanswered: bool = False


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """Whether requests with a prompt part are refused.

    An odd `version` is a conviction, an even one a release; the higher one
    holds, and a probe raises it by two. Below a number of `workspaces` only
    their requests are refused.
    """

    version: int
    workspaces: tuple[str, ...] = ()

    @property
    def is_conviction(self) -> bool:
        """Return whether requests are refused."""
        return bool(self.version % 2)

    @property
    def probes(self) -> int:
        """Return how many probes and releases preceded it."""
        return self.version // 2


class CrashEvidence(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows of prompt parts that crash targets.

    `crashes` are those it saw itself, `answers` count the answers with a
    suspected part that began at its targets since it learned of the first
    crash. `verdicts` are all that it knows, by part.
    """

    crashes: tuple[CrashNotice, ...] = ()
    answers: dict[str, int] = {}
    verdicts: dict[str, Verdict] = {}


class UsageNotice(Message, frozen=True):
    """A gateway reports its spending and its waiting requests to another.

    The sums start at zero with each `instance`. A notice holds the changes
    since the one with the previous `number` on this link, or everything if
    `whole`. `left`, in whole notices only, is the sender's estimate of what
    each workspace may still spend. By model, `waiting` counts requests
    before their first event, `asked` all requests. `wants_whole` requests a
    whole notice from the receiver. The instance had run for `age_ms` when it
    reported this usage, its `version`. `urgent` says that a workspace is near
    its limit, or that the evidence of crashes changed. `evidence` is None if it
    did not change.
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
    age_ms: int = 0
    version: int = 0
    urgent: bool = False
    evidence: CrashEvidence | None = None


class UsageDigest(Message, frozen=True):
    """A gateway passes on the usage of others, and its own.

    `sender` is its instance, `data_centre` where it is. The notices of each
    instance are numbered on this link. `urgent` asks to pass it on at once.
    """

    sender: str
    data_centre: str
    notices: tuple[UsageNotice, ...] = ()
    urgent: bool = False


class UsageWanted(Message, frozen=True):
    """A gateway missed notices of these instances: it needs whole ones."""

    instances: tuple[str, ...]


class ReadAsk(Message, frozen=True):
    """A gateway requests a topic's records from an offset on."""

    ask_id: str
    topic: str
    from_offset: int


class ReadReply(Message, frozen=True):
    """The records returned by a read of the store.

    `found` is false when the read failed or the offset is no longer stored.
    `fresh` is true when the read began after the request arrived; otherwise
    `late_ms` is how long before it the read began, None if unknown. `era` is
    that of the records.
    """

    ask_id: str
    found: bool
    fresh: bool = False
    records: tuple[bytes, ...] = ()
    late_ms: int | None = None
    era: int = 0


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
    | UsageDigest
    | UsageWanted
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
    """Bytes from a peer that are not a valid message."""


def encode_message(message: Message) -> bytes:
    """Return the message as msgpack bytes."""
    return _encoder.encode(message)


def decode_message(frame: bytes) -> AnyMessage:
    """Return the message in the bytes, or raise MessageDecodeError."""
    try:
        return _decoder.decode(frame)
    except DECODE_ERRORS as error:
        raise MessageDecodeError(str(error)) from error

"""Failures reported to callers, with their types and HTTP statuses."""

import enum
from dataclasses import dataclass, replace
from datetime import timedelta


class Run(enum.Enum):
    """Whether a failed request ran, as far as it is known."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


class ErrorType(enum.Enum):
    """The category of a failure in the error response."""

    INVALID_REQUEST = 'invalid_request_error'
    AUTHENTICATION = 'authentication_error'
    NOT_FOUND = 'not_found_error'
    CONFLICT = 'conflict_error'
    RATE_LIMIT = 'rate_limit_error'
    UNAVAILABLE = 'unavailable_error'
    UPSTREAM = 'upstream_error'
    TIMEOUT = 'timeout_error'


class ErrorCode(enum.Enum):
    """The specific failure; each has one type and one HTTP status."""

    INVALID_JSON = 'invalid_json'
    INVALID_ENCODING = 'invalid_encoding'
    INVALID_FIELD = 'invalid_field'
    INVALID_HEADER = 'invalid_header'
    BODY_TOO_LARGE = 'body_too_large'
    LENGTH_REQUIRED = 'length_required'
    BODY_INCOMPLETE = 'body_incomplete'
    BODY_TOO_SLOW = 'body_too_slow'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    MISSING_KEY = 'missing_key'
    UNKNOWN_KEY = 'unknown_key'
    KEY_WITHDRAWN = 'key_withdrawn'
    ROUTE_NOT_FOUND = 'route_not_found'
    MODEL_NOT_FOUND = 'model_not_found'
    SERVICE_NOT_FOUND = 'service_not_found'
    IDEMPOTENCY_KEY_USED = 'idempotency_key_used'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    RATE_EXCEEDED = 'rate_exceeded'
    NO_LEASE = 'no_lease'
    REQUEST_OVER_BURST = 'request_over_burst'
    NO_TARGET = 'no_target'
    QUEUE_FULL = 'queue_full'
    SHUTTING_DOWN = 'shutting_down'
    STALE_CONFIGURATION = 'stale_configuration'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    TARGET_FAILED = 'target_failed'
    TARGET_REFUSED = 'target_refused'
    ANSWER_INCOMPLETE = 'answer_incomplete'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CANCELLED = 'cancelled'


BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
REQUEST_TIMEOUT = 408
CONFLICT = 409
LENGTH_REQUIRED = 411
TOO_LARGE = 413
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

_INVALID_REQUEST = (ErrorType.INVALID_REQUEST, BAD_REQUEST)
_UNAUTHORIZED = (ErrorType.AUTHENTICATION, UNAUTHORIZED)
_NOT_FOUND = (ErrorType.NOT_FOUND, NOT_FOUND)
_UNAVAILABLE = (ErrorType.UNAVAILABLE, UNAVAILABLE)
_RATE_LIMITED = (ErrorType.RATE_LIMIT, TOO_MANY_REQUESTS)
_UPSTREAM = (ErrorType.UPSTREAM, BAD_GATEWAY)

TYPE_AND_STATUS_BY_CODE = {
    ErrorCode.INVALID_JSON: _INVALID_REQUEST,
    ErrorCode.INVALID_ENCODING: _INVALID_REQUEST,
    ErrorCode.INVALID_FIELD: _INVALID_REQUEST,
    ErrorCode.INVALID_HEADER: _INVALID_REQUEST,
    ErrorCode.BODY_TOO_LARGE: (ErrorType.INVALID_REQUEST, TOO_LARGE),
    ErrorCode.LENGTH_REQUIRED: (ErrorType.INVALID_REQUEST, LENGTH_REQUIRED),
    ErrorCode.BODY_INCOMPLETE: _INVALID_REQUEST,
    ErrorCode.BODY_TOO_SLOW: (ErrorType.TIMEOUT, REQUEST_TIMEOUT),
    ErrorCode.METHOD_NOT_ALLOWED: (
        ErrorType.INVALID_REQUEST,
        METHOD_NOT_ALLOWED,
    ),
    ErrorCode.MISSING_KEY: _UNAUTHORIZED,
    ErrorCode.UNKNOWN_KEY: _UNAUTHORIZED,
    ErrorCode.KEY_WITHDRAWN: _UNAUTHORIZED,
    ErrorCode.ROUTE_NOT_FOUND: _NOT_FOUND,
    ErrorCode.MODEL_NOT_FOUND: _NOT_FOUND,
    ErrorCode.SERVICE_NOT_FOUND: _NOT_FOUND,
    ErrorCode.IDEMPOTENCY_KEY_USED: (ErrorType.CONFLICT, CONFLICT),
    ErrorCode.CLAIM_UNAVAILABLE: _UNAVAILABLE,
    ErrorCode.RATE_EXCEEDED: _RATE_LIMITED,
    ErrorCode.NO_LEASE: _UNAVAILABLE,
    ErrorCode.REQUEST_OVER_BURST: _INVALID_REQUEST,
    ErrorCode.NO_TARGET: _UNAVAILABLE,
    ErrorCode.QUEUE_FULL: _UNAVAILABLE,
    ErrorCode.SHUTTING_DOWN: _UNAVAILABLE,
    ErrorCode.STALE_CONFIGURATION: _UNAVAILABLE,
    ErrorCode.DEADLINE_UNREACHABLE: _UNAVAILABLE,
    ErrorCode.DEADLINE_EXCEEDED: (ErrorType.TIMEOUT, GATEWAY_TIMEOUT),
    ErrorCode.TARGET_FAILED: _UPSTREAM,
    ErrorCode.TARGET_REFUSED: _UPSTREAM,
    ErrorCode.ANSWER_INCOMPLETE: _UPSTREAM,
    ErrorCode.OUTCOME_UNKNOWN: _UPSTREAM,
    ErrorCode.CANCELLED: _UNAVAILABLE,
}

DEFAULT_RETRY_AFTER = timedelta(seconds=1)
RETRY_STATUSES = frozenset((TOO_MANY_REQUESTS, UNAVAILABLE))


@dataclass(frozen=True, slots=True)
class RequestFailure:
    """Why a request has no answer, and whether it ran."""

    code: ErrorCode
    message: str
    run: Run = Run.NOT_RUN
    retry_after: timedelta = DEFAULT_RETRY_AFTER

    @property
    def error_type(self) -> ErrorType:
        """The category of the failure."""
        return TYPE_AND_STATUS_BY_CODE[self.code][0]

    @property
    def status(self) -> int:
        """The HTTP status of the error response."""
        return TYPE_AND_STATUS_BY_CODE[self.code][1]

    def with_run(self, run: Run) -> 'RequestFailure':
        """Return a copy of the failure with another `run`."""
        return replace(self, run=run)


class RequestRejectedError(Exception):
    """Carries a failure up to the HTTP layer."""

    def __init__(self, failure: RequestFailure) -> None:
        """Store the failure that is reported to the caller."""
        super().__init__(failure.code.value)
        self.failure = failure

"""Settings are validated, and an invalid field is named by its path."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from verbenamux_agent.settings import AgentSettings
from verbenamux_gateway.settings import GatewaySettings
from verbenamux_runtime.settings import (
    decode_settings,
    parse_duration,
    parse_size,
    settings_schema,
)

GATEWAY = (
    b'{"name":"g","address":"127.0.0.1:1","peer_address":"127.0.0.1:2",'
    b'"data_centre":"dc","platform":{"log":"127.0.0.1:3"}%s}'
)


@pytest.mark.parametrize(
    ('extra', 'path'),
    [
        (b',"unknown":1', '$.unknown'),
        (b',"limits":{"bodies":"1MB"}', '$.limits.bodies'),
        (b',"peers":[{"name":"x"}]', '$.peers[0].address'),
        (b',"hello":5', '$.hello'),
        (b',"hello":"5"', '$.hello'),
        (b',"rates":{"lease":"soon"}', '$.rates.lease'),
        (b',"limits":{"body":"big"}', '$.limits.body'),
        (b',"limits":{"output_tokens":"many"}', '$.limits.output_tokens'),
        (b',"routing":"guess"', '$.routing'),
        (b',"peers":[{"name":"x","address":"host:1"}]', '$.peers[0].address'),
    ],
)
def test_wrong_field_is_named_by_its_path(extra: bytes, path: str) -> None:
    checked = decode_settings(GATEWAY % extra, GatewaySettings)
    failure = checked.failure()
    assert failure.path == path
    assert failure.message


def test_missing_address_is_named() -> None:
    failure = decode_settings(b'{"name":"g"}', GatewaySettings).failure()
    assert failure.path == '$.address'
    assert 'missing required field' in failure.message


def test_valid_settings_are_accepted() -> None:
    extra = b',"hello":"250ms","limits":{"body":"64KB"}'
    settings = decode_settings(GATEWAY % extra, GatewaySettings).unwrap()
    assert settings.hello == timedelta(milliseconds=250)
    assert settings.limits.body == 64_000


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [('250ms', 0.25), ('1.5s', 1.5), ('10min', 600), ('1h', 3600)],
)
def test_durations_have_units(text: str, seconds: float) -> None:
    assert parse_duration(text).total_seconds() == seconds


@given(st.text(max_size=8) | st.integers() | st.none())
def test_any_duration_and_size_is_parsed_or_a_value_error(
    written: object,
) -> None:
    for parse in (parse_duration, parse_size):
        try:
            parse(written)
        except ValueError:
            continue


@given(st.binary(max_size=60))
def test_any_file_is_settings_or_a_typed_failure(encoded: bytes) -> None:
    checked = decode_settings(encoded, AgentSettings)
    if not is_successful(checked):
        assert checked.failure().message


@pytest.mark.parametrize('settings_type', [GatewaySettings, AgentSettings])
def test_schema_can_be_printed(settings_type: type) -> None:
    assert b'"address"' in settings_schema(settings_type)
